"""Counters and latency histograms of one process, in the text format of Prometheus."""

import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cassiapitch import asgi

PATH = "/metrics"
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Seconds; the objectives of requests lie between 0.1 s and 15 s.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 20)

REGISTRY = CollectorRegistry()

REQUESTS = Counter(
    "cassiapitch_requests",
    "Forwarded requests by their end",
    ("route", "status", "outcome"),
    registry=REGISTRY,
)
FIRST_BYTE_S = Histogram(
    "cassiapitch_first_byte_seconds",
    "Time from a request's arrival to the first byte of its answer",
    ("route",),
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
ADMISSION_S = Histogram(
    "cassiapitch_admission_seconds",
    "Time until an account had the tokens for a request",
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
QUEUE_S = Histogram(
    "cassiapitch_queue_seconds",
    "Time from admission to a place at a backend server",
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
SENDS = Counter(
    "cassiapitch_sends",
    "Requests written to backend servers, repeats included",
    registry=REGISTRY,
)
ATTEMPTS_FAILED = Counter(
    "cassiapitch_attempts_failed",
    "Attempts at a backend server that did not answer the request",
    registry=REGISTRY,
)
CONNECTIONS_OPENED = Counter(
    "cassiapitch_backend_connections_opened",
    "New connections to backend servers",
    registry=REGISTRY,
)
VIEW_INDEX = Gauge(
    "cassiapitch_view_index",
    "Log index of the view or state that this process has applied",
    registry=REGISTRY,
)
STORAGE_REFUSED = Gauge(
    "cassiapitch_storage_refused",
    "Whether the disk refuses writes now; the member votes and acknowledges nothing",
    registry=REGISTRY,
)
CONFIGURATIONS = Counter(
    "cassiapitch_configurations",
    "Configurations offered to this member by the result",
    ("result",),
    registry=REGISTRY,
)
HEARTBEATS = Counter(
    "cassiapitch_heartbeats",
    "Heartbeats of backend servers by whether they were taken",
    ("taken",),
    registry=REGISTRY,
)
ORDERS = Counter(
    "cassiapitch_orders",
    "Attempts to send an order to an engine by kind and answer",
    ("kind", "answer"),
    registry=REGISTRY,
)


async def serve(send: asgi.Send) -> None:
    """Answers a request for all metrics."""
    content = prometheus_client.generate_latest(REGISTRY)
    await asgi.send_response(send, 200, content, CONTENT_TYPE)
