"""Reports crashed targets with the prompts that they were about to answer.

Load pattern: requests with one prompt part crash each target that begins an
answer on it. A connection that breaks is no proof of a crash: a report is sent
only if the target no longer accepts connections right after that.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterable
import dataclasses

from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.runtime import supervision

# A crash within this time after the first event of an answer may still be due
# to the prompt; after it, the target has proved that it can answer.
CRASH_DELAY_S = 0.3

# Requests that a crash breaks within this time are reported together.
_BATCH_DELAY_S = 0.02

# Parts whose last answer this gateway remembers.
_MAX_SERVED_PARTS = 10_000

# Minimum interval between reports that a suspected part was answered.
_REPORT_INTERVAL_S = 0.5

_Incarnation = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _BrokenTarget:
    """A broken target and the prompts that it was about to answer."""

    address: str
    prompts: set[tuple[str, ...]] = dataclasses.field(default_factory=set)


class CrashReporter:
    """Tells crashes from broken connections, and reports them.

    It also reports answers to the prompt parts that control members suspect.
    """

    def __init__(
        self,
        *,
        refuses_connections: Callable[[str], Awaitable[bool]],
        send: Callable[[fleet.TargetCrash | fleet.PartsServed], None],
    ) -> None:
        self._refuses_connections = refuses_connections
        self._send = send
        self._served_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._suspects: dict[str, set[str]] = {}
        self._reported_at: dict[str, float] = {}
        self._broken_targets: dict[_Incarnation, _BrokenTarget] = {}
        self._supervisor = supervision.Supervisor()

    def record_served(self, parts: list[str], now: float) -> None:
        """Records that a target answered a prompt completely."""
        for part in parts:
            self._served_at[part] = now
            self._served_at.move_to_end(part)
        while len(self._served_at) > _MAX_SERVED_PARTS:
            self._served_at.popitem(last=False)
        self._report_served(self._all_suspects().intersection(parts), now)

    def set_suspects(self, member: str, suspects: list[str]) -> None:
        """Replaces the suspected parts of one control member.

        The member is told at once which of the new ones were answered before.
        """
        now = asyncio.get_running_loop().time()
        new = set(suspects) - self._all_suspects()
        if suspects:
            self._suspects[member] = set(suspects)
        else:
            self._suspects.pop(member, None)
        self._reported_at = {
            part: at
            for part, at in self._reported_at.items()
            if part in self._all_suspects()
        }
        self._report_served(new, now)

    def record_break(
        self,
        target: target_table.Target,
        parts: list[str],
        *,
        event_relayed_at: float | None,
    ) -> None:
        """Records a connection that broke; checks the target if it may matter.

        Args:
            target: Target of the connection.
            parts: Shared parts of the prompt that it was to answer.
            event_relayed_at: When the first event of its answer was relayed,
                in seconds of the event loop, or None.
        """
        now = asyncio.get_running_loop().time()
        answered = (
            event_relayed_at is not None
            and now - event_relayed_at > CRASH_DELAY_S
        )
        if answered or not parts:
            return
        key = (target.name, target.registration.incarnation)
        broken = self._broken_targets.get(key)
        if broken is None:
            broken = _BrokenTarget(address=target.registration.address)
            self._broken_targets[key] = broken
            self._supervisor.spawn("check_broken_target", self._check(key))
        broken.prompts.add(tuple(parts))

    def stop(self) -> None:
        """Cancels all checks."""
        self._supervisor.cancel()

    async def _check(self, key: _Incarnation) -> None:
        await asyncio.sleep(_BATCH_DELAY_S)
        broken = self._broken_targets.pop(key)
        crashed = await self._refuses_connections(broken.address)
        target, incarnation = key
        events.emit(
            events.CRASHED,
            target=target,
            incarnation=incarnation,
            prompts=sorted(broken.prompts),
            outcome="crashed" if crashed else "accepts_connections",
        )
        if crashed:
            self._send(self._report(key, broken))

    def _all_suspects(self) -> set[str]:
        return set().union(*self._suspects.values())

    def _report_served(self, parts: Iterable[str], now: float) -> None:
        """Reports the last answers of suspected parts, unless just done."""
        due = [
            part
            for part in sorted(parts)
            if part in self._served_at
            and now - self._reported_at.get(part, -_REPORT_INTERVAL_S)
            >= _REPORT_INTERVAL_S
        ]
        if due:
            self._reported_at.update(dict.fromkeys(due, now))
            self._send(fleet.PartsServed(served=self._served(due, now)))

    def _served(self, parts: list[str], now: float) -> list[fleet.ServedPart]:
        return [
            fleet.ServedPart(
                part=part, age_ms=int((now - self._served_at[part]) * 1000)
            )
            for part in parts
            if part in self._served_at
        ]

    def _report(
        self, key: _Incarnation, broken: _BrokenTarget
    ) -> fleet.TargetCrash:
        now = asyncio.get_running_loop().time()
        parts = sorted({part for prompt in broken.prompts for part in prompt})
        return fleet.TargetCrash(
            target=key[0],
            incarnation=key[1],
            prompts=[
                fleet.SuspectPrompt(parts=list(prompt))
                for prompt in sorted(broken.prompts)
            ],
            served=self._served(parts, now),
        )
