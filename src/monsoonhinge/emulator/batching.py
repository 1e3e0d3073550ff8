"""Slots of a replica for requests that run together."""

import asyncio
import heapq
import itertools


class Slots:
    """Gives a limited number of slots, the highest priority first.

    Attributes:
        size: Number of slots.
        running: Slots in use.
        peak: Most slots in use at a time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self.peak = 0
        self._order = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Requests without a slot."""
        return sum(not entry[2].done() for entry in self._queue)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; equal priorities are served in order."""
        if self.running >= self.size or self.waiting:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._queue, (-priority, next(self._order), turn))
            try:
                await turn
            except asyncio.CancelledError:
                # The slot may have been given just before the cancellation.
                if turn.done() and not turn.cancelled():
                    self.release()
                raise
            return
        self._take()

    def release(self) -> None:
        """Returns a slot and gives it to the next request."""
        self.running -= 1
        while self._queue and self.running < self.size:
            turn = heapq.heappop(self._queue)[2]
            if not turn.done():
                self._take()
                turn.set_result(None)

    def _take(self) -> None:
        self.running += 1
        self.peak = max(self.peak, self.running)
