"""Retry budget, backoff and ejection of failing targets."""

from collections.abc import Collection
import dataclasses
import random

BUDGET_RATIO = 0.1
_BUDGET_START = 1.0
_BUDGET_MAX = 100.0

_BACKOFF_BASE_S = 0.025
_BACKOFF_MAX_S = 1.0

_EJECTION_BASE_S = 1.0
_EJECTION_MAX_S = 30.0
# A target that held this long after its last ejection starts over.
_EJECTION_MEMORY_S = 60.0


class Budget:
    """Permits retries for a tenth of the requests.

    One retry is permitted from the start; a gateway with little traffic could
    otherwise not move its first requests away from a dead target.
    """

    def __init__(self) -> None:
        self._credit = _BUDGET_START

    def request(self) -> None:
        """Counts a first attempt."""
        self._credit = min(self._credit + BUDGET_RATIO, _BUDGET_MAX)

    def take(self) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        # Sums of 0.1 fall slightly short of whole numbers.
        if self._credit < 1.0 - 1e-9:
            return False
        self._credit -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt.

    Attributes:
        repeatable: Whether the request may run twice.
        sent: Whether a byte of it may have left for the target.
        refused: Whether the target refused it before running it.
        answer_started: Whether a byte of the answer reached the caller.
    """

    repeatable: bool
    sent: bool
    refused: bool = False
    answer_started: bool = False


def allowed(failure: Failure) -> bool:
    """Returns whether a failed attempt may be repeated at all."""
    if failure.answer_started:
        return False
    return failure.repeatable or not failure.sent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the pause before a retry.

    Args:
        attempt: Number of the failed attempt, from 0.
        rng: Source of the jitter.
    """
    longest = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2 ** min(attempt, 16))
    return rng.uniform(0.0, longest)


@dataclasses.dataclass(slots=True)
class _Record:
    level: int = 0
    until: float = 0.0


class Ejections:
    """Targets that get no work for a while because they failed."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def failed(self, target: str, now: float) -> None:
        """Ejects a target, for twice as long as the time before."""
        record = self._records.setdefault(target, _Record())
        if now < record.until:
            # Requests under way at the first failure count as one failure.
            return
        if now > record.until + _EJECTION_MEMORY_S:
            record.level = 0
        duration = min(_EJECTION_MAX_S, _EJECTION_BASE_S * 2**record.level)
        record.level = min(record.level + 1, 16)
        record.until = now + duration

    def succeeded(self, target: str, now: float) -> None:
        """Notes an answer of a target that is not ejected any more."""
        record = self._records.get(target)
        if record is not None and now >= record.until:
            del self._records[target]

    def forget(self, target: str) -> None:
        """Drops what is known of a target that left or started anew."""
        self._records.pop(target, None)

    def excluded(self, candidates: Collection[str], now: float) -> set[str]:
        """Returns which candidates must get no work.

        At most half of the candidates are excluded; those whose ejection ends
        last are.
        """
        ejected = [
            name
            for name in candidates
            if name in self._records and self._records[name].until > now
        ]
        ejected.sort(key=lambda name: (-self._records[name].until, name))
        return set(ejected[: len(candidates) // 2])

    def until(self) -> dict[str, float]:
        """Returns the end of each ejection, for the state dump."""
        return {name: record.until for name, record in self._records.items()}
