"""Keeps a lease of the control members."""

import asyncio
import logging
import typing

from monsoonhinge.control import client
from monsoonhinge.control import lease
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_TICK_S = 0.05
_TIMEOUT_S = 1.0
_RELEASE_TIMEOUT_S = 3.0

# Answer to a renewal of a grant that has ended.
_LOST_CODE = "lease_lost"

_LOG = logging.getLogger(__name__)


class Listener(typing.Protocol):
    """Learns when the lease can be used."""

    def lease_gained(self, name: str, fencing: int) -> None:
        """Called when the lease becomes usable, also after an interruption."""

    def lease_lost(self, name: str, fencing: int) -> None:
        """Called when the lease is no longer usable."""


class Keeper:
    """Acquires a lease, renews it early and releases it on drain.

    Every use of the lease has to ask ``usable`` first: the listener is told
    within a tick, which is later than the end of the lease.

    Attributes:
        name: Name of the lease.
        holder: Node and incarnation of this process.
    """

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        control: client.Client,
        listener: Listener | None = None,
    ) -> None:
        self.name = name
        self.holder = holder
        self._control = control
        self._listener = listener
        self._lease = lease.Lease()
        self._announced = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def fencing(self) -> int:
        """Fencing number of the grant; 0 without a grant."""
        return self._lease.fencing

    @property
    def usable_until(self) -> float:
        """Time of the event loop from which on the lease must not be used."""
        return self._lease.usable_until

    def usable(self, *, for_s: float = 0.0) -> bool:
        """Returns whether the lease may be used for some seconds from now."""
        return self._lease.usable(
            asyncio.get_running_loop().time(), for_s=for_s
        )

    def start(self) -> None:
        """Begins to acquire the lease."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run()),
            loop.create_task(self._announce_changes()),
        ]

    async def drain(self) -> None:
        """Stops using the lease and releases it.

        A release that is not confirmed in time is left to expire.
        """
        self._lease.drain()
        self._announce()
        await self.stop()
        if self._lease.step(0.0) is not lease.Step.RELEASE:
            return
        try:
            await self._control.propose(
                commands.ReleaseLease(
                    name=self.name,
                    holder=self.holder,
                    fencing=self._lease.fencing,
                ),
                commands.Accepted,
                timeout=_RELEASE_TIMEOUT_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.warning("lease %s is left to expire: %s", self.name, error)
        self._lease.released()

    async def stop(self) -> None:
        """Stops without releasing the lease."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            step = self._lease.step(loop.time())
            try:
                if step is lease.Step.ACQUIRE:
                    await self._acquire()
                elif step is lease.Step.RENEW:
                    await self._renew()
            except errors.MonsoonhingeError as error:
                _LOG.debug("lease %s: %s", self.name, error)
                self._lease.failed(loop.time())
            await asyncio.sleep(_TICK_S)

    async def _announce_changes(self) -> None:
        while True:
            self._announce()
            await asyncio.sleep(_TICK_S)

    def _announce(self) -> None:
        fencing = self._lease.fencing if self.usable() else 0
        if fencing == self._announced:
            return
        before, self._announced = self._announced, fencing
        if self._listener is None:
            return
        if before:
            self._listener.lease_lost(self.name, before)
        if fencing:
            self._listener.lease_gained(self.name, fencing)

    async def _acquire(self) -> None:
        result = await self._control.propose(
            commands.AcquireLease(name=self.name, holder=self.holder),
            commands.LeaseResult,
            timeout=_TIMEOUT_S,
        )
        self._lease.acquired(result, asyncio.get_running_loop().time())

    async def _renew(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            reply = await self._control.request(
                messages.RenewLease(
                    name=self.name,
                    holder=self.holder,
                    fencing=self._lease.fencing,
                ),
                messages.LeaseRenewed,
                timeout=_TIMEOUT_S,
                attempt_timeout=_TIMEOUT_S / 2,
            )
        except errors.RemoteError as error:
            if error.code == _LOST_CODE:
                self._lease.lost(loop.time())
                return
            raise
        self._lease.renewed(sent_at=sent_at, ttl_s=reply.ttl_ms / 1000)
