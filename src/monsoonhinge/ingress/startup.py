"""Requests that arrive while a gateway starts.

Load pattern: all machines come back after a loss of power, and callers
connect before the control members have elected a leader. The configuration
follows within a second or two, so that these requests wait for it.
"""

import asyncio

from monsoonhinge.ingress import refusal

# Callers of streams leave after two seconds without an event.
_MAX_WAIT_S = 1.75
# A part of the time that a caller waits is left to run its request.
_WAIT_FRACTION = 0.7

_CONFIGURATION_REASONS = frozenset(
    {refusal.Reason.NO_CONFIGURATION, refusal.Reason.STALE_CONFIGURATION}
)


class StartupGate:
    """Lets requests wait for the first configuration that may be relied on.

    A gateway that was in touch once and lost its control members refuses at
    once instead, since nothing tells when they come back.
    """

    def __init__(self) -> None:
        self._opened = asyncio.Event()

    def open(self) -> None:
        """Ends the start: the configuration is confirmed."""
        self._opened.set()

    async def wait(
        self,
        error: refusal.Refusal,
        *,
        time_left_ms: int | None,
        arrived_at: float,
    ) -> None:
        """Returns once a refused request may be admitted.

        Args:
            error: Why it may not be admitted now.
            time_left_ms: How long its caller waits, if it says so.
            arrived_at: When it came, in seconds of the event loop.

        Raises:
            refusal.Refusal: The wait would not help, or was too long.
        """
        if self._opened.is_set() or error.reason not in _CONFIGURATION_REASONS:
            raise error
        wait_s = _MAX_WAIT_S
        if time_left_ms is not None:
            wait_s = min(wait_s, _WAIT_FRACTION * time_left_ms / 1000)
        try:
            async with asyncio.timeout_at(arrived_at + wait_s):
                await self._opened.wait()
        except TimeoutError:
            raise error from None
