"""Acquires, renews and releases a lease of the control cluster."""

import asyncio
import logging

from monsoonhinge.control import client
from monsoonhinge.control import lease_state
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import clock
from monsoonhinge.runtime import errors

_ACQUIRE_TIMEOUT_S = 2.0
_RENEW_TIMEOUT_S = 1.0

_LEASE_LOST_CODE = "lease_lost"

_LOG = logging.getLogger("monsoonhinge.control.keeper")


class LeaseClient:
    """Acquires and renews one lease for this process.

    The caller invokes ``acquire_or_renew`` periodically and must check
    ``held`` before each action that requires the lease. A lease also runs out
    while the machine is suspended, which the time of the event loop does not
    count.

    Attributes:
        name: Lease name.
        holder: Node and incarnation of this process.
    """

    def __init__(
        self, *, name: str, holder: str, control: client.Client
    ) -> None:
        self.name = name
        self.holder = holder
        self._control = control
        self._lease = lease_state.LeaseState()
        self._invalidated_fencing = 0

    @property
    def fencing(self) -> int:
        """Fencing token of the current grant; 0 without a grant."""
        return self._lease.fencing

    @property
    def usable_until(self) -> float:
        """Time of the event loop at which the lease becomes unusable."""
        return self._lease.usable_until - clock.suspended_s()

    def held(self, now: float) -> bool:
        """Returns whether the lease may be used now.

        Args:
            now: Current time of the event loop.
        """
        return self._lease.is_usable(now + clock.suspended_s())

    async def acquire_or_renew(self) -> None:
        """Acquires the lease, or renews it when renewal is due.

        Raises:
            errors.MonsoonhingeError: No control leader replied in time.
        """
        try:
            if self._lease.next_step(_now()) is lease_state.Step.ACQUIRE:
                await self._acquire()
            if self._lease.next_step(_now()) is lease_state.Step.RENEW:
                await self._renew()
        except errors.MonsoonhingeError:
            self._lease.handle_failure(_now())
            raise

    def invalidate(self) -> None:
        """Makes the current grant unusable, even if it is confirmed again.

        Commands with its fencing token may still be in flight and reach the
        log, so the lease is usable again only with a new fencing token.
        """
        if self._lease.fencing:
            _LOG.warning(
                "lease %s with fencing token %d invalidated",
                self.name,
                self._lease.fencing,
            )
            self._invalidated_fencing = self._lease.fencing
        self._lease.handle_loss(_now())

    async def release(self) -> None:
        """Stops using the lease and releases it for other processes.

        Raises:
            errors.MonsoonhingeError: The release was not confirmed. The lease
                then remains granted until it expires.
        """
        fencing = self._lease.fencing
        self._lease.handle_release()
        if fencing:
            await self._control.propose(
                commands.ReleaseLease(
                    name=self.name, holder=self.holder, fencing=fencing
                ),
                commands.Accepted,
                timeout=_ACQUIRE_TIMEOUT_S,
            )

    async def _acquire(self) -> None:
        result = await self._control.propose(
            commands.AcquireLease(name=self.name, holder=self.holder),
            commands.LeaseResult,
            timeout=_ACQUIRE_TIMEOUT_S,
        )
        self._lease.handle_acquire_result(result, _now())
        if not result.granted:
            return
        if result.fencing == self._invalidated_fencing:
            await self.release()
        else:
            _LOG.info(
                "lease %s granted with fencing token %d",
                self.name,
                result.fencing,
            )

    async def _renew(self) -> None:
        sent_at = _now()
        fencing = self._lease.fencing
        try:
            reply = await self._control.request(
                messages.RenewLease(
                    name=self.name, holder=self.holder, fencing=fencing
                ),
                messages.LeaseRenewed,
                timeout=_RENEW_TIMEOUT_S,
            )
        except errors.RemoteError as error:
            if error.code != _LEASE_LOST_CODE:
                raise
            _LOG.warning("lease %s lost: the leader refused renewal", self.name)
            self._lease.handle_loss(_now())
            return
        # The lease may have been invalidated or released during the request.
        if self._lease.fencing == fencing:
            self._lease.handle_renewal(
                sent_at=sent_at, ttl_s=reply.ttl_ms / 1000
            )


def _now() -> float:
    """Returns the time of the event loop, plus the time of suspensions."""
    return asyncio.get_running_loop().time() + clock.suspended_s()
