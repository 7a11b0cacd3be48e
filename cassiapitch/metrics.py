"""Counters, gauges and histograms of one process, served in Prometheus text format."""

import bisect
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

from cassiapitch import asgi

PATH = "/metrics"
# Covers the latency objectives of requests, which lie between 0.1 s and 15 s.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 20)

Labels = tuple[str, ...]


class Metric(Protocol):
    """A metric as `serve` uses it."""

    def family(self) -> Any:
        """Returns the values as a metric family of `prometheus_client`."""


# `prometheus_client` is imported at the first request for metrics: the import takes a
# tenth of the start time, and most processes never get such a request.
REGISTRY: list[Metric] = []


class Counter:
    """A counter with one value for each combination of label values."""

    def __init__(self, name: str, help_text: str, labels: Labels = ()) -> None:
        self._name, self._help, self._labels = name, help_text, labels
        self._values: dict[Labels, float] = {} if labels else {(): 0.0}
        REGISTRY.append(self)

    def inc(self, *labels: str) -> None:
        """Increments the value for these label values by one."""
        self._values[labels] = self._values.get(labels, 0.0) + 1

    def family(self) -> Any:
        """Returns the values as a metric family of `prometheus_client`."""
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(self._name, self._help, labels=self._labels)
        for labels, value in self._values.items():
            family.add_metric(labels, value)
        return family


class Gauge:
    """A value for each combination of label values that can go up and down."""

    def __init__(self, name: str, help_text: str, labels: Labels = ()) -> None:
        self._name, self._help, self._labels = name, help_text, labels
        self._values: dict[Labels, float] = {} if labels else {(): 0.0}
        REGISTRY.append(self)

    def set(self, value: float, *labels: str) -> None:
        """Sets the value for these label values."""
        self._values[labels] = value

    def replace(self, values: dict[Labels, float]) -> None:
        """Sets all values; label values that are not among them are removed."""
        self._values = dict(values)

    def family(self) -> Any:
        """Returns the values as a metric family of `prometheus_client`."""
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(self._name, self._help, labels=self._labels)
        for labels, value in self._values.items():
            family.add_metric(labels, value)
        return family


class SampledGauge:
    """A gauge with one value for each value of a label, read when it is served."""

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self._name, self._help, self._label = name, help_text, label
        self.sample: Callable[[], dict[str, float]] = dict
        REGISTRY.append(self)

    def family(self) -> Any:
        """Returns the values as a metric family of `prometheus_client`."""
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(self._name, self._help, labels=(self._label,))
        for value, amount in self.sample().items():
            family.add_metric((value,), amount)
        return family


class Histogram:
    """A histogram with buckets for each combination of label values."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: Labels = (),
        *,
        buckets: Sequence[float],
    ) -> None:
        self._name, self._help, self._labels = name, help_text, labels
        self._buckets = tuple(buckets)
        # For each combination of label values: the count of each bucket and of larger
        # observations, and the sum of all observations.
        self._values: dict[Labels, tuple[list[int], list[float]]] = {}
        REGISTRY.append(self)

    def observe(self, value: float, *labels: str) -> None:
        """Counts one observation."""
        counts_and_sum = self._values.get(labels)
        if counts_and_sum is None:
            counts_and_sum = self._values[labels] = (
                [0] * (len(self._buckets) + 1),
                [0.0],
            )
        counts_and_sum[0][bisect.bisect_left(self._buckets, value)] += 1
        counts_and_sum[1][0] += value

    def family(self) -> Any:
        """Returns the buckets as a metric family of `prometheus_client`."""
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(self._name, self._help, labels=self._labels)
        for labels, (counts, total) in self._values.items():
            family.add_metric(labels, self._cumulative(counts), total[0])
        return family

    def _cumulative(self, counts: list[int]) -> list[tuple[str, float]]:
        cumulative_buckets, cumulative_count = [], 0
        bounds = [*map(str, self._buckets), "+Inf"]
        for bound, count in zip(bounds, counts, strict=True):
            cumulative_count += count
            cumulative_buckets.append((bound, float(cumulative_count)))
        return cumulative_buckets


class _Collector:
    """Collector of all metrics of this process for `prometheus_client`."""

    def collect(self) -> Iterator[Any]:
        """Yields the family of every metric."""
        for metric in REGISTRY:
            yield metric.family()


REQUESTS = Counter(
    "cassiapitch_requests",
    "Forwarded requests by their end",
    ("route", "status", "outcome"),
)
FIRST_BYTE_S = Histogram(
    "cassiapitch_first_byte_seconds",
    "Time from a request's arrival to the first byte of its answer",
    ("route",),
    buckets=LATENCY_BUCKETS_S,
)
ADMISSION_S = Histogram(
    "cassiapitch_admission_seconds",
    "Time until an account had the tokens for a request",
    buckets=LATENCY_BUCKETS_S,
)
QUEUE_S = Histogram(
    "cassiapitch_queue_seconds",
    "Time from admission to a place at a backend server",
    buckets=LATENCY_BUCKETS_S,
)
SENDS = Counter(
    "cassiapitch_sends",
    "Requests written to backend servers, repeats included",
)
LIMITED_SENDS = Counter(
    "cassiapitch_limited_sends",
    "Requests written to backend servers that have stated a limit, or are cold",
)
COLD_SENDS = Counter(
    "cassiapitch_cold_sends",
    "Requests written to backend servers that are known to be cold",
)
BACKENDS_HELD = Counter(
    "cassiapitch_backends_held",
    "Times that a backend server got nothing for a while, as it may be cold",
)
COLD_BACKENDS = Gauge(
    "cassiapitch_cold_backends",
    "Backend servers in the view that are limited because they are cold",
)
ATTEMPTS_FAILED = Counter(
    "cassiapitch_attempts_failed",
    "Attempts at a backend server that did not answer the request",
)
CALLERS_REFUSED = Counter(
    "cassiapitch_callers_refused",
    "Requests and connections of callers refused for lack of memory or descriptors",
    ("reason",),
)
CALLERS_CLOSED = Counter(
    "cassiapitch_callers_closed",
    "Connections of callers that were closed for what they hold",
    ("reason",),
)
HELD_BYTES = SampledGauge(
    "cassiapitch_held_bytes",
    "Bytes held for callers and backend servers by kind",
    "kind",
)
CONNECTIONS_OPENED = Counter(
    "cassiapitch_backend_connections_opened",
    "New connections to backend servers",
)
TUNNELS_OPENED = Counter(
    "cassiapitch_tunnels_opened",
    "Connections to backend servers through another entry",
)
TUNNELS_SERVED = Counter(
    "cassiapitch_tunnels_served",
    "Requests of other entries for a connection to a backend server, by outcome",
    ("outcome",),
)
VIEW_INDEX = Gauge(
    "cassiapitch_view_index",
    "Log index of the view or state that this process has applied",
)
STORAGE_REFUSED = Gauge(
    "cassiapitch_storage_refused",
    "Whether the disk refuses writes now; the member votes and acknowledges nothing",
)
CONFIGURATIONS = Counter(
    "cassiapitch_configurations",
    "Configurations offered to this member by the result",
    ("result",),
)
ZONE_DRAINS = Counter(
    "cassiapitch_zone_drains",
    "Requests to this member to drain a zone or to withdraw that, by the result",
    ("change", "result"),
)
DRAINED_BACKENDS = Gauge(
    "cassiapitch_drained_backends",
    "Backend servers in this entry's view whose zone is drained",
)
DRAINED_UNSENT = Counter(
    "cassiapitch_drained_unsent",
    "Requests that had a slot at a backend server and were not written to it, since "
    "its zone was drained meanwhile",
)
HEARTBEATS = Counter(
    "cassiapitch_heartbeats",
    "Heartbeats of backend servers by whether they were taken",
    ("taken",),
)
WAITING_ITEMS = Gauge(
    "cassiapitch_waiting_items",
    "Models and adapters that requests wait for and that nothing is ordered for",
)
BACKEND_SPEED_RATIO = Gauge(
    "cassiapitch_backend_speed_ratio",
    "Measured speed of a backend server relative to the mean of its role",
    ("life_id", "role"),
)
BACKEND_CONCURRENCY = Gauge(
    "cassiapitch_backend_concurrency",
    "Requests in flight up to which a backend server's latency holds",
    ("life_id", "role"),
)
ADMISSION_REFUSED = Counter(
    "cassiapitch_admission_refused",
    "Requests refused on arrival by admission levels, by priority rank",
    ("rank",),
)
ADMISSION_RANK = Gauge(
    "cassiapitch_admission_marginal_rank",
    "Most urgent rank that some server does not admit in full; 10 if none is short",
)
SHORT_BACKENDS = Gauge(
    "cassiapitch_short_backend_servers",
    "Backend servers that the leader counts as short of capacity",
)
PACED_BACKENDS = Gauge(
    "cassiapitch_paced_backend_servers",
    "Engines that get prompts with permits of the leader only",
)
ORDERS = Counter(
    "cassiapitch_orders",
    "Attempts to send an order to an engine by kind and answer",
    ("kind", "answer"),
)


async def serve(send: asgi.Send) -> None:
    """Responds with all metrics of this process."""
    import prometheus_client
    from prometheus_client.core import CollectorRegistry

    registry = CollectorRegistry()
    registry.register(_Collector())
    content = prometheus_client.generate_latest(registry)
    content_type = prometheus_client.CONTENT_TYPE_LATEST
    await asgi.send_response(send, 200, content, content_type)
