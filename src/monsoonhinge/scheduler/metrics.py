"""Metrics of the scheduler process."""

import prometheus_client

HELD = prometheus_client.Gauge(
    "monsoonhinge_scheduler_lease_held",
    "Whether this process uses the lease.",
    ["lease"],
)
TARGETS = prometheus_client.Gauge(
    "monsoonhinge_scheduler_targets", "Targets that announce themselves."
)
REPLICAS = prometheus_client.Gauge(
    "monsoonhinge_scheduler_replicas", "Decided replicas.", ["state"]
)
LOADS = prometheus_client.Gauge(
    "monsoonhinge_scheduler_loads_in_progress",
    "Loads that no target has confirmed yet.",
    ["kind"],
)
PENDING_ORDERS = prometheus_client.Gauge(
    "monsoonhinge_scheduler_pending_orders", "Orders without an outcome."
)
CHANGES = prometheus_client.Counter(
    "monsoonhinge_scheduler_changes_total", "Committed changes.", ["action"]
)
ORDERS = prometheus_client.Counter(
    "monsoonhinge_scheduler_orders_total", "Orders sent.", ["result"]
)
GRANTED_TOKENS = prometheus_client.Counter(
    "monsoonhinge_scheduler_granted_tokens_total", "Tokens granted.", ["team"]
)
EMPTY_GRANTS = prometheus_client.Counter(
    "monsoonhinge_scheduler_empty_grants_total",
    "Grant requests answered without tokens.",
    ["team"],
)
PLANNING_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_scheduler_planning_seconds", "Time of a planning step."
)
