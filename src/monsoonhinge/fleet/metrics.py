"""Metrics of the placement of models."""

import prometheus_client

ENGINES = prometheus_client.Gauge(
    "monsoonhinge_fleet_engines", "Engines by condition", ["condition"]
)
WAITING_MODELS = prometheus_client.Gauge(
    "monsoonhinge_fleet_waiting_models",
    "Models with waiting requests for which no load is planned, by obstacle",
    ["obstacle"],
)
STORE_LOADS = prometheus_client.Gauge(
    "monsoonhinge_fleet_store_loads",
    "Loads from the weight store in progress, with orders of an earlier lease "
    "holder that may be such loads",
)
UNSERVED_MODELS = prometheus_client.Gauge(
    "monsoonhinge_fleet_unserved_models",
    "Models that requests have waited for and that have run none since",
)
PLANNING_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_fleet_planning_seconds",
    "Time of a planning step",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
)
CRASH_REPORTS = prometheus_client.Counter(
    "monsoonhinge_fleet_crash_reports_total",
    "Reports of gateways on crashed targets and what they were to answer",
)
QUARANTINES = prometheus_client.Counter(
    "monsoonhinge_fleet_quarantines_total",
    "Quarantines of prompts that crash targets",
)
