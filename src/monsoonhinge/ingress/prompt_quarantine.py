"""Prompts that crash targets and must not reach any; performs no I/O."""

from collections.abc import Collection

from monsoonhinge.ingress import refusal
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events

_Prompt = frozenset[str]


class PromptQuarantine:
    """Quarantined prompts, as published by the control members.

    Each member publishes what it found itself. A prompt is quarantined until
    the latest of the times that they name.
    """

    def __init__(self) -> None:
        self._until: dict[_Prompt, float] = {}

    def apply(self, message: fleet.PromptQuarantines, now: float) -> bool:
        """Applies the quarantines of one member; returns whether any is new."""
        self._expire(now)
        found_new = False
        for item in message.quarantines:
            parts = frozenset(item.parts)
            until = now + item.for_ms / 1000
            if parts not in self._until:
                found_new = True
                events.emit(
                    events.QUARANTINE,
                    prompt=sorted(parts),
                    for_s=round(item.for_ms / 1000, 1),
                )
            self._until[parts] = max(until, self._until.get(parts, until))
        return found_new

    def remaining_s(self, parts: Collection[str], now: float) -> float:
        """Returns for how long a prompt stays quarantined; 0 if it is not."""
        prompt = frozenset(parts)
        return max(
            (
                until - now
                for quarantined, until in self._until.items()
                if until > now and quarantined <= prompt
            ),
            default=0.0,
        )

    def refusal(
        self, parts: Collection[str], now: float
    ) -> refusal.Refusal | None:
        """Returns the refusal of a quarantined prompt, or None."""
        remaining_s = self.remaining_s(parts, now)
        if remaining_s <= 0:
            return None
        return refusal.Refusal(
            refusal.Reason.CRASHES_TARGETS,
            retry_after_s=remaining_s,
            step="quarantine",
        )

    def check(self, parts: Collection[str], now: float) -> None:
        """Checks that a prompt may be sent to a target.

        Raises:
            refusal.Refusal: It is quarantined.
        """
        error = self.refusal(parts, now)
        if error is not None:
            raise error

    def dump(self, now: float) -> dict[str, float]:
        """Returns the remaining seconds by quarantined parts."""
        return {
            ",".join(sorted(parts)): round(until - now, 1)
            for parts, until in self._until.items()
            if until > now
        }

    def _expire(self, now: float) -> None:
        for parts, until in list(self._until.items()):
            if until <= now:
                del self._until[parts]
