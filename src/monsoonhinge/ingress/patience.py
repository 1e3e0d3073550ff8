"""How long a request may wait and run, without input or output.

Load pattern: requests wait for models while callers lose patience. A request
is refused when it can no longer be served before its caller leaves, so that
the caller can come back while there is time.
"""

import dataclasses

from monsoonhinge.config import ingress

# A caller of a stream leaves after the longest of these without an event.
_ABANDON_S = 2.0
_ABANDON_LATENCIES = 4.0
_ABANDON_GAPS = 8.0

# Time that a target needs from the request to its first byte.
_START_S = 0.25

# An attempt that may be repeated is given up after this many times the
# latency that the route aims at.
_ATTEMPT_LATENCIES = 2.5
_MIN_ATTEMPT_S = 0.25
_MIN_STREAM_ATTEMPT_S = 2.5

# A stream that may go on elsewhere is given up after this silence.
_GAPS = 4.0
_MIN_GAP_S = 1.0

_LOWEST_RANK = 9
_FIRST_RANK = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times of one request, in seconds of the event loop.

    Attributes:
        arrived_at: When it came.
        timely_until: Until when its answer may begin to be in time.
        give_up_at: When it stops waiting for a target.
        deadline: When it must be answered.
        attempt_s: Longest wait for the answer of an attempt that may be
            repeated.
        gap_s: Longest silence of a stream that may go on elsewhere.
    """

    arrived_at: float
    timely_until: float
    give_up_at: float
    deadline: float
    attempt_s: float
    gap_s: float


def limits(
    route: ingress.IngressRoute, *, time_left_ms: int | None, now: float
) -> Limits:
    """Returns the times of a request.

    Args:
        route: Its route.
        time_left_ms: How long its caller waits, if it says so.
        now: When it came.
    """
    total_ms = route.timeout_ms
    if time_left_ms is not None:
        total_ms = min(total_ms, time_left_ms)
    deadline = now + total_ms / 1000
    latency_s = route.target_latency_ms / 1000
    gap_s = route.max_gap_ms / 1000
    streaming = route.execution == "streaming"
    patience_s = total_ms / 1000
    if streaming:
        patience_s = min(
            patience_s,
            max(
                _ABANDON_S,
                _ABANDON_LATENCIES * latency_s,
                _ABANDON_GAPS * gap_s,
            ),
        )
    return Limits(
        arrived_at=now,
        timely_until=now + latency_s,
        give_up_at=now + max(patience_s / 2, patience_s - _START_S),
        deadline=deadline,
        attempt_s=max(
            _MIN_STREAM_ATTEMPT_S if streaming else _MIN_ATTEMPT_S,
            _ATTEMPT_LATENCIES * latency_s,
        ),
        gap_s=max(_MIN_GAP_S, _GAPS * gap_s),
    )


def rank(priority: int) -> int:
    """Returns the rank at an engine of requests with a priority."""
    return min(_LOWEST_RANK, _FIRST_RANK + priority)
