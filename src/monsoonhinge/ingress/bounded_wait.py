"""Holds a request for a part of the time that its caller waits."""

import asyncio
from collections.abc import Awaitable
import dataclasses

from monsoonhinge.ingress import refusal


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedWait:
    """Longest time for which a request is held.

    Attributes:
        max_wait_s: Longest time since its arrival, in seconds.
        fraction: Longest part of the time until its caller's deadline.
    """

    max_wait_s: float
    fraction: float

    async def hold(
        self,
        condition: Awaitable[object],
        error: refusal.Refusal,
        *,
        time_left_ms: int | None,
        arrived_at: float,
    ) -> None:
        """Waits for a condition.

        Args:
            condition: What is awaited.
            error: Refusal of the request without it.
            time_left_ms: Remaining time until the deadline of the caller, or
                None.
            arrived_at: Arrival of the request, in seconds of the event loop.

        Raises:
            refusal.Refusal: ``error``, since the wait timed out.
        """
        wait_s = self.max_wait_s
        if time_left_ms is not None:
            wait_s = min(wait_s, self.fraction * time_left_ms / 1000)
        try:
            async with asyncio.timeout_at(arrived_at + wait_s):
                await condition
        except TimeoutError:
            raise error from None
