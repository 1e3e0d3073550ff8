"""Holds requests that arrive while a gateway starts.

Load pattern: all VMs restart after a power loss, and callers connect before
the control members have elected a leader. The configuration arrives within a
second or two, so that these requests wait for it.
"""

import asyncio

from monsoonhinge.ingress import bounded_wait
from monsoonhinge.ingress import refusal

# Callers of streams disconnect after two seconds without an event. The rest of
# the time until the caller's deadline is left to run the request.
_WAIT = bounded_wait.BoundedWait(max_wait_s=1.75, fraction=0.7)

_CONFIGURATION_REASONS = frozenset(
    {refusal.Reason.NO_CONFIGURATION, refusal.Reason.STALE_CONFIGURATION}
)


class StartupGate:
    """Holds requests until the first confirmed configuration.

    The gate stays open from then on. If the gateway loses its control members
    later, it refuses requests immediately, since it cannot know when the
    members return.
    """

    def __init__(self) -> None:
        self._opened = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the configuration has been confirmed since the start."""
        return self._opened.is_set()

    def open(self) -> None:
        """Releases all requests, since the configuration is confirmed."""
        self._opened.set()

    async def wait(
        self,
        error: refusal.Refusal,
        *,
        time_left_ms: int | None,
        arrived_at: float,
    ) -> None:
        """Waits until the gate opens and the request can be admitted again.

        Args:
            error: Refusal of the first try to admit the request.
            time_left_ms: Remaining time until the deadline of the caller, or
                None.
            arrived_at: Arrival of the request, in seconds of the event loop.

        Raises:
            refusal.Refusal: The gate is open already, the configuration is not
                the reason of the refusal, or the wait timed out.
        """
        if self._opened.is_set() or error.reason not in _CONFIGURATION_REASONS:
            raise error
        await _WAIT.hold(
            self._opened.wait(),
            error,
            time_left_ms=time_left_ms,
            arrived_at=arrived_at,
        )
