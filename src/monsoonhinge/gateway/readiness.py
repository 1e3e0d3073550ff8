"""Estimates of the schedulers of when models become ready."""

import dataclasses

from monsoonhinge.gateway import refusal

# A scheduler repeats its estimates for as long as requests wait.
_ESTIMATE_TTL_S = 3.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    ready_at: float
    refused: bool
    reason: str
    valid_until: float


class ReadinessEstimates:
    """Latest readiness estimate for each resource."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def update(
        self,
        resource: str,
        *,
        ready_in_s: float,
        refused: bool,
        reason: str,
        now: float,
    ) -> None:
        """Stores an estimate.

        Args:
            resource: Key of a model or adapter.
            ready_in_s: Seconds until it is expected to be ready.
            refused: Whether it cannot be loaded at all.
            reason: Why it cannot be loaded.
            now: Current time in seconds.
        """
        self._estimates[resource] = _Estimate(
            ready_at=now + ready_in_s,
            refused=refused,
            reason=reason,
            valid_until=now + _ESTIMATE_TTL_S,
        )

    def ready_at(self, resource: str) -> float:
        """Returns the time at which a resource is expected to be ready.

        It is infinite if the resource cannot be loaded, and negatively
        infinite without an estimate.
        """
        estimate = self._estimates.get(resource)
        if estimate is None:
            return float("-inf")
        return float("inf") if estimate.refused else estimate.ready_at

    def refusal(
        self, resource: str, deadline: float, now: float
    ) -> refusal.Refusal | None:
        """Returns why a request cannot be served in time, or None."""
        estimate = self._estimates.get(resource)
        if estimate is None:
            return None
        if now > estimate.valid_until:
            del self._estimates[resource]
            return None
        if estimate.refused:
            return refusal.Refusal(
                f"the model cannot be loaded: {estimate.reason}",
                status=503,
                code="cannot_load",
                retry_after_s=5,
                step="wait for replica",
            )
        if estimate.ready_at <= deadline:
            return None
        return refusal.Refusal(
            "the model cannot be ready before the deadline",
            status=504,
            code="not_ready_in_time",
            retry_after_s=max(1.0, estimate.ready_at - now),
            step="wait for replica",
        )
