"""Prometheus metrics of the control members."""

import prometheus_client

UNSENT_CONFIGURATIONS = prometheus_client.Counter(
    "monsoonhinge_control_unsent_configurations",
    "Configurations that exceed a message and were not sent to a watcher.",
)
