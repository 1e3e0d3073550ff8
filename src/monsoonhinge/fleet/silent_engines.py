"""Tells engines that are only silent from engines that are gone.

Load pattern: the announcements of an engine are delayed or lost while it runs
requests and loads models. An engine that still replies to the lease holder is
kept, so that its loads are not started again elsewhere.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses

from monsoonhinge.runtime import supervision

# Interval between checks of a silent engine.
_CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class _Check:
    """Checks of one incarnation of a silent engine.

    Attributes:
        incarnation: The incarnation.
        next_at: When it is checked again.
        replied: Whether it replied to the last check; None before the first.
        task: Check in progress, or None.
    """

    incarnation: int
    next_at: float
    replied: bool | None = None
    task: asyncio.Task[None] | None = None


class SilentEngines:
    """Checks silent engines until they announce themselves or do not reply."""

    def __init__(self, *, replies: Callable[[str], Awaitable[bool]]) -> None:
        """Initializes the checks.

        Args:
            replies: Returns whether an engine replies to this member.
        """
        self._replies = replies
        self._checks: dict[str, _Check] = {}
        self._supervisor = supervision.Supervisor()

    def is_kept(self, target: str, incarnation: int, now: float) -> bool:
        """Returns whether a silent engine is kept, and checks it when due."""
        check = self._checks.get(target)
        if check is None or check.incarnation != incarnation:
            self.forget(target)
            check = _Check(incarnation=incarnation, next_at=now)
            self._checks[target] = check
        if check.replied is False:
            return False
        if check.task is None and now >= check.next_at:
            check.next_at = now + _CHECK_INTERVAL_S
            check.task = self._supervisor.spawn(
                "check_silent_engine", self._run(target, check)
            )
        return True

    def is_confirmed(self, target: str) -> bool:
        """Returns whether a silent engine has replied to its last check."""
        check = self._checks.get(target)
        return check is not None and check.replied is True

    def forget(self, target: str) -> None:
        """Ends the checks of an engine that announces itself again."""
        check = self._checks.pop(target, None)
        if check is not None and check.task is not None:
            check.task.cancel()

    def stop(self) -> None:
        """Cancels all checks."""
        for target in list(self._checks):
            self.forget(target)

    async def _run(self, target: str, check: _Check) -> None:
        replied = False
        with supervision.contain("check_silent_engine", subject=target):
            replied = await self._replies(target)
        check.replied = replied
        check.task = None
