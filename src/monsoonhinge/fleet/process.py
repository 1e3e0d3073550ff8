"""A control member that also takes registrations and places models."""

import asyncio
from collections.abc import Coroutine
import contextlib
from typing import Any
import zlib

from monsoonhinge.config import schema
from monsoonhinge.consensus import types
from monsoonhinge.control import client as control_client
from monsoonhinge.control import keeper
from monsoonhinge.control import process as control_process
from monsoonhinge.control import seeding
from monsoonhinge.fleet import conductor
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import dialect
from monsoonhinge.fleet import feed
from monsoonhinge.fleet import leasing
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import holder

LEASE = "fleet"

_STEP_S = 0.1
_GATHER_S = 0.005
_EXPIRE_S = 0.25

# Announcements missed before a target counts as silent.
_MISSED = 3.0

# Without a leader for this long, a departing target is sent to another member.
_LEADERLESS_S = 2.0

# Share of the tolerance above the teams' rates that is granted.
_GRANTED_SLACK = 0.75

# A leader that does not answer is often frozen or cut off; another member
# then leads within about a second.
_ATTEMPT_TIMEOUT_S = 0.6

_PUBLISH_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.9


class FleetProcess(control_process.ControlProcess):
    """Serves the replicated state, and places models while it has the lease."""

    def __init__(
        self, config: settings.Control, *, engines: dialect.Engines
    ) -> None:
        super().__init__(config)
        self.registry = target_registry.Registry(
            silent_after_s=config.announce_ms / 1000 * _MISSED
        )
        self.feed = feed.Feed(
            registry=self.registry, members=self._member_names
        )
        self.book = demand.DemandBook()
        self.control = control_client.Client(
            members=seeding.with_members(config).members,
            identity=service.identity(config, "scheduler"),
            listener=self,
            attempt_timeout_s=_ATTEMPT_TIMEOUT_S,
        )
        name = f"{config.node}/{self.identity.incarnation}"
        self.lease = keeper.Keeper(
            name=LEASE, holder=name, control=self.control
        )
        self.budgets = holder.BudgetHolder(
            holder=name,
            control=self.control,
            allowance=self._allowance,
            prefetch_s=0.0,
        )
        self.conductor: conductor.Conductor | None = None
        self._engines = engines
        self._wake = asyncio.Event()
        self._announced = fleet.FleetActive()
        self._leader = ""
        self._leader_at = 0.0
        self._work: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening and takes part in the cluster."""
        await super().start()
        self.control.start()
        self._work = [
            self._spawn(self._leasing(self.lease, self.lease.keep).run()),
            self._spawn(
                self._leasing(self.budgets.lease, self.budgets.keep).run()
            ),
            self._spawn(self._plan()),
            self._spawn(self._maintain()),
        ]

    async def finish(self) -> None:
        """Hands leases and leadership over."""
        for task in self._work:
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)
        self._end_conductor()
        for lease in (self.lease, self.budgets):
            with contextlib.suppress(errors.MonsoonhingeError):
                await lease.release()
        await super().finish()

    def reload(self, config: settings.Control) -> None:
        """Takes the seeds of changed settings; the rest needs a restart."""
        for member in seeding.with_members(config).members:
            self.control.meet(member)
            self.transport.connect(
                name=member.name,
                host=member.address.host,
                port=member.address.port,
            )

    async def stop(self) -> None:
        """Closes everything."""
        for task in self._work:
            task.cancel()
        self._end_conductor()
        await self.control.stop()
        await self._engines.close()
        await super().stop()

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = asyncio.get_running_loop().time()
        return super().dump() | {
            "targets": {
                target: entry.registration.state
                for target, entry in self.registry.entries.items()
            },
            "placement": self.conductor.dump(now) if self.conductor else {},
            "budgets": self.budgets.dump(),
        }

    def config_changed(self, view: Any) -> None:
        """Uses a new configuration."""
        events.emit(events.CONFIG, version=view.version)
        self.budgets.configure(view)
        self._wake.set()

    def connected(self, link: connection.Connection) -> None:
        """Sends another member what this one knows."""
        super().connected(link)
        if link.remote.role == "control":
            self.feed.send_all(link)

    def disconnected(self, link: connection.Connection) -> None:
        """Forgets a subscriber or the demand of a gateway."""
        super().disconnected(link)
        gateway = self.feed.discard(link)
        if gateway:
            self.book.forget(gateway)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Answers a request."""
        now = asyncio.get_running_loop().time()
        match message:
            case fleet.WatchRegistry():
                self.feed.watch(link, placements_only=message.placements_only)
                link.notify(self._announced)
                if self.conductor is not None:
                    link.notify(self.conductor.snapshot(now))
                return messages.Ack()
            case fleet.Registrations():
                for item in message.registrations:
                    self.feed.relay(self.registry.merge(item, now))
                self._wake.set()
                return None
            case fleet.FleetDemand():
                self.book.update(message, now)
                self._wake.set()
                return None
            case messages.GrantRequest():
                return await self.budgets.grant(message)
            case _:
                return await super().handle(link, message)

    def register(self, registration: fleet.Registration) -> bool:
        """Takes an announcement; returns whether it is acknowledged.

        A target that leaves is only acknowledged while this member is in
        touch with the others, which must stop using it as well.
        """
        leaving = registration.state != target_registry.READY
        if leaving and not self._in_touch():
            return False
        now = asyncio.get_running_loop().time()
        changed = self.registry.announce(registration, now)
        self._announce(changed)
        return True

    def deregister(self, target: str) -> bool:
        """Takes a deregistration; returns whether it is acknowledged."""
        if not self._in_touch():
            return False
        changed = self.registry.depart(
            target, asyncio.get_running_loop().time()
        )
        self._announce(changed)
        return True

    async def replace_config(
        self, *, version: int, source: bytes, packed: bytes
    ) -> commands.ConfigResult:
        """Puts a document in effect unless a higher version is.

        Raises:
            errors.MonsoonhingeError: No leader confirmed it in time.
        """
        result = await self.control.propose(
            commands.ReplaceConfig(
                version=version,
                publisher=self.config.node,
                source=zlib.compress(source),
                packed=packed,
            ),
            commands.ConfigResult,
            timeout=_PUBLISH_TIMEOUT_S,
        )
        events.emit(
            events.CONFIG_CHANGE,
            version=version,
            outcome=result.code,
            in_effect=result.version,
            message=result.message,
        )
        return result

    async def newest_config(self) -> bytes:
        """Returns the newest document, or b"" before the first.

        Raises:
            errors.MonsoonhingeError: It cannot be known which is the newest.
        """
        async with asyncio.timeout(_READ_TIMEOUT_S):
            if self.driver.is_leader:
                await self.driver.read()
            else:
                fresh = await self.probes.probe(messages.SubscriberState())
                while self.replica.machine.version < fresh.version:
                    await self.replica.changed()
        source = self.replica.machine.configuration.source
        return zlib.decompress(source) if source else b""

    def _announce(self, changed: list[fleet.Registration]) -> None:
        if not changed:
            return
        for item in changed:
            events.emit(
                events.TARGET,
                target=item.target,
                incarnation=item.incarnation,
                sequence=item.sequence,
                state=item.state,
                address=item.address,
                service=item.service,
            )
        self.feed.relay(changed)
        message = fleet.Registrations(registrations=changed)
        for peer in self.transport.peers.values():
            with contextlib.suppress(errors.ConnectionLost):
                peer.notify(message)
        self._wake.set()

    def _allowance(self, team: schema.Team) -> int:
        """Returns what a team may use at once beyond its burst.

        Rates are judged over a window with a tolerance. Part of it is granted,
        so that a request larger than the burst can run; the rest is kept for
        what gateways spend while no member grants.
        """
        config = self.config
        window_tokens = config.rate_window_s * team.tokens_per_s
        slack = config.rate_overage * (window_tokens + team.burst_tokens)
        return int(_GRANTED_SLACK * (slack + config.rate_tolerance_tokens))

    def _in_touch(self) -> bool:
        now = asyncio.get_running_loop().time()
        return bool(self._leader) or now - self._leader_at < _LEADERLESS_S

    def _member_names(self) -> list[str]:
        return [member.name for member in self.driver.configuration.members]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return asyncio.get_running_loop().create_task(work)

    def _leasing(
        self, held: keeper.Keeper, keep: leasing.Keep
    ) -> leasing.Leasing:
        return leasing.Leasing(
            held=held,
            keep=keep,
            driver=self.driver,
            replica=self.replica,
            changed=self._follow_leases,
        )

    def _follow_leases(self) -> None:
        fencing = self.lease.fencing
        if self.conductor is not None and self.conductor.fencing != fencing:
            self._end_conductor()
        if fencing and self.conductor is None:
            self.conductor = conductor.Conductor(
                fencing=fencing,
                holder=self.config.node,
                registry=self.registry,
                book=self.book,
                client=self._engines,
                loads_window_s=self.config.loads_window_s,
                held=lambda: self.lease.held(asyncio.get_running_loop().time()),
                publish=self.feed.notify,
                deposed=self._give_up,
            )
        self._announce_leases()

    def _announce_leases(self) -> None:
        budget = self.budgets.budget
        message = fleet.FleetActive(
            fencing=0 if self.conductor is None else self.conductor.fencing,
            budget_fencing=0 if budget is None else budget.fencing,
        )
        if message == self._announced:
            return
        self._announced = message
        events.emit(
            events.LEASE,
            fleet=message.fencing,
            budget=message.budget_fencing,
            outcome="changed",
        )
        self.feed.notify(message)

    def _give_up(self) -> None:
        self.lease.give_up()
        self._end_conductor()

    def _end_conductor(self) -> None:
        if self.conductor is not None:
            self.conductor.stop()
            self.conductor = None
            self._announce_leases()

    async def _plan(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STEP_S):
                    await self._wake.wait()
                    await asyncio.sleep(_GATHER_S)
            self._wake.clear()
            now = loop.time()
            if self.conductor is not None and self.lease.held(now):
                self.book.expire(now)
                self.conductor.step(self.control.view, now)

    async def _maintain(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_EXPIRE_S)
            now = loop.time()
            self._announce(self.registry.expire(now))
            leader = self.driver.leader
            if leader:
                self._leader_at = now
            if leader != self._leader:
                self.control.follow(leader)
                events.emit(
                    events.LEADER,
                    leader=leader,
                    term=self.driver.raft.state.term,
                    index=self.driver.applied_index,
                )
                self._leader = leader
            self._meet_members()

    def _meet_members(self) -> None:
        members: tuple[types.Member, ...] = self.driver.configuration.members
        for member in members:
            self.control.meet(
                settings.Member(
                    name=member.name,
                    address=settings.Address(
                        host=member.host, port=member.port
                    ),
                )
            )
