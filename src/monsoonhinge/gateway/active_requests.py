"""Requests in progress, which the gateway can cancel or wait for."""

import asyncio
from collections.abc import Iterator
import contextlib

from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import refusal


class ActiveRequest:
    """A request in progress.

    Attributes:
        key_hash: Hash of the caller's key, or "" on an open route.
        cancellable: Whether the gateway may cancel it; a non-repeatable call
            always runs to its end.
        reason: Why the gateway cancelled it, or None.
        task: Task that handles it.
    """

    def __init__(self, *, key_hash: str, cancellable: bool) -> None:
        self.key_hash = key_hash
        self.cancellable = cancellable
        self.reason: refusal.Refusal | None = None
        self.task = asyncio.current_task()

    def cancel(self, reason: refusal.Refusal) -> None:
        """Cancels the task of the request, unless it is not cancellable."""
        if self.cancellable and self.reason is None and self.task is not None:
            self.reason = reason
            metrics.ENDED_REQUESTS.labels(reason.code).inc()
            self.task.cancel()

    def take_cancel_reason(self) -> refusal.Refusal | None:
        """Returns why the gateway cancelled the task, or None if it did not.

        Called when the task caught the cancellation, which is then cleared so
        that the task can send an error to the caller.
        """
        if self.reason is not None and self.task is not None:
            self.task.uncancel()
        return self.reason


class ActiveRequests:
    """All requests in progress."""

    def __init__(self) -> None:
        self._active: set[ActiveRequest] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return len(self._active)

    @contextlib.contextmanager
    def track(
        self, *, key_hash: str, cancellable: bool = True
    ) -> Iterator[ActiveRequest]:
        """Tracks the request of the current task until the context exits."""
        request = ActiveRequest(key_hash=key_hash, cancellable=cancellable)
        self._active.add(request)
        self._idle.clear()
        metrics.ACTIVE_REQUESTS.set(len(self._active))
        try:
            yield request
        finally:
            self._active.discard(request)
            metrics.ACTIVE_REQUESTS.set(len(self._active))
            if not self._active:
                self._idle.set()

    def key_hashes(self) -> set[str]:
        """Returns the hashes of the keys of all requests in progress."""
        return {
            request.key_hash for request in self._active if request.key_hash
        }

    def cancel(self, key_hash: str, reason: refusal.Refusal) -> None:
        """Cancels the requests of a key."""
        for request in list(self._active):
            if request.key_hash == key_hash:
                request.cancel(reason)

    def cancel_keyed(self, reason: refusal.Refusal) -> None:
        """Cancels all requests with a key; those of open routes continue."""
        for request in list(self._active):
            if request.key_hash:
                request.cancel(reason)

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()
