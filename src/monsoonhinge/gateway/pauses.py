"""Targets that asked to get no requests for a while."""

from collections.abc import Collection, Iterable


class TargetPauses:
    """Pauses of targets by name; times are in seconds of the event loop."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, target: str, until: float) -> None:
        """Records that a target wants no requests until a time."""
        self._until[target] = max(until, self._until.get(target, until))

    def forget(self, target: str) -> None:
        """Drops the pause of a target that left or was restarted."""
        self._until.pop(target, None)

    def paused(self, candidates: Collection[str], now: float) -> set[str]:
        """Returns the candidates that must not get requests now."""
        return {name for name in candidates if self._until.get(name, 0.0) > now}

    def earliest_end(self, candidates: Iterable[str]) -> float:
        """Returns when the first of the candidates takes requests again.

        The time has passed if one of them is not paused, or there is none.
        """
        return min(
            (self._until.get(name, 0.0) for name in candidates), default=0.0
        )
