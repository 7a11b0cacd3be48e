"""Counters and latency histograms of one process, in the text format of Prometheus."""

import bisect
from collections.abc import Iterator, Sequence
from typing import Any, Protocol

from cassiapitch import asgi

PATH = "/metrics"
# Seconds; the objectives of requests lie between 0.1 s and 15 s.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 20)

Labels = tuple[str, ...]


class Metric(Protocol):
    """What `serve` needs of a metric."""

    def family(self) -> Any:
        """Returns its numbers as a family of `prometheus_client`."""


# The library that writes the text format is imported with the first question: it takes
# a tenth of a start, and most processes are never asked.
REGISTRY: list[Metric] = []


class Counter:
    """Numbers that only grow, by label values."""

    def __init__(self, name: str, help_text: str, labels: Labels = ()) -> None:
        self._name, self._help, self._labels = name, help_text, labels
        self._values: dict[Labels, float] = {} if labels else {(): 0.0}
        REGISTRY.append(self)

    def inc(self, *labels: str) -> None:
        """Adds one."""
        self._values[labels] = self._values.get(labels, 0.0) + 1

    def family(self) -> Any:
        """Returns the numbers for `prometheus_client`."""
        from prometheus_client.core import CounterMetricFamily

        found = CounterMetricFamily(self._name, self._help, labels=self._labels)
        for labels, value in self._values.items():
            found.add_metric(labels, value)
        return found


class Gauge:
    """One number that goes up and down."""

    def __init__(self, name: str, help_text: str) -> None:
        self._name, self._help, self._value = name, help_text, 0.0
        REGISTRY.append(self)

    def set(self, value: float) -> None:
        """Sets the number."""
        self._value = value

    def family(self) -> Any:
        """Returns the number for `prometheus_client`."""
        from prometheus_client.core import GaugeMetricFamily

        return GaugeMetricFamily(self._name, self._help, value=self._value)


class Histogram:
    """Counts of observations by buckets, by label values."""

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
        # Counts of each bucket and beyond, and the sum of all observations.
        self._values: dict[Labels, tuple[list[int], list[float]]] = {}
        REGISTRY.append(self)

    def observe(self, value: float, *labels: str) -> None:
        """Counts one observation."""
        found = self._values.get(labels)
        if found is None:
            found = self._values[labels] = ([0] * (len(self._buckets) + 1), [0.0])
        found[0][bisect.bisect_left(self._buckets, value)] += 1
        found[1][0] += value

    def family(self) -> Any:
        """Returns the counts for `prometheus_client`."""
        from prometheus_client.core import HistogramMetricFamily

        found = HistogramMetricFamily(self._name, self._help, labels=self._labels)
        for labels, (counts, total) in self._values.items():
            found.add_metric(labels, self._cumulative(counts), total[0])
        return found

    def _cumulative(self, counts: list[int]) -> list[tuple[str, float]]:
        cumulative_buckets, cumulative_count = [], 0
        bounds = [*map(str, self._buckets), "+Inf"]
        for bound, count in zip(bounds, counts, strict=True):
            cumulative_count += count
            cumulative_buckets.append((bound, float(cumulative_count)))
        return cumulative_buckets


class _Collector:
    """All metrics of this process, for `prometheus_client`."""

    def collect(self) -> Iterator[Any]:
        """Yields every family."""
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
ATTEMPTS_FAILED = Counter(
    "cassiapitch_attempts_failed",
    "Attempts at a backend server that did not answer the request",
)
CONNECTIONS_OPENED = Counter(
    "cassiapitch_backend_connections_opened",
    "New connections to backend servers",
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
HEARTBEATS = Counter(
    "cassiapitch_heartbeats",
    "Heartbeats of backend servers by whether they were taken",
    ("taken",),
)
ORDERS = Counter(
    "cassiapitch_orders",
    "Attempts to send an order to an engine by kind and answer",
    ("kind", "answer"),
)


async def serve(send: asgi.Send) -> None:
    """Answers a request for all metrics."""
    import prometheus_client
    from prometheus_client.core import CollectorRegistry

    registry = CollectorRegistry()
    registry.register(_Collector())
    content = prometheus_client.generate_latest(registry)
    content_type = prometheus_client.CONTENT_TYPE_LATEST
    await asgi.send_response(send, 200, content, content_type)
