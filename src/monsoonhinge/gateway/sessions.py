"""Requests under way, so that the gateway can end or await them."""

import asyncio
from collections.abc import Iterator
import contextlib

from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import refusal


class Session:
    """A request under way.

    Attributes:
        key_hash: Hash of the caller's key, or "" on an open route.
        endable: Whether the gateway may end it; a non-repeatable call is
            always finished.
        reason: Why the gateway ended it, or None.
    """

    def __init__(self, *, key_hash: str, endable: bool) -> None:
        self.key_hash = key_hash
        self.endable = endable
        self.reason: refusal.Refusal | None = None
        self.task = asyncio.current_task()

    def end(self, reason: refusal.Refusal) -> None:
        """Ends the request; its task sees a cancellation."""
        if self.endable and self.reason is None and self.task is not None:
            self.reason = reason
            metrics.ENDED_STREAMS.labels(reason.code).inc()
            self.task.cancel()

    def ended(self) -> refusal.Refusal | None:
        """Returns why the task was cancelled if the gateway did it."""
        if self.reason is not None and self.task is not None:
            self.task.uncancel()
        return self.reason


class Sessions:
    """All requests under way."""

    def __init__(self) -> None:
        self._open: set[Session] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests under way."""
        return len(self._open)

    @contextlib.contextmanager
    def open(self, *, key_hash: str, endable: bool = True) -> Iterator[Session]:
        """Registers the request that the current task runs."""
        session = Session(key_hash=key_hash, endable=endable)
        self._open.add(session)
        self._idle.clear()
        metrics.RUNNING.set(len(self._open))
        try:
            yield session
        finally:
            self._open.discard(session)
            metrics.RUNNING.set(len(self._open))
            if not self._open:
                self._idle.set()

    def key_hashes(self) -> set[str]:
        """Returns the hashes of all keys in use."""
        return {item.key_hash for item in self._open if item.key_hash}

    def end(self, key_hash: str, reason: refusal.Refusal) -> None:
        """Ends the requests of a key."""
        for item in list(self._open):
            if item.key_hash == key_hash:
                item.end(reason)

    def end_keyed(self, reason: refusal.Refusal) -> None:
        """Ends the requests of all keys."""
        for item in list(self._open):
            if item.key_hash:
                item.end(reason)

    async def wait_idle(self) -> None:
        """Waits until no request is under way."""
        await self._idle.wait()
