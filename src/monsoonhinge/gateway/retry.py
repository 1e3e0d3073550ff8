"""Retry budget, backoff and ejection of failing targets."""

from collections.abc import Collection
import dataclasses
import random

BUDGET_RATIO = 0.1
_INITIAL_CREDIT = 1.0
_MAX_CREDIT = 100.0

_BACKOFF_BASE_S = 0.025
_BACKOFF_MAX_S = 1.0

_EJECTION_BASE_S = 1.0
_EJECTION_MAX_S = 30.0
# The ejection time starts over this long after the last ejection ended.
_EJECTION_RESET_S = 60.0


class RetryBudget:
    """Limits retries to a tenth of the requests.

    One retry is available from the start, since a gateway with little traffic
    could otherwise not retry its first requests after a target failed.
    """

    def __init__(self) -> None:
        self._credit = _INITIAL_CREDIT

    def count_request(self) -> None:
        """Adds the credit that a request earns with its first attempt."""
        self._credit = min(self._credit + BUDGET_RATIO, _MAX_CREDIT)

    def take(self) -> bool:
        """Spends the credit for a retry; returns False if it is too low."""
        # Sums of 0.1 are slightly below whole numbers.
        if self._credit < 1.0 - 1e-9:
            return False
        self._credit -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt.

    Attributes:
        retryable: Whether the request may run twice.
        sent: Whether a byte of it may have been sent to the target.
        refused: Whether the target refused it before running it.
        response_started: Whether the caller received a part of the response.
    """

    retryable: bool
    sent: bool
    refused: bool = False
    response_started: bool = False


def may_retry(failure: Failure) -> bool:
    """Returns whether a retry is safe, regardless of the retry budget."""
    if failure.response_started:
        return False
    return failure.retryable or not failure.sent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry, exponential with full jitter.

    Args:
        attempt: Number of the failed attempt, from 0.
        rng: Source of the jitter.
    """
    max_delay_s = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2 ** min(attempt, 16))
    return rng.uniform(0.0, max_delay_s)


@dataclasses.dataclass(slots=True)
class _EjectionRecord:
    level: int = 0
    until: float = 0.0


class Ejections:
    """Temporary ejection of targets that failed."""

    def __init__(self) -> None:
        self._records: dict[str, _EjectionRecord] = {}

    def record_failure(self, target: str, now: float) -> None:
        """Ejects a target, for twice as long as its previous ejection."""
        record = self._records.setdefault(target, _EjectionRecord())
        if now < record.until:
            # Requests in flight at the first failure fail as well; together
            # they count as one failure.
            return
        if now > record.until + _EJECTION_RESET_S:
            record.level = 0
        duration = min(_EJECTION_MAX_S, _EJECTION_BASE_S * 2**record.level)
        record.level = min(record.level + 1, 16)
        record.until = now + duration

    def record_success(self, target: str, now: float) -> None:
        """Clears the record of a target that responds after its ejection."""
        record = self._records.get(target)
        if record is not None and now >= record.until:
            del self._records[target]

    def forget(self, target: str) -> None:
        """Drops the record of a target that left or was restarted."""
        self._records.pop(target, None)

    def excluded(self, candidates: Collection[str], now: float) -> set[str]:
        """Returns the candidates that must not get requests.

        At most half of the candidates are excluded, those whose ejection ends
        last.
        """
        ejected = [
            name
            for name in candidates
            if name in self._records and self._records[name].until > now
        ]
        ejected.sort(key=lambda name: (-self._records[name].until, name))
        return set(ejected[: len(candidates) // 2])

    def ejected_until(self) -> dict[str, float]:
        """Returns the end of each target's ejection, in seconds."""
        return {name: record.until for name, record in self._records.items()}
