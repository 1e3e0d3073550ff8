"""Refusals of requests that wait for tokens or a target, or would have to."""

from monsoonhinge.gateway import refusal


def queue_full() -> refusal.Refusal:
    """Returns the refusal of a request for which the queue has no room."""
    return refusal.Refusal(
        "too many requests wait",
        status=503,
        code="queue_full",
        retry_after_s=1,
        step="queue",
    )


def rate_limited(retry_after_s: float) -> refusal.Refusal:
    """Returns the refusal of a team that has no tokens left."""
    return refusal.Refusal(
        "the team's token rate is used up",
        status=429,
        code="rate_limited",
        retry_after_s=retry_after_s,
        step="grant",
    )


def paused(ends_in_s: float) -> refusal.Refusal:
    """Returns the refusal of a request whose targets all pause too long."""
    return refusal.Refusal(
        "all targets have asked for a pause",
        status=503,
        code="engine_busy",
        retry_after_s=ends_in_s,
        step="route",
    )


def no_target(service: str) -> refusal.Refusal:
    """Returns the refusal of a call to a service that no target runs."""
    return refusal.Refusal(
        f"no target runs service {service!r} at the moment",
        status=503,
        code="no_target",
        retry_after_s=1,
        step="route",
    )


def not_in_time(name: str, *, has_target: bool) -> refusal.Refusal:
    """Returns the refusal of a request whose deadline passed as it waited.

    Args:
        name: Model or service that it needs.
        has_target: Whether a target offers it.
    """
    return refusal.Refusal(
        f"{name!r} had no capacity in time"
        if has_target
        else f"no replica of {name!r} became ready in time",
        status=504,
        code="deadline_exceeded",
        retry_after_s=1,
        step="wait for replica",
    )
