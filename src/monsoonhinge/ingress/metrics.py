"""Prometheus metrics of the ingress."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "monsoonhinge_ingress_requests_total",
    "Requests by kind of execution and status",
    ["execution", "status"],
)
REFUSALS = prometheus_client.Counter(
    "monsoonhinge_ingress_refusals_total",
    "Requests that the ingress answered itself, by reason",
    ["reason"],
)
FIRST_BYTE_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_ingress_first_byte_seconds",
    "Time until the first byte of the answer",
    ["execution"],
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
ACTIVE_REQUESTS = prometheus_client.Gauge(
    "monsoonhinge_ingress_requests_open", "Requests without a final answer"
)
WAITING_REQUESTS = prometheus_client.Gauge(
    "monsoonhinge_ingress_requests_waiting", "Requests that wait for a target"
)
RESUMPTIONS = prometheus_client.Counter(
    "monsoonhinge_ingress_resumptions_total",
    "Streams that callers resume, by how their origin is known and outcome",
    ["source", "outcome"],
)
PERMITS = prometheus_client.Counter(
    "monsoonhinge_ingress_permits_total",
    "Permits for requests to targets with a rate limit, by outcome",
    ["outcome"],
)
CONFIG_STALENESS_SECONDS = prometheus_client.Gauge(
    "monsoonhinge_ingress_staleness_seconds",
    "Age of the confirmed configuration",
)
