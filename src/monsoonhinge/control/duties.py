"""What the leader does regularly: expiry, abandoned calls, retention."""

import asyncio
import logging
import time

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.control import leases as lease_timing
from monsoonhinge.control import members as control_members
from monsoonhinge.control import replica as control_replica
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_INTERVAL_S = 0.1

_BUDGET_LEASE = "budget/0"

# Each check scans the call records, and sessions expire only after seconds.
_SESSION_INTERVAL_S = 1.0

# Dropping records a little late is harmless; scanning them often is not.
_RETENTION_INTERVAL_S = 10.0

_LOG = logging.getLogger(__name__)


class Duties:
    """Runs the regular work of the leader.

    Attributes:
        leases: Timing of the leases.
        sessions: Timing of the sessions.
        subscribers: Live subscribers of all members by session.
    """

    def __init__(
        self,
        *,
        config: settings.Control,
        driver: raft_driver.Driver,
        replica: control_replica.Replica,
        members: control_members.Members,
    ) -> None:
        self.leases = lease_timing.LeaseTimer(
            ttl_s=config.lease_ttl_s,
            ttls_s={_BUDGET_LEASE: config.budget_lease_ttl_s},
        )
        self.sessions = lease_timing.SessionTimer(ttl_s=config.session_ttl_s)
        self.subscribers: dict[str, messages.SubscriberState] = {}
        self._config = config
        self._driver = driver
        self._replica = replica
        self._members = members
        self._term = 0
        self._sessions_at = 0.0
        self._retention_at = 0.0

    def probed(self, subscribers: list[messages.SubscriberState]) -> None:
        """Notes subscribers whose probe has reached this leader."""
        now = asyncio.get_running_loop().time()
        for subscriber in subscribers:
            self.sessions.heard(subscriber.session, now)
            self.subscribers[subscriber.session] = subscriber

    async def run(self) -> None:
        """Works while this member leads; runs until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            leadership = self._driver.raft.leadership
            # Earlier, the state may lack what former leaders committed.
            if leadership is None or not leadership.has_committed_in_term:
                continue
            if self._term != self._driver.raft.state.term:
                self._term = self._driver.raft.state.term
                self.leases.restart()
                self.sessions.restart()
                self.subscribers.clear()
            try:
                await self._work(asyncio.get_running_loop().time())
            except errors.MonsoonhingeError as error:
                _LOG.info("leader duty failed: %s", error)

    async def _work(self, now: float) -> None:
        machine = self._replica.machine
        for name, fencing in self.leases.expire(machine.leases, now):
            try:
                await self._commit(
                    commands.ExpireLease(name=name, fencing=fencing)
                )
            except errors.MonsoonhingeError:
                self.leases.retry(name, fencing)
                raise
        if now >= self._sessions_at:
            self._sessions_at = now + _SESSION_INTERVAL_S
            await self._abandon_calls(now)
        if now >= self._retention_at:
            self._retention_at = now + _RETENTION_INTERVAL_S
            await self._drop_calls()
        await self._members.advance()

    async def _abandon_calls(self, now: float) -> None:
        running = {
            call.gateway
            for call in self._replica.machine.calls.values()
            if call.state == "running"
        }
        for gateway in self.sessions.lost(running, now):
            _LOG.warning("session expired", extra={"peer": gateway})
            await self._commit(commands.AbandonCalls(gateway=gateway))
        for session in self.sessions.lost(self.subscribers, now):
            del self.subscribers[session]

    async def _drop_calls(self) -> None:
        before_ms = int((time.time() - self._config.call_retention_s) * 1000)
        if any(
            call.claimed_ms < before_ms
            for call in self._replica.machine.calls.values()
        ):
            await self._commit(commands.DropCalls(before_ms=before_ms))

    async def _commit(self, command: commands.Command) -> None:
        await self._driver.propose(codec.encode_command(command))
