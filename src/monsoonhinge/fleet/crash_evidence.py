"""Finds prompts that crash targets; performs no I/O.

Load pattern: each target that begins an answer on one prompt part crashes, and
requests with that part arrive at all gateways. Gateways report which prompts a
crashed target was about to answer, and which of these suspected parts targets
have answered since. What the prompts of several crashes have in common, and no
target has answered since the first of them, is quarantined.
"""

import collections
from collections.abc import Collection
import dataclasses

from monsoonhinge.protocol import fleet

# Crashed targets with a part in common after which the part is quarantined.
MIN_CRASHES = 3

# Several targets can crash at the same moment for another reason, such as a
# power loss. A part that was ever answered counts as the cause only if no
# target has answered it for this long while targets crashed.
MIN_UNSERVED_S = 2.0

# Crashes that are further apart are not related to each other.
EVIDENCE_WINDOW_S = 300.0

# A quarantine is lifted after this time, in case the cause is gone. It is
# twice as long each time that the next crash proves the contrary.
QUARANTINE_S = 60.0
_MAX_DOUBLINGS = 6

_MAX_CRASHES = 512
_MAX_QUARANTINES = 256
_MAX_SUSPECTS = 256

Prompt = frozenset[str]


@dataclasses.dataclass(slots=True)
class _Crash:
    target: str
    reported_at: float
    prompts: set[Prompt] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Prompts that no target may receive.

    Attributes:
        parts: Parts that all these prompts contain.
        until: When the quarantine is lifted.
        count: How often these parts have been quarantined.
        targets: Targets whose crashes led to it.
    """

    parts: Prompt
    until: float
    count: int
    targets: list[str]


class CrashEvidence:
    """Crashes of targets and the prompts that they were about to answer.

    Attributes:
        quarantines: Current and earlier quarantines.
    """

    def __init__(self) -> None:
        self.quarantines: dict[Prompt, Quarantine] = {}
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._served_at: dict[str, float] = {}

    def record_crash(
        self, message: fleet.TargetCrash, now: float
    ) -> list[Quarantine]:
        """Adds the report of a gateway; returns the new quarantines."""
        self._expire(now)
        self.record_served(message.served, now)
        crash = self._crashes.setdefault(
            (message.target, message.incarnation),
            _Crash(target=message.target, reported_at=now),
        )
        prompts = {frozenset(prompt.parts) for prompt in message.prompts}
        crash.prompts |= prompts
        renewed = self._renew(prompts, message.target, now)
        return renewed + self._find_causes(prompts, now)

    def record_served(
        self, served: Collection[fleet.ServedPart], now: float
    ) -> None:
        """Records when targets last answered some parts."""
        for item in served:
            at = now - item.age_ms / 1000
            self._served_at[item.part] = max(
                at, self._served_at.get(item.part, at)
            )

    def active(self, now: float) -> list[Quarantine]:
        """Returns the quarantines in force."""
        return [item for item in self.quarantines.values() if item.until > now]

    def suspects(self) -> list[str]:
        """Returns the parts that no target has answered since a crash."""
        newest_first = sorted(
            self._crashes.values(), key=lambda crash: -crash.reported_at
        )
        suspects = dict.fromkeys(
            part
            for crash in newest_first
            for prompt in crash.prompts
            for part in sorted(prompt)
            if crash.reported_at > self._served_at.get(part, float("-inf"))
        )
        return list(suspects)[:_MAX_SUSPECTS]

    def _renew(
        self, prompts: set[Prompt], target: str, now: float
    ) -> list[Quarantine]:
        """Renews lifted quarantines of prompts that crashed a target again."""
        return [
            self._quarantine(item.parts, [target], now)
            for item in list(self.quarantines.values())
            if item.until <= now
            and any(item.parts <= prompt for prompt in prompts)
        ]

    def _find_causes(
        self, prompts: set[Prompt], now: float
    ) -> list[Quarantine]:
        """Quarantines what these prompts share with those of other crashes.

        Parts without any answer come first, since a crash that they explain
        is no evidence against parts that targets have answered.
        """
        found = []
        parts = frozenset[str]().union(*prompts)
        for part in sorted(parts, key=lambda p: (p in self._served_at, p)):
            crashes = self._crashes_against(part, now)
            if not self._has_enough_evidence(part, crashes):
                continue
            common = self._common_parts(part, crashes, now)
            if not any(item.parts <= common for item in self.active(now)):
                targets = [crash.target for crash in crashes]
                found.append(self._quarantine(common, targets, now))
        return found

    def _crashes_against(self, part: str, now: float) -> list[_Crash]:
        """Returns the crashes that are evidence against a part."""
        crashes = [
            crash
            for crash in self._crashes.values()
            if any(part in prompt for prompt in crash.prompts)
        ]
        served_at = self._served_at.get(part)
        if served_at is None:
            return crashes
        return [
            crash
            for crash in crashes
            if crash.reported_at > served_at
            and not self._is_explained(crash, now)
        ]

    def _is_explained(self, crash: _Crash, now: float) -> bool:
        return any(
            item.parts <= prompt
            for item in self.active(now)
            for prompt in crash.prompts
        )

    def _has_enough_evidence(self, part: str, crashes: list[_Crash]) -> bool:
        if len(crashes) < MIN_CRASHES:
            return False
        if part not in self._served_at:
            return True
        times = [crash.reported_at for crash in crashes]
        return max(times) - min(
            times
        ) >= MIN_UNSERVED_S and not self._has_likelier_cause(crashes)

    def _has_likelier_cause(self, crashes: list[_Crash]) -> bool:
        """Returns whether crashes share a part that was never answered."""
        counts = collections.Counter(
            part
            for crash in crashes
            for part in frozenset[str]().union(*crash.prompts)
            if part not in self._served_at
        )
        return max(counts.values(), default=0) > 1

    def _common_parts(
        self, part: str, crashes: list[_Crash], now: float
    ) -> Prompt:
        """Returns the possible causes that all prompts with a part contain.

        A sound part that only ever occurs together with the crashing one is
        among them. It is not refused alone, so that a request with it can
        still prove it sound.
        """
        prompts = [
            prompt
            for crash in crashes
            for prompt in crash.prompts
            if part in prompt
        ]
        return frozenset(
            other
            for other in frozenset.intersection(*prompts)
            if self._has_enough_evidence(
                other, self._crashes_against(other, now)
            )
        )

    def _quarantine(
        self, parts: Prompt, targets: list[str], now: float
    ) -> Quarantine:
        previous = self.quarantines.pop(parts, None)
        count = 1 if previous is None else previous.count + 1
        duration_s = QUARANTINE_S * 2 ** min(count - 1, _MAX_DOUBLINGS)
        item = Quarantine(parts, now + duration_s, count, targets)
        self.quarantines[parts] = item
        if len(self.quarantines) > _MAX_QUARANTINES:
            del self.quarantines[next(iter(self.quarantines))]
        return item

    def _expire(self, now: float) -> None:
        oldest = now - EVIDENCE_WINDOW_S
        for key, crash in list(self._crashes.items()):
            if crash.reported_at < oldest or len(self._crashes) > _MAX_CRASHES:
                del self._crashes[key]
        for part, served_at in list(self._served_at.items()):
            if served_at < oldest:
                del self._served_at[part]
