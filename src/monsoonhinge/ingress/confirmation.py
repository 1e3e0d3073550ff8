"""Holds requests until the configuration is confirmed again.

Load pattern: an update of the configuration is late, or a gateway was
suspended, and callers use routes that were just added. The next probe is
answered, and the update arrives, within a fraction of a second.
"""

import asyncio
import typing

from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import bounded_wait
from monsoonhinge.ingress import refusal

# Probes are sent this often, so that the reply to the next one is awaited. Most
# of the time until the caller's deadline is left to run the request.
_WAIT = bounded_wait.BoundedWait(max_wait_s=0.5, fraction=0.3)


class Client(typing.Protocol):
    """What is used of the client of the control members."""

    @property
    def watched_member(self) -> str:
        """Member that sends configuration updates; empty without one."""

    def freshness(self, now: float) -> config_freshness.Freshness:
        """Returns what is known of the age of the configuration."""

    async def wait_for_update(self) -> None:
        """Waits until the configuration is updated or a probe is answered."""


class Confirmation:
    """Holds requests that a stale configuration cannot decide.

    Attributes:
        config_deadline_s: Age up to which a configuration decides.
    """

    def __init__(
        self,
        *,
        client: Client,
        config_deadline_s: float,
        max_staleness_s: float,
    ) -> None:
        """Creates it.

        Args:
            client: Client of the control members.
            config_deadline_s: Age up to which a configuration decides.
            max_staleness_s: Age from which the gateway counts as cut off.
        """
        self._client = client
        self.config_deadline_s = config_deadline_s
        self._max_staleness_s = max_staleness_s

    async def wait(
        self,
        error: refusal.Refusal,
        *,
        time_left_ms: int | None,
        arrived_at: float,
    ) -> None:
        """Waits until the configuration decides about a request.

        Args:
            error: Refusal of the first try to admit the request.
            time_left_ms: Remaining time until the deadline of the caller, or
                None.
            arrived_at: Arrival of the request, in seconds of the event loop.

        Raises:
            refusal.Refusal: The age of the configuration is not the reason of
                the refusal, the gateway is cut off from the control members,
                or the wait timed out.
        """
        if (
            error.reason is not refusal.Reason.STALE_CONFIGURATION
            or self._is_cut_off()
        ):
            raise error
        await _WAIT.hold(
            self._wait_until_current(),
            error,
            time_left_ms=time_left_ms,
            arrived_at=arrived_at,
        )

    async def _wait_until_current(self) -> None:
        while self._staleness_s() > self.config_deadline_s:
            await self._client.wait_for_update()

    def _is_cut_off(self) -> bool:
        return (
            not self._client.watched_member
            or self._staleness_s() > self._max_staleness_s
        )

    def _staleness_s(self) -> float:
        now = asyncio.get_running_loop().time()
        return self._client.freshness(now).staleness_s
