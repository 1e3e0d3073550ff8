"""A control member that also registers targets and places models."""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoonhinge.config import schema
from monsoonhinge.consensus import types
from monsoonhinge.control import client as control_client
from monsoonhinge.control import lease_client
from monsoonhinge.control import process as control_process
from monsoonhinge.control import seeding
from monsoonhinge.fleet import config_documents
from monsoonhinge.fleet import controller
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import feed
from monsoonhinge.fleet import leasing
from monsoonhinge.fleet import permits
from monsoonhinge.fleet import planning
from monsoonhinge.fleet import quarantines
from monsoonhinge.fleet import registrar
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.fleet import stream_origins
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import events
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision
from monsoonhinge.scheduler import budget_server

LEASE_NAME = "fleet"
_MAINTENANCE_INTERVAL_S = 0.25
# Missed announcements after which a target is marked as silent.
_MAX_MISSED_ANNOUNCEMENTS = 3.0

# Without a leader for this long, a leaving target has to try another member.
_LEADERLESS_S = 2.0

# Fraction of the tolerance above a team's rate that is granted.
_GRANTED_SHARE = 0.75

# A leader that does not respond is often suspended or partitioned; another
# member is elected within about a second.
_ATTEMPT_TIMEOUT_S = 0.6


class FleetProcess(control_process.ControlProcess):
    """Serves the control state, and places models while it holds the lease."""

    def __init__(
        self, config: settings.Control, *, client: engine_client.EngineClient
    ) -> None:
        super().__init__(config)
        self.registry = target_registry.Registry(
            silent_after_s=config.announce_ms
            / 1000
            * _MAX_MISSED_ANNOUNCEMENTS,
            known_since=asyncio.get_running_loop().time(),
        )
        self.stream_origins = stream_origins.StreamOrigins()
        self.feed = feed.Feed(
            registry=self.registry, member_names=self._member_names
        )
        self.registrar = registrar.Registrar(
            registry=self.registry,
            feed=self.feed,
            members=lambda: self.transport.peers.values(),
            on_change=lambda: self._planning.request(),
        )
        self.quarantines = quarantines.QuarantinePublisher(
            broadcast=self.feed.broadcast
        )
        self.demand_tracker = demand.DemandTracker()
        self.control = control_client.Client(
            members=seeding.with_seed_members(config).members,
            identity=service.make_identity(config, "scheduler"),
            listener=self,
            attempt_timeout_s=_ATTEMPT_TIMEOUT_S,
        )
        self.config_documents = config_documents.ConfigDocuments(
            publisher=config.node,
            control=self.control,
            driver=self.driver,
            replicated_state=self.replicated_state,
            probe_relay=self.probe_relay,
        )
        name = f"{config.node}/{self.identity.incarnation}"
        self.lease = lease_client.LeaseClient(
            name=LEASE_NAME, holder=name, control=self.control
        )
        self.budgets = budget_server.BudgetServer(
            holder=name,
            control=self.control,
            extra_burst_tokens=self._burst_allowance,
            prefetch_s=0.0,
        )
        self.permits = permits.PermitServer(
            lease_held=self.lease.held, broadcast=self.feed.broadcast
        )
        self.controller: controller.PlacementController | None = None
        client.on_leaving = self.registrar.record_leaving
        self._engine_client = client
        self._planning = planning.PlanningLoop(plan=self._plan)
        self._announced_leases = fleet.FleetActive(keeps_stream_origins=True)
        self._leader = ""
        self._leader_seen_at = 0.0
        self._fleet_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Joins the cluster and starts the lease and planning loops."""
        await super().start()
        self.control.start()
        lease_loop = self._lease_loop(
            self.lease,
            self.lease.acquire_or_renew,
            works=self._planning.gets_on,
        )
        budget_loop = self._lease_loop(
            self.budgets.lease, self.budgets.acquire_or_renew
        )
        self._fleet_tasks = [
            self.supervisor.start("fleet_lease", lease_loop.run),
            self.supervisor.start("budget_lease", budget_loop.run),
            self.supervisor.start("planning", self._planning.run),
            self.supervisor.start("registry", self._maintain_registry),
        ]

    async def finish(self) -> None:
        """Releases the leases and transfers the leadership."""
        for task in self._fleet_tasks:
            task.cancel()
        await asyncio.gather(*self._fleet_tasks, return_exceptions=True)
        self._stop_controller()
        await asyncio.gather(
            self.lease.release(),
            self.budgets.release(),
            return_exceptions=True,
        )
        await super().finish()

    def reload(self, config: settings.Control) -> None:
        """Applies changed seeds; other settings require a restart."""
        for member in seeding.with_seed_members(config).members:
            self.control.add_member(member)
            self.transport.connect(
                name=member.name,
                host=member.address.host,
                port=member.address.port,
            )

    async def stop(self) -> None:
        """Stops all loops and closes all connections."""
        for task in self._fleet_tasks:
            task.cancel()
        self._stop_controller()
        self.quarantines.stop()
        await self.control.stop()
        await self._engine_client.close()
        await super().stop()

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = asyncio.get_running_loop().time()
        return super().dump() | {
            "targets": {
                target: entry.registration.state
                for target, entry in self.registry.entries.items()
            },
            "placement": self.controller.dump(now) if self.controller else {},
            "budgets": self.budgets.dump(),
            "stream_origins": self.stream_origins.count(),
        }

    def config_changed(self, view: Any) -> None:
        """Applies a new configuration and requests a plan."""
        self.registrar.configure(view.ingress_services)
        self.budgets.configure(view)
        self._planning.request()

    def connected(self, link: connection.Connection) -> None:
        """Sends all registrations to a member that has connected."""
        super().connected(link)
        if link.peer_hello.role == "control":
            self.feed.send_registrations(link)

    def disconnected(self, link: connection.Connection) -> None:
        """Ends the subscription of a gateway and drops its demand."""
        super().disconnected(link)
        gateway = self.feed.unsubscribe(link)
        if gateway:
            self.demand_tracker.remove_gateway(gateway)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message of a gateway or of another member."""
        now = asyncio.get_running_loop().time()
        match message:
            case fleet.WatchRegistry():
                self.feed.subscribe(
                    link, placements_only=message.placements_only
                )
                link.notify(self._announced_leases)
                link.notify(self.quarantines.snapshot(now))
                link.notify(self.permits.snapshot(now))
                if self.controller is not None:
                    link.notify(self.controller.snapshot(now))
                return messages.Ack()
            case fleet.Registrations():
                self.registrar.merge(
                    message, from_member=link.peer_hello.role == "control"
                )
                return None
            case fleet.FleetDemand():
                self.demand_tracker.update(message, now)
                self._planning.request()
                return None
            case fleet.RateLimits():
                self.permits.record(message, now)
                return None
            case fleet.PermitRequest():
                return self.permits.permit(message, now)
            case fleet.TargetCrash():
                self.quarantines.record_crash(message, now)
                return None
            case fleet.PartsServed():
                self.quarantines.record_served(message, now)
                return None
            case fleet.StreamOrigins():
                self.stream_origins.record(message, now)
                return None
            case fleet.FindStreamOrigin():
                return self.stream_origins.find(
                    message, self.registry.versions, now
                )
            case messages.GrantRequest():
                return await self.budgets.grant(message)
            case _:
                return await super().handle(link, message)

    def register(self, registration: fleet.Registration) -> bool:
        """Records an announcement; returns whether it is acknowledged.

        A target that is leaving is acknowledged only while this member can
        reach the others, which must stop using the target as well.
        """
        leaving = registration.state != target_registry.READY
        if leaving and not self._saw_leader_recently():
            return False
        self.registrar.announce(registration)
        return True

    def deregister(self, target: str) -> bool:
        """Records a deregistration; returns whether it is acknowledged."""
        if not self._saw_leader_recently():
            return False
        self.registrar.deregister(target)
        return True

    def _burst_allowance(self, team: schema.Team) -> int:
        """Returns the tokens a team may use at once beyond its burst.

        Rates are measured over a window, with a tolerance. Part of the
        tolerance is granted, so that a request larger than the burst can run.
        The rest covers tokens that gateways spend while no member grants any.
        """
        config = self.config
        window_tokens = config.rate_window_s * team.tokens_per_s
        tolerance = config.rate_overage * (window_tokens + team.burst_tokens)
        return int(_GRANTED_SHARE * (tolerance + config.rate_tolerance_tokens))

    def _saw_leader_recently(self) -> bool:
        now = asyncio.get_running_loop().time()
        return bool(self._leader) or now - self._leader_seen_at < _LEADERLESS_S

    def _member_names(self) -> list[str]:
        return [member.name for member in self.driver.configuration.members]

    def _lease_loop(
        self,
        lease: lease_client.LeaseClient,
        attempt: leasing.AcquireOrRenew,
        works: Callable[[], bool] = lambda: True,
    ) -> leasing.LeaseLoop:
        return leasing.LeaseLoop(
            lease=lease,
            acquire_or_renew=attempt,
            driver=self.driver,
            replicated_state=self.replicated_state,
            on_attempt=self._apply_lease_state,
            works=works,
        )

    def _apply_lease_state(self) -> None:
        fencing = self.lease.fencing
        if self.controller is not None and self.controller.fencing != fencing:
            self._stop_controller()
        if fencing and self.controller is None:
            self.controller = controller.PlacementController(
                fencing=fencing,
                holder=self.config.node,
                registry=self.registry,
                demand_tracker=self.demand_tracker,
                client=self._engine_client,
                loads_window_s=self.config.loads_window_s,
                lease_held=lambda: self.lease.held(
                    asyncio.get_running_loop().time()
                ),
                publish=self.feed.broadcast,
                on_lease_lost=self._invalidate_lease,
            )
        self._announce_leases()

    def _announce_leases(self) -> None:
        budget = self.budgets.budget
        message = fleet.FleetActive(
            fencing=0 if self.controller is None else self.controller.fencing,
            budget_fencing=0 if budget is None else budget.fencing,
            keeps_stream_origins=True,
        )
        if message == self._announced_leases:
            return
        self._announced_leases = message
        events.emit(
            events.LEASE,
            fleet=message.fencing,
            budget=message.budget_fencing,
            outcome="changed",
        )
        self.feed.broadcast(message)

    def _invalidate_lease(self) -> None:
        self.lease.invalidate()
        self._stop_controller()

    def _stop_controller(self) -> None:
        if self.controller is not None:
            self.controller.stop()
            self.controller = None
            self._announce_leases()

    def _plan(self, now: float) -> bool:
        if self.controller is None or not self.lease.held(now):
            return True
        self.demand_tracker.expire(now)
        return self.controller.reconcile(self.control.view, now)

    async def _maintain_registry(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            with supervision.contain("expire_registrations"):
                self.registrar.expire()
            with supervision.contain("expire_stream_origins"):
                self.stream_origins.expire(loop.time())
            self._follow_leader(loop.time())
            self._connect_members()

    def _follow_leader(self, now: float) -> None:
        leader = self.driver.leader
        if leader:
            self._leader_seen_at = now
        if leader == self._leader:
            return
        self.control.set_leader(leader)
        events.emit(
            events.LEADER,
            leader=leader,
            term=self.driver.raft.state.term,
            index=self.driver.applied_index,
        )
        self._leader = leader

    def _connect_members(self) -> None:
        members: tuple[types.Member, ...] = self.driver.configuration.members
        for member in members:
            self.control.add_member(
                settings.Member(
                    name=member.name,
                    address=settings.Address(
                        host=member.host, port=member.port
                    ),
                )
            )
