"""Publishes the prompts that no target may receive, as they crash targets."""

import asyncio
from collections.abc import Callable

from monsoonhinge.fleet import crash_evidence
from monsoonhinge.fleet import metrics
from monsoonhinge.protocol import durations
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events

# All gateways of a crashed target report it within this time; what follows
# from their reports is published together.
_BATCH_DELAY_S = 0.02


class QuarantinePublisher:
    """Collects the reports of gateways and publishes quarantines.

    Every control member does so on its own, since gateways report to all of
    them. Quarantines therefore outlast the loss of any member.
    """

    def __init__(
        self, *, broadcast: Callable[[fleet.PromptQuarantines], None]
    ) -> None:
        self._broadcast = broadcast
        self._evidence = crash_evidence.CrashEvidence()
        self._published_suspects: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    def record_crash(self, message: fleet.TargetCrash, now: float) -> None:
        """Records a report, and publishes the quarantines that follow."""
        metrics.CRASH_REPORTS.inc()
        changed = self._evidence.record_crash(message, now)
        for item in changed:
            metrics.QUARANTINES.inc()
            events.emit(
                events.QUARANTINE,
                prompt=sorted(item.parts),
                for_s=round(item.until - now, 1),
                count=item.count,
                targets=item.targets,
            )
        if changed or self._evidence.suspects() != self._published_suspects:
            self._schedule_publication()

    def record_served(self, message: fleet.PartsServed, now: float) -> None:
        """Records that targets answered suspected parts."""
        self._evidence.record_served(message.served, now)
        if self._evidence.suspects() != self._published_suspects:
            self._schedule_publication()

    def snapshot(self, now: float) -> fleet.PromptQuarantines:
        """Returns quarantines and suspects, for a new subscriber."""
        return fleet.PromptQuarantines(
            quarantines=[
                fleet.PromptQuarantine(
                    parts=sorted(item.parts),
                    for_ms=durations.to_ms(item.until - now),
                )
                for item in self._evidence.active(now)
            ],
            suspects=self._evidence.suspects(),
        )

    def stop(self) -> None:
        """Cancels a scheduled publication."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_publication(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                _BATCH_DELAY_S, self._publish
            )

    def _publish(self) -> None:
        self._timer = None
        message = self.snapshot(asyncio.get_running_loop().time())
        self._published_suspects = message.suspects
        self._broadcast(message)
