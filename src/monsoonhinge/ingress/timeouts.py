"""Timeouts of a request; performs no I/O.

Load pattern: requests wait for models while their callers may disconnect. A
request is refused once it can no longer be served before its caller
disconnects, so that the caller can retry while there is time.
"""

import dataclasses

from monsoonhinge.config import ingress

# A caller of a stream disconnects after the longest of these times without an
# event: a minimum, and multiples of the target latency and of the maximum gap.
_MIN_STREAM_DISCONNECT_S = 2.0
_STREAM_DISCONNECT_LATENCIES = 4.0
_STREAM_DISCONNECT_GAPS = 8.0

# Time that is left to a target to send the first byte of its response.
_TARGET_START_S = 0.25

# An attempt that can be retried times out after this multiple of the target
# latency of the route.
_ATTEMPT_TIMEOUT_LATENCIES = 2.5
_MIN_ATTEMPT_TIMEOUT_S = 0.25
_MIN_STREAM_ATTEMPT_TIMEOUT_S = 2.5

# A stream that can be resumed at another target times out after this multiple
# of the maximum gap without data.
_EVENT_TIMEOUT_GAPS = 4.0
_MIN_EVENT_TIMEOUT_S = 1.0

_LOWEST_ENGINE_PRIORITY = 9
_HIGHEST_ENGINE_PRIORITY = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeouts:
    """Timeouts of one request; points in time are in event loop seconds.

    Attributes:
        arrived_at: Arrival of the request.
        latency_deadline: Latest start of a response that meets the target
            latency of the route.
        queue_deadline: When the request stops waiting for a target and is
            refused.
        deadline: When the complete response must have been sent.
        attempt_timeout_s: Time limit for the response headers of an attempt
            that can be retried.
        event_timeout_s: Time limit without data for a stream that can be
            resumed at another target.
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
    """Returns the timeouts of a request.

    Args:
        route: Route of the request.
        time_left_ms: Remaining time until the deadline of the caller, or None
            if the caller did not state one.
        now: Arrival of the request.
    """
    total_ms = route.timeout_ms
    if time_left_ms is not None:
        total_ms = min(total_ms, time_left_ms)
    deadline = now + total_ms / 1000
    latency_s = route.target_latency_ms / 1000
    gap_s = route.max_gap_ms / 1000
    streaming = route.execution == "streaming"
    disconnect_s = total_ms / 1000
    if streaming:
        disconnect_s = min(
            disconnect_s,
            max(
                _MIN_STREAM_DISCONNECT_S,
                _STREAM_DISCONNECT_LATENCIES * latency_s,
                _STREAM_DISCONNECT_GAPS * gap_s,
            ),
        )
    return RequestTimeouts(
        arrived_at=now,
        latency_deadline=now + latency_s,
        queue_deadline=now
        + max(disconnect_s / 2, disconnect_s - _TARGET_START_S),
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
    """Returns the priority at an engine, 0 first, of a request priority."""
    return min(_LOWEST_ENGINE_PRIORITY, _HIGHEST_ENGINE_PRIORITY + priority)
