"""Concurrency limit of a replica."""

import asyncio
import heapq
import itertools


class Slots:
    """Limits the requests that run at a time; higher priorities go first.

    Attributes:
        size: Number of slots.
        running: Slots in use.
        peak_running: Largest number of slots in use at a time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self.peak_running = 0
        self._arrival_order = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not entry[2].done() for entry in self._waiters)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; equal priorities are served in arrival order.

        Args:
            priority: Priority of the request; the highest is served first.
        """
        if self.running >= self.size or self.waiting:
            waiter = asyncio.get_running_loop().create_future()
            heapq.heappush(
                self._waiters, (-priority, next(self._arrival_order), waiter)
            )
            try:
                await waiter
            except asyncio.CancelledError:
                # The slot may have been assigned just before the cancellation.
                if waiter.done() and not waiter.cancelled():
                    self.release()
                raise
            return
        self._occupy()

    def release(self) -> None:
        """Releases a slot and assigns free slots to waiting requests."""
        self.running -= 1
        while self._waiters and self.running < self.size:
            waiter = heapq.heappop(self._waiters)[2]
            if not waiter.done():
                self._occupy()
                waiter.set_result(None)

    def _occupy(self) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
