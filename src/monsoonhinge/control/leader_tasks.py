"""Periodic tasks of the control leader: expiry, retention and membership."""

import asyncio
from collections.abc import Coroutine
import logging
import time
from typing import Any

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.control import expiry_timers
from monsoonhinge.control import members as control_members
from monsoonhinge.control import replicated_state as control_state
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

_INTERVAL_S = 0.1

_BUDGET_LEASE = "budget/0"

# Each check scans all call records, and a session TTL is several seconds.
_SESSION_INTERVAL_S = 1.0

# Each check scans all call records, and a record may be dropped a little late.
_RETENTION_INTERVAL_S = 10.0

_LOG = logging.getLogger("monsoonhinge.control.duties")


class LeaderTasks:
    """Runs the periodic tasks while this member is the leader.

    Attributes:
        leases: Tracks the expiry of leases.
        sessions: Tracks the expiry of sessions.
        subscribers: Live subscribers of all members by session.
    """

    def __init__(
        self,
        *,
        config: settings.Control,
        driver: raft_driver.Driver,
        replicated_state: control_state.ReplicatedState,
        membership: control_members.MembershipManager,
    ) -> None:
        self.leases = expiry_timers.LeaseTimer(
            ttl_s=config.lease_ttl_s,
            ttls_by_name_s={_BUDGET_LEASE: config.budget_lease_ttl_s},
        )
        self.sessions = expiry_timers.SessionTimer(ttl_s=config.session_ttl_s)
        self.subscribers: dict[str, messages.SubscriberState] = {}
        self._config = config
        self._driver = driver
        self._replicated_state = replicated_state
        self._membership = membership
        self._term = 0
        self._next_session_check_at = 0.0
        self._next_retention_at = 0.0

    def record_probes(
        self, subscribers: list[messages.SubscriberState]
    ) -> None:
        """Records subscribers whose probe has reached this leader."""
        now = asyncio.get_running_loop().time()
        for subscriber in subscribers:
            self.sessions.record_probe(subscriber.session, now)
            self.subscribers[subscriber.session] = subscriber

    async def run(self) -> None:
        """Runs the tasks while this member is the leader, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            leadership = self._driver.raft.leadership
            # Until an entry of this term is committed, the local state may
            # lack entries that earlier leaders committed.
            if leadership is None or not leadership.has_committed_in_term:
                continue
            if self._term != self._driver.raft.state.term:
                self._term = self._driver.raft.state.term
                self.leases.reset()
                self.sessions.reset()
                self.subscribers.clear()
            now = asyncio.get_running_loop().time()
            await self._attempt("expire_leases", self._expire_leases(now))
            await self._attempt("expire_sessions", self._expire_sessions(now))
            await self._attempt("drop_calls", self._drop_calls(now))
            await self._attempt(
                "update_membership", self._membership.update_membership()
            )

    async def _attempt(
        self, name: str, work: Coroutine[Any, Any, None]
    ) -> None:
        """Carries out one task; its failure does not hold up the others."""
        with supervision.contain(name):
            try:
                await work
            except errors.MonsoonhingeError as error:
                _LOG.info("periodic task %s failed: %s", name, error)

    async def _expire_leases(self, now: float) -> None:
        state_machine = self._replicated_state.state_machine
        for name, fencing in self.leases.begin_expiry(
            state_machine.leases, now
        ):
            try:
                await self._commit(
                    commands.ExpireLease(name=name, fencing=fencing)
                )
            except errors.MonsoonhingeError:
                self.leases.cancel_expiry(name, fencing)
                raise

    async def _expire_sessions(self, now: float) -> None:
        if now < self._next_session_check_at:
            return
        self._next_session_check_at = now + _SESSION_INTERVAL_S
        running = {
            call.gateway
            for call in self._replicated_state.state_machine.calls.values()
            if call.state == "running"
        }
        for gateway in self.sessions.expired(running, now):
            _LOG.warning(
                "session expired; its running calls become unknown",
                extra={"peer": gateway},
            )
            await self._commit(commands.AbandonCalls(gateway=gateway))
        for session in self.sessions.expired(self.subscribers, now):
            del self.subscribers[session]

    async def _drop_calls(self, now: float) -> None:
        if now < self._next_retention_at:
            return
        self._next_retention_at = now + _RETENTION_INTERVAL_S
        before_ms = int((time.time() - self._config.call_retention_s) * 1000)
        if any(
            call.claimed_ms < before_ms
            for call in self._replicated_state.state_machine.calls.values()
        ):
            await self._commit(commands.DropCalls(before_ms=before_ms))

    async def _commit(self, command: commands.Command) -> None:
        await self._driver.propose(codec.encode_command(command))
