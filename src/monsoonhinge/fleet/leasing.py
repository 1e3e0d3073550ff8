"""Acquires a free lease and renews it."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
from typing import Any

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.control import lease_client
from monsoonhinge.control import replicated_state as control_state
from monsoonhinge.runtime import errors

_ATTEMPT_INTERVAL_S = 0.1

# A member that is not the leader waits this long before it tries to acquire a
# free lease, so that the leader gets it first.
_FOLLOWER_DELAY_S = 0.6

# A member that released the lease because its work failed leaves it to the
# others for this long.
_STAND_DOWN_S = 5.0

AcquireOrRenew = Callable[[], Coroutine[Any, Any, None]]

_LOG = logging.getLogger(__name__)


class LeaseLoop:
    """Acquires and renews one lease on behalf of a control member.

    Each attempt to acquire costs a commit, so the loop first checks the local
    replica of the leases for whether an attempt can succeed.
    """

    def __init__(
        self,
        *,
        lease: lease_client.LeaseClient,
        acquire_or_renew: AcquireOrRenew,
        driver: raft_driver.Driver,
        replicated_state: control_state.ReplicatedState,
        on_attempt: Callable[[], None],
        works: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes the loop.

        Args:
            lease: Lease to hold.
            acquire_or_renew: Acquires the lease, or renews it when it is due.
            driver: Raft driver of this member.
            replicated_state: Local replica of the control state.
            on_attempt: Called after each attempt, and after a release.
            works: Returns whether the work that requires the lease gets done.
        """
        self._lease = lease
        self._acquire_or_renew = acquire_or_renew
        self._driver = driver
        self._replicated_state = replicated_state
        self._on_attempt = on_attempt
        self._works = works
        self._free_since: float | None = None
        self._stands_down_until = float("-inf")

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled.

        A member whose work fails releases it, so that another one can work.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self._lease.fencing and not self._works():
                await self._stand_down(loop.time())
            elif self._should_attempt(loop.time()):
                try:
                    await self._acquire_or_renew()
                except errors.MonsoonhingeError as error:
                    _LOG.info(
                        "acquiring or renewing lease %s failed: %s",
                        self._lease.name,
                        error,
                    )
                self._on_attempt()
            await asyncio.sleep(_ATTEMPT_INTERVAL_S)

    async def _stand_down(self, now: float) -> None:
        _LOG.error(
            "releasing lease %s: its work has failed for too long",
            self._lease.name,
        )
        self._stands_down_until = now + _STAND_DOWN_S
        try:
            await self._lease.release()
        except errors.MonsoonhingeError as error:
            _LOG.warning(
                "the release of lease %s was not confirmed: %s",
                self._lease.name,
                error,
            )
        self._on_attempt()

    def _should_attempt(self, now: float) -> bool:
        if now < self._stands_down_until:
            return False
        if self._lease.fencing:
            return True
        stored = self._replicated_state.state_machine.leases.get(
            self._lease.name
        )
        if stored is not None:
            self._free_since = None
            return stored.holder == self._lease.holder
        if not self._replicated_state.state_machine.version:
            return False
        if self._free_since is None:
            self._free_since = now
        return (
            self._driver.is_leader or now - self._free_since > _FOLLOWER_DELAY_S
        )
