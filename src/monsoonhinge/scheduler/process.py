"""Scheduler process: leases, planning loop and connections of gateways."""

import asyncio
import dataclasses
import functools
import logging
from typing import Any

from monsoonhinge.control import client as control_client
from monsoonhinge.control import lease_client
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision
from monsoonhinge.scheduler import active
from monsoonhinge.scheduler import budget_server
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import metrics
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import subscriptions
from monsoonhinge.targets import http

_MAX_PLANNING_INTERVAL_S = 0.1
_MAINTENANCE_INTERVAL_S = 0.05
_LEASE_INTERVAL_S = 0.2

# Demand that arrives within this time is planned together.
_BATCH_DELAY_S = 0.01

# Unchanged verdicts are sent again after this time.
_VERDICT_REPEAT_S = 0.5

_LOG = logging.getLogger(__name__)


class SchedulerProcess:
    """Places replicas and grants tokens while it holds the leases.

    A process without the leases is a standby: it serves directory
    subscriptions, and keeps its directory and the learned gaps between calls
    up to date for a takeover.
    """

    def __init__(self, config: settings.Scheduler) -> None:
        self.config = config
        self.identity = service.make_identity(config, "scheduler")
        self.server = endpoint.Server(identity=self.identity, handler=self)
        self.control = control_client.Client(
            members=config.control, identity=self.identity
        )
        self.directory = target_directory.Directory()
        self.subscriptions = subscriptions.Subscriptions(
            directory=self.directory
        )
        self.demand_tracker = demand.DemandTracker()
        self.keep_alive = keepalive.HistogramKeepAlive(self.control.view.policy)
        self.budgets = budget_server.BudgetServer(
            holder=self._lease_holder, control=self.control
        )
        self.active: active.ActiveScheduler | None = None
        self.draining = False
        self._order_client: http.HttpOrderClient | None = None
        self._applied_config_version = 0
        self._plan_requested = asyncio.Event()
        self._sent_verdicts: dict[str, tuple[messages.Verdict, float]] = {}
        self._supervisor = supervision.Supervisor()
        self._decision_tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, config: settings.Scheduler) -> "SchedulerProcess":
        """Creates the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts the server, the control client and the background tasks."""
        self._order_client = http.HttpOrderClient()
        self.active = active.ActiveScheduler(
            lease=lease_client.LeaseClient(
                name=active.LEASE_NAME,
                holder=self._lease_holder,
                control=self.control,
            ),
            control=self.control,
            directory=self.directory,
            demand_tracker=self.demand_tracker,
            keep_alive=self.keep_alive,
            order_client=self._order_client,
            order_timeout_s=self.config.order_timeout_s,
            now=asyncio.get_running_loop().time,
        )
        await self.server.start(
            host=self.config.listen.host, port=self.config.listen.port
        )
        self.control.start()
        self._decision_tasks = [
            self._supervisor.start(
                "leases", functools.partial(self._run_leases, self.active)
            ),
            self._supervisor.start(
                "planning",
                functools.partial(self._plan_periodically, self.active),
            ),
        ]
        self._supervisor.start(
            "maintenance", functools.partial(self._run_maintenance, self.active)
        )

    async def finish(self) -> None:
        """Releases the leases so that a standby can take over."""
        # A renewal in progress could acquire a lease again after its release.
        await asyncio.gather(*self._decision_tasks)
        if self.active is not None:
            await self.active.release()
        await self.budgets.release()

    async def stop(self) -> None:
        """Cancels all tasks and closes all connections."""
        self._supervisor.cancel()
        if self.active is not None:
            self.active.cancel()
        await self.server.stop()
        await self.control.stop()
        if self._order_client is not None:
            await self._order_client.close()

    def drain(self) -> None:
        """Starts a graceful shutdown: planning and lease renewals stop."""
        self.draining = True

    def not_ready_reason(self) -> str:
        """Returns why the process is not ready, or "" if it is."""
        if self.draining:
            return "draining"
        return "" if self.control.view.version else "no configuration yet"

    def dump(self) -> dict[str, Any]:
        """Returns the state dump for operators."""
        core = self.active.core if self.active is not None else None
        document: dict[str, Any] = {
            "version": self.control.view.version,
            "fencing": core.orders.fencing if core else 0,
            "targets": {
                name: dataclasses.asdict(entry.state)
                for name, entry in self.directory.entries.items()
            },
            "subscribers": sorted(self.subscriptions.gateways.values()),
            "budgets": self.budgets.dump(),
        }
        if core is not None:
            ledger = core.planner.ledger
            store = core.planner.store
            document["decided"] = {
                name: dataclasses.asdict(replica)
                for name, replica in ledger.replicas.items()
            }
            document["adapter_moves"] = sorted(ledger.adapter_changes)
            document["orders"] = sorted(core.orders.pending)
            document["store"] = {
                "loads": sorted(store.active_loads),
                "adapter_loads": sorted(store.active_adapter_loads),
                "speed": store.load_time_factors,
            }
        return document

    def connected(self, link: connection.Connection) -> None:
        """Does nothing; a gateway subscribes by a message."""

    def disconnected(self, link: connection.Connection) -> None:
        """Ends a gateway's subscription; its demand expires later."""
        gateway = self.subscriptions.gateways.get(link, "")
        self.subscriptions.unsubscribe(link)
        self._sent_verdicts.pop(gateway, None)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message from a gateway."""
        now = asyncio.get_running_loop().time()
        match message:
            case messages.Subscribe():
                self.subscriptions.subscribe(link, message.gateway)
                return messages.Ack()
            case messages.Interest():
                self.subscriptions.set_interest(link, message.models)
                return None
            case messages.Announcements():
                self._handle_announcements(message, now)
                return None
            case messages.Demand():
                self.demand_tracker.update(message, now)
                self._plan_requested.set()
                return None
            case messages.GrantRequest():
                return await self.budgets.grant(message)
            case _:
                raise errors.ProtocolError(
                    f"unexpected {type(message).__name__}",
                    step="handle",
                    peer=link.peer,
                )

    @property
    def _lease_holder(self) -> str:
        return f"{self.identity.node}/{self.identity.incarnation}"

    def _handle_announcements(
        self, message: messages.Announcements, now: float
    ) -> None:
        for state in message.targets:
            if not self.directory.update(state, now):
                continue
            self.subscriptions.update_target(state)
            if self.active is not None:
                announced_at = self.directory.entries[state.target].announced_at
                self.active.apply_announcement(state, announced_at)
            self._plan_requested.set()

    async def _run_leases(self, scheduler: active.ActiveScheduler) -> None:
        loop = asyncio.get_running_loop()
        while not self.draining:
            try:
                await scheduler.acquire_or_renew()
                # One process holds both leases, because gateways find the
                # active scheduler by requesting a grant.
                if scheduler.lease.held(loop.time()):
                    await self.budgets.acquire_or_renew()
                elif self.budgets.lease.fencing:
                    await self.budgets.release()
            except errors.MonsoonhingeError as error:
                _LOG.warning(
                    "could not acquire, renew or release a lease: %s", error
                )
            for lease in (scheduler.lease, self.budgets.lease):
                metrics.HELD.labels(lease.name).set(lease.held(loop.time()))
            await asyncio.sleep(_LEASE_INTERVAL_S)

    async def _plan_periodically(
        self, scheduler: active.ActiveScheduler
    ) -> None:
        loop = asyncio.get_running_loop()
        while not self.draining:
            try:
                async with asyncio.timeout(_MAX_PLANNING_INTERVAL_S):
                    await self._plan_requested.wait()
                await asyncio.sleep(_BATCH_DELAY_S)
            except TimeoutError:
                pass
            self._plan_requested.clear()
            self.demand_tracker.expire(loop.time())
            try:
                await scheduler.step()
            except errors.MonsoonhingeError as error:
                _LOG.warning("planning step failed: %s", error)
            if scheduler.core is None:
                models = {model for model, _ in self.demand_tracker.needs()}
                self.keep_alive.update(models, loop.time())
            else:
                self._send_verdicts(scheduler, loop.time())

    async def _run_maintenance(self, scheduler: active.ActiveScheduler) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            expired = self.directory.expire(now)
            if expired:
                self.subscriptions.remove_targets(expired)
                scheduler.expire(expired)
            self.subscriptions.flush(now)
            view = self.control.view
            if view.version != self._applied_config_version:
                self._applied_config_version = view.version
                scheduler.configure(view)
                self.budgets.configure(view)
                self._plan_requested.set()
            self._update_metrics(scheduler)
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _send_verdicts(
        self, scheduler: active.ActiveScheduler, now: float
    ) -> None:
        if scheduler.core is None:
            return
        for link, gateway in list(self.subscriptions.gateways.items()):
            keys = self.demand_tracker.waiting_at(gateway)
            verdict = readiness.verdict_message(
                scheduler.core.estimates, keys, now
            )
            last_sent = self._sent_verdicts.get(gateway)
            if not verdict.items or (
                last_sent is not None
                and last_sent[0] == verdict
                and now - last_sent[1] < _VERDICT_REPEAT_S
            ):
                continue
            self._sent_verdicts[gateway] = (verdict, now)
            link.notify(verdict)

    def _update_metrics(self, scheduler: active.ActiveScheduler) -> None:
        metrics.TARGETS.set(len(self.directory.entries))
        core = scheduler.core
        counts = {"loading": 0, "loaded": 0, "unloading": 0}
        if core is not None:
            for replica in core.planner.ledger.replicas.values():
                counts[replica.state] += 1
            store = core.planner.store
            metrics.LOADS.labels("model").set(len(store.active_loads))
            metrics.LOADS.labels("adapter").set(len(store.active_adapter_loads))
            metrics.PENDING_ORDERS.set(len(core.orders.pending))
        for state, count in counts.items():
            metrics.REPLICAS.labels(state).set(count)
