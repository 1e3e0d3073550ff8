"""How long a request may wait and run, without input or output.

Load pattern: requests wait for models while callers lose patience. A request
is refused when it can no longer be served before its caller leaves, so that
the caller can come back while there is time.
"""

import dataclasses

from monsoonhinge.config import ingress

# A caller of a stream leaves after the longest of these without an event.
_MIN_STREAM_PATIENCE_S = 2.0
_STREAM_PATIENCE_LATENCIES = 4.0
_STREAM_PATIENCE_GAPS = 8.0

# Time that a target needs from the request to its first byte.
_TARGET_START_S = 0.25

# An attempt that may be repeated is given up after this many times the
# latency that the route aims at.
_ATTEMPT_TIMEOUT_LATENCIES = 2.5
_MIN_ATTEMPT_TIMEOUT_S = 0.25
_MIN_STREAM_ATTEMPT_TIMEOUT_S = 2.5

# A stream that may go on elsewhere is given up after this silence.
_EVENT_TIMEOUT_GAPS = 4.0
_MIN_EVENT_TIMEOUT_S = 1.0

_LOWEST_ENGINE_PRIORITY = 9
_HIGHEST_ENGINE_PRIORITY = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeouts:
    """Times of one request, in seconds of the event loop.

    Attributes:
        arrived_at: When it came.
        latency_deadline: Until when its answer may begin to be in time.
        give_up_at: When it stops waiting for a target.
        deadline: When it must be answered.
        attempt_s: Longest wait for the answer of an attempt that may be
            repeated.
        gap_s: Longest silence of a stream that may go on elsewhere.
    """

    arrived_at: float
    latency_deadline: float
    queue_deadline: float
    deadline: float
    attempt_timeout_s: float
    event_timeout_s: float


def request_timeouts(
    route: ingress.IngressRoute, *, time_left_ms: int | None, now: float
) -> RequestTimeouts:
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
                _MIN_STREAM_PATIENCE_S,
                _STREAM_PATIENCE_LATENCIES * latency_s,
                _STREAM_PATIENCE_GAPS * gap_s,
            ),
        )
    return RequestTimeouts(
        arrived_at=now,
        latency_deadline=now + latency_s,
        queue_deadline=now + max(patience_s / 2, patience_s - _TARGET_START_S),
        deadline=deadline,
        attempt_timeout_s=max(
            _MIN_STREAM_ATTEMPT_TIMEOUT_S
            if streaming
            else _MIN_ATTEMPT_TIMEOUT_S,
            _ATTEMPT_TIMEOUT_LATENCIES * latency_s,
        ),
        event_timeout_s=max(_MIN_EVENT_TIMEOUT_S, _EVENT_TIMEOUT_GAPS * gap_s),
    )


def engine_priority(priority: int) -> int:
    """Returns the rank at an engine of requests with a priority."""
    return min(_LOWEST_ENGINE_PRIORITY, _HIGHEST_ENGINE_PRIORITY + priority)
