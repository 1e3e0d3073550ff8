"""Detects targets that make no progress, so that others can take over.

Load pattern: targets slow down under load, and some hang. A slow one is given
up only if there is another attempt for the request; otherwise its response is
awaited, since it is the only one that the caller can get.
"""

import asyncio
from collections.abc import Callable

from monsoonhinge.gateway import forward


class Stalled(forward.AnswerLost):
    """A target made no progress; another attempt was reserved instead."""

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(message, step=step, peer=peer, timed_out=True)


class Watchdog:
    """Ends a wait that makes no progress, with one timer for its whole time.

    Attributes:
        fired: Whether it has ended the wait.
    """

    def __init__(
        self,
        *,
        limit: asyncio.Timeout,
        timeout_s: float,
        reserve_attempt: Callable[[], bool],
    ) -> None:
        """Starts the watchdog; its user must stop it.

        Args:
            limit: Timeout of the wait, which expires when the watchdog fires.
            timeout_s: Longest time without progress.
            reserve_attempt: Called after that time. Returns whether another
                attempt is possible; otherwise the wait goes on, and it is
                called again after the same time.
        """
        self.fired = False
        self._limit = limit
        self._timeout_s = timeout_s
        self._reserve_attempt = reserve_attempt
        self._paused_at: float | None = None
        self._loop = asyncio.get_running_loop()
        self._progress_at = self._loop.time()
        self._timer = self._schedule(self._progress_at + timeout_s)

    def set_timeout(self, timeout_s: float) -> None:
        """Changes the longest time without progress."""
        if timeout_s != self._timeout_s:
            self._timer.cancel()
            self._timeout_s = timeout_s
            self._timer = self._schedule(self._progress_at + timeout_s)

    def pause(self) -> None:
        """Stops the time while the target is not waited for."""
        self._paused_at = self._loop.time()

    def resume(self, *, progressed: bool) -> None:
        """Goes on after a pause.

        Args:
            progressed: Whether a part of the response had arrived, so that the
                time starts anew.
        """
        now = self._loop.time()
        if progressed or self._paused_at is None:
            self._progress_at = now
        else:
            self._progress_at += now - self._paused_at
        self._paused_at = None

    def stop(self) -> None:
        """Ends the watchdog."""
        self._timer.cancel()

    def _schedule(self, at: float) -> asyncio.TimerHandle:
        return self._loop.call_at(at, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        due_at = self._progress_at + self._timeout_s
        if self._paused_at is not None:
            due_at += now - self._paused_at
        if now < due_at:
            self._timer = self._schedule(due_at)
        elif self._paused_at is not None:
            self._timer = self._schedule(now + self._timeout_s)
        elif self._reserve_attempt():
            self.fired = True
            self._limit.reschedule(now)
        else:
            self._progress_at = now
            self._timer = self._schedule(now + self._timeout_s)
