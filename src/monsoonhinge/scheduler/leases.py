"""Holds a lease of the control log."""

import asyncio
import logging

from monsoonhinge.control import client as control_client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Use of the lease stops this share of its TTL earlier, for clock drift.
_USABLE_SHARE = 0.9

_RENEW_BELOW_S = 2.0
_ACQUIRE_TIMEOUT_S = 2.0
_RENEW_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class LeaseKeeper:
    """Acquires and renews one lease.

    Attributes:
        name: Lease name.
        fencing: Fencing number of the current grant, or 0.
        until: Time up to which the lease may be used, in seconds.
    """

    def __init__(
        self, *, name: str, holder: str, control: control_client.Client
    ) -> None:
        self.name = name
        self.fencing = 0
        self.until = 0.0
        self._holder = holder
        self._control = control
        self._given_up = 0

    def held(self, now: float) -> bool:
        """Returns whether the lease may be used now."""
        return bool(self.fencing) and now < self.until

    async def keep(self) -> None:
        """Acquires the lease, or renews it when it is due.

        Raises:
            errors.MonsoonhingeError: No control leader answered.
        """
        now = asyncio.get_running_loop().time()
        if not self.fencing:
            result = await self._control.propose(
                commands.AcquireLease(name=self.name, holder=self._holder),
                commands.LeaseResult,
                timeout=_ACQUIRE_TIMEOUT_S,
            )
            if not result.granted:
                return
            if result.fencing == self._given_up:
                # Commands under this number may still reach the log, so
                # the work continues only under a new one.
                self.fencing = result.fencing
                await self.release()
                return
            self.fencing = result.fencing
            self.until = 0.0
            _LOG.info("lease %s granted as %d", self.name, self.fencing)
        if self.until - now < _RENEW_BELOW_S:
            await self._renew()

    def lose(self) -> None:
        """Stops using the lease."""
        if self.fencing:
            _LOG.warning("lease %s lost", self.name)
            self._given_up = self.fencing
        self.fencing = 0
        self.until = 0.0

    async def release(self) -> None:
        """Hands the lease over."""
        fencing, self.fencing, self.until = self.fencing, 0, 0.0
        if fencing:
            await self._control.propose(
                commands.ReleaseLease(
                    name=self.name, holder=self._holder, fencing=fencing
                ),
                commands.Accepted,
                timeout=_ACQUIRE_TIMEOUT_S,
            )

    async def _renew(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        fencing = self.fencing
        try:
            reply = await self._control.request(
                messages.RenewLease(
                    name=self.name, holder=self._holder, fencing=fencing
                ),
                messages.LeaseRenewed,
                timeout=_RENEW_TIMEOUT_S,
            )
        except errors.RemoteError:
            self.lose()
            raise
        if self.fencing == fencing:
            self.until = asked_at + reply.ttl_ms / 1000 * _USABLE_SHARE
