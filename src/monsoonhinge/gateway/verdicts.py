"""What schedulers say about models that are not loaded yet."""

import dataclasses

from monsoonhinge.gateway import refusal

# A scheduler repeats its verdicts while the demand lasts.
_VALID_S = 3.0


@dataclasses.dataclass(slots=True)
class _Verdict:
    ready_at: float
    refused: bool
    reason: str
    valid_until: float


class Verdicts:
    """Latest verdict of each lane."""

    def __init__(self) -> None:
        self._verdicts: dict[str, _Verdict] = {}

    def update(
        self,
        lane: str,
        *,
        ready_in_s: float,
        refused: bool,
        reason: str,
        now: float,
    ) -> None:
        """Takes a verdict."""
        self._verdicts[lane] = _Verdict(
            ready_at=now + ready_in_s,
            refused=refused,
            reason=reason,
            valid_until=now + _VALID_S,
        )

    def ready_at(self, lane: str) -> float:
        """Returns when a lane is expected to be served."""
        verdict = self._verdicts.get(lane)
        if verdict is None:
            return float("-inf")
        return float("inf") if verdict.refused else verdict.ready_at

    def refusal(
        self, lane: str, deadline: float, now: float
    ) -> refusal.Refusal | None:
        """Returns why a request cannot be served before its deadline."""
        verdict = self._verdicts.get(lane)
        if verdict is None:
            return None
        if now > verdict.valid_until:
            del self._verdicts[lane]
            return None
        if verdict.refused:
            return refusal.Refusal(
                f"the model cannot be loaded: {verdict.reason}",
                status=503,
                code="cannot_load",
                retry_after_s=5,
                step="wait for replica",
            )
        if verdict.ready_at <= deadline:
            return None
        return refusal.Refusal(
            "the model cannot be ready before the deadline",
            status=504,
            code="not_ready_in_time",
            retry_after_s=max(1.0, verdict.ready_at - now),
            step="wait for replica",
        )
