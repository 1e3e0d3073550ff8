"""Readiness estimates: when models that requests wait for can serve."""

from collections.abc import Iterable, Mapping
import dataclasses
import math

from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand as gateway_demand

# Expected wait for memory while every replica is in use.
NO_MEMORY_WAIT_S = 10.0

# An overdue load is expected to take this share of its elapsed time longer.
_OVERDUE_EXTENSION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate of when a model or adapter is ready.

    Attributes:
        ready_at: Time in seconds, or infinite with a reason.
        reason: Why it can never be ready, or "".
    """

    ready_at: float
    reason: str = ""

    @classmethod
    def impossible(cls, reason: str) -> "Estimate":
        """Returns the estimate for something that can never be loaded."""
        return cls(ready_at=math.inf, reason=reason)


def expected_completion(
    *, started_at: float, load_s: float, now: float
) -> float:
    """Returns when a load in progress is expected to be complete."""
    elapsed = now - started_at
    return now + max(load_s - elapsed, _OVERDUE_EXTENSION * elapsed, 0.0)


def verdict_message(
    estimates: Mapping[gateway_demand.DemandKey, Estimate],
    keys: Iterable[gateway_demand.DemandKey],
    now: float,
) -> messages.Verdict:
    """Returns the message with the estimates that a gateway needs.

    Args:
        estimates: Estimates by model and adapter.
        keys: Models and adapters that requests at the gateway wait for.
        now: Current time in seconds.
    """
    items = []
    for key in sorted(keys):
        expected = estimates.get(key)
        if expected is None:
            continue
        refused = bool(expected.reason)
        items.append(
            messages.VerdictItem(
                model=key[0],
                adapter=key[1],
                ready_in_ms=(
                    0
                    if refused
                    else max(0, int((expected.ready_at - now) * 1000))
                ),
                refused=refused,
                reason=expected.reason,
            )
        )
    return messages.Verdict(items=items)
