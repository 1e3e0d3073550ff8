"""Prometheus metrics of the gateway."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "monsoonhinge_gateway_requests",
    "Requests of callers by kind and status.",
    ["kind", "status"],
)
REFUSALS = prometheus_client.Counter(
    "monsoonhinge_gateway_refusals",
    "Refused requests by code.",
    ["code"],
)
WAITING = prometheus_client.Gauge(
    "monsoonhinge_gateway_waiting_requests", "Requests that wait."
)
WAITING_BYTES = prometheus_client.Gauge(
    "monsoonhinge_gateway_waiting_bytes", "Bytes of the waiting requests."
)
ACTIVE_REQUESTS = prometheus_client.Gauge(
    "monsoonhinge_gateway_running_requests", "Requests that wait or run."
)
WAIT_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_gateway_wait_seconds",
    "Time from arrival in the queue to dispatch.",
    buckets=(0.001, 0.005, 0.025, 0.1, 0.5, 1, 2.5, 5, 10, 30, 60),
)
FIRST_BYTE_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_gateway_first_byte_seconds",
    "Time from dispatch to the headers of the answer.",
    buckets=(0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 10, 60),
)
RETRIES = prometheus_client.Counter(
    "monsoonhinge_gateway_retries", "Attempts beyond the first."
)
FAILED_ATTEMPTS = prometheus_client.Counter(
    "monsoonhinge_gateway_failed_attempts",
    "Attempts that failed, by kind of failure.",
    ["failure"],
)
TOKENS = prometheus_client.Counter(
    "monsoonhinge_gateway_tokens",
    "Tokens charged to a team, after settlement.",
    ["team"],
)
ENDED_REQUESTS = prometheus_client.Counter(
    "monsoonhinge_gateway_ended_requests",
    "Requests under way that the gateway ended, by code.",
    ["code"],
)
