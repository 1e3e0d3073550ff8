"""Prometheus metrics of the consensus core and its driver."""

import prometheus_client

TERM = prometheus_client.Gauge(
    "monsoonhinge_consensus_term", "Current term of this member."
)
LEADER = prometheus_client.Gauge(
    "monsoonhinge_consensus_leader", "1 while this member leads, else 0."
)
COMMIT_INDEX = prometheus_client.Gauge(
    "monsoonhinge_consensus_commit_index", "Highest committed log index."
)
APPLIED_INDEX = prometheus_client.Gauge(
    "monsoonhinge_consensus_applied_index", "Highest applied log index."
)
PROPOSALS = prometheus_client.Counter(
    "monsoonhinge_consensus_proposals",
    "Proposals by outcome.",
    ["outcome"],
)
COMMIT_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_consensus_commit_seconds",
    "Time from a proposal to its result on the leader.",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)
DISK_FULL = prometheus_client.Gauge(
    "monsoonhinge_consensus_disk_full",
    "1 while the disk takes no more bytes, else 0.",
)
WRITE_SECONDS = prometheus_client.Histogram(
    "monsoonhinge_consensus_write_seconds",
    "Time to make one write durable.",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5),
)
