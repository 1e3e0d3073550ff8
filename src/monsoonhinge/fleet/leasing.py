"""Takes a free lease and keeps it, without useless tries."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.control import keeper
from monsoonhinge.control import replica as control_replica
from monsoonhinge.runtime import errors

_TICK_S = 0.1

# A member that does not lead leaves a free lease to the leader for this long.
_YIELD_S = 0.6

Keep = Callable[[], Coroutine[Any, Any, None]]

_LOG = logging.getLogger(__name__)


class Leasing:
    """Keeps one lease on a control member.

    The member's own copy of the leases tells whether a try can succeed; each
    try costs a commit.
    """

    def __init__(
        self,
        *,
        held: keeper.Keeper,
        keep: Keep,
        driver: raft_driver.Driver,
        replica: control_replica.Replica,
        changed: Callable[[], None],
    ) -> None:
        """Makes the work on a lease.

        Args:
            held: The lease.
            keep: Acquires or renews it.
            driver: This member of the log.
            replica: Its copy of the state.
            changed: Called after each try.
        """
        self._held = held
        self._keep = keep
        self._driver = driver
        self._replica = replica
        self._changed = changed
        self._free_since: float | None = None

    async def run(self) -> None:
        """Keeps the lease; runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if self._may_try(loop.time()):
                try:
                    await self._keep()
                except errors.MonsoonhingeError as error:
                    _LOG.info("keeping lease %s: %s", self._held.name, error)
                self._changed()
            await asyncio.sleep(_TICK_S)

    def _may_try(self, now: float) -> bool:
        if self._held.fencing:
            return True
        lease = self._replica.machine.leases.get(self._held.name)
        if lease is not None:
            self._free_since = None
            return lease.holder == self._held.holder
        if not self._replica.machine.version:
            return False
        if self._free_since is None:
            self._free_since = now
        return self._driver.is_leader or now - self._free_since > _YIELD_S
