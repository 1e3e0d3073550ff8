"""When waiting requests can be expected to be served."""

from collections.abc import Iterable, Mapping
import dataclasses
import math

from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand as demand_book

# Expected wait for room when every replica is in use.
BUSY_S = 10.0

# A load that is overdue is expected to take this much longer again.
_OVERDUE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """When a model or adapter is expected to be ready.

    Attributes:
        ready_at: Time in seconds, or infinite with a reason.
        reason: Why it can never be ready, or "".
    """

    ready_at: float
    reason: str = ""

    @classmethod
    def never(cls, reason: str) -> "Expectation":
        """Returns the verdict on something that cannot be loaded at all."""
        return cls(ready_at=math.inf, reason=reason)


def loading_until(*, started_at: float, load_s: float, now: float) -> float:
    """Returns when a load in progress is expected to be complete."""
    elapsed = now - started_at
    return now + max(load_s - elapsed, _OVERDUE_SHARE * elapsed, 0.0)


def message(
    expectations: Mapping[demand_book.Key, Expectation],
    keys: Iterable[demand_book.Key],
    now: float,
) -> messages.Verdict:
    """Returns the verdicts that concern one gateway."""
    items = []
    for key in sorted(keys):
        expected = expectations.get(key)
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
