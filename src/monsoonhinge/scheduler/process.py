"""The scheduler process."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import logging
from typing import Any

from monsoonhinge.control import client as control_client
from monsoonhinge.control import keeper
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import active
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import holder
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import metrics
from monsoonhinge.scheduler import subscriptions
from monsoonhinge.scheduler import verdicts
from monsoonhinge.targets import http

_TICK_S = 0.1
_FLUSH_S = 0.05
_LEASE_TICK_S = 0.2

# Demand that arrives within this time is planned together.
_GATHER_S = 0.01
_VERDICT_INTERVAL_S = 0.5

_LOG = logging.getLogger(__name__)


class SchedulerProcess:
    """Decides replicas and grants tokens while it holds the leases.

    Without the leases it keeps its directory and its learned gaps warm and
    serves directory subscriptions.
    """

    def __init__(self, config: settings.Scheduler) -> None:
        self.config = config
        self.identity = service.identity(config, "scheduler")
        self.server = endpoint.Server(identity=self.identity, handler=self)
        self.control = control_client.Client(
            members=config.control, identity=self.identity
        )
        self.directory = target_directory.Directory()
        self.subscriptions = subscriptions.Subscriptions(
            directory=self.directory
        )
        self.book = demand.DemandBook()
        self.retention = keepalive.KeepAlive(self.control.view.policy)
        self.budgets = holder.BudgetHolder(
            holder=self._holder, control=self.control
        )
        self.active: active.ActiveScheduler | None = None
        self.draining = False
        self._dialect: http.HttpDialect | None = None
        self._version = 0
        self._wake = asyncio.Event()
        self._verdicts: dict[str, tuple[messages.Verdict, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._deciding: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(cls, config: settings.Scheduler) -> "SchedulerProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and connecting."""
        self._dialect = http.HttpDialect()
        self.active = active.ActiveScheduler(
            lease=keeper.Keeper(
                name=active.LEASE, holder=self._holder, control=self.control
            ),
            control=self.control,
            directory=self.directory,
            book=self.book,
            retention=self.retention,
            dialect=self._dialect,
            order_timeout_s=self.config.order_timeout_s,
            now=asyncio.get_running_loop().time,
        )
        await self.server.start(
            host=self.config.listen.host, port=self.config.listen.port
        )
        self.control.start()
        self._deciding = [
            self._spawn(self._keep_leases(self.active)),
            self._spawn(self._plan(self.active)),
        ]
        self._spawn(self._maintain(self.active))

    async def finish(self) -> None:
        """Hands the leases over."""
        # A renewal in progress could take a lease again after its release.
        await asyncio.gather(*self._deciding)
        if self.active is not None:
            await self.active.release()
        await self.budgets.release()

    async def stop(self) -> None:
        """Closes everything."""
        for task in list(self._tasks):
            task.cancel()
        if self.active is not None:
            self.active.cancel()
        await self.server.stop()
        await self.control.stop()
        if self._dialect is not None:
            await self._dialect.close()

    def drain(self) -> None:
        """Begins a graceful stop."""
        self.draining = True

    def ready(self) -> str:
        """Returns why the process is not ready, or ""."""
        if self.draining:
            return "draining"
        return "" if self.control.view.version else "no configuration yet"

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        core = self.active.core if self.active is not None else None
        document: dict[str, Any] = {
            "version": self.control.view.version,
            "fencing": core.orders.fencing if core else 0,
            "targets": {
                name: dataclasses.asdict(entry.state)
                for name, entry in self.directory.entries.items()
            },
            "subscribers": sorted(self.subscriptions.links.values()),
            "budgets": self.budgets.dump(),
        }
        if core is not None:
            ledger = core.planner.ledger
            store = core.planner.store
            document["decided"] = {
                name: dataclasses.asdict(replica)
                for name, replica in ledger.replicas.items()
            }
            document["adapter_moves"] = sorted(ledger.moves)
            document["orders"] = sorted(core.orders.pending)
            document["store"] = {
                "loads": sorted(store.in_flight),
                "adapter_loads": sorted(store.adapters_in_flight),
                "speed": store.speed,
            }
        return document

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do until the peer subscribes."""

    def disconnected(self, link: connection.Connection) -> None:
        """Ends a subscription; its demand expires by itself."""
        gateway = self.subscriptions.links.get(link, "")
        self.subscriptions.discard(link)
        self._verdicts.pop(gateway, None)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Handles what gateways send."""
        now = asyncio.get_running_loop().time()
        match message:
            case messages.Subscribe():
                self.subscriptions.add(link, message.gateway)
                return messages.Ack()
            case messages.Interest():
                self.subscriptions.follow(link, message.models)
                return None
            case messages.Announcements():
                self._take_announcements(message, now)
                return None
            case messages.Demand():
                self.book.update(message, now)
                self._wake.set()
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
    def _holder(self) -> str:
        return f"{self.identity.node}/{self.identity.incarnation}"

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _take_announcements(
        self, message: messages.Announcements, now: float
    ) -> None:
        for state in message.targets:
            if not self.directory.update(state, now):
                continue
            self.subscriptions.change(state)
            if self.active is not None:
                heard_at = self.directory.entries[state.target].heard_at
                self.active.observe(state, heard_at)
            self._wake.set()

    async def _keep_leases(self, scheduler: active.ActiveScheduler) -> None:
        loop = asyncio.get_running_loop()
        while not self.draining:
            try:
                await scheduler.keep()
                # The holder of both leases is one process, which gateways
                # find by asking for a grant.
                if scheduler.lease.held(loop.time()):
                    await self.budgets.keep()
                elif self.budgets.lease.fencing:
                    await self.budgets.release()
            except errors.MonsoonhingeError as error:
                _LOG.warning("keeping leases: %s", error)
            for held in (scheduler.lease, self.budgets.lease):
                metrics.HELD.labels(held.name).set(held.held(loop.time()))
            await asyncio.sleep(_LEASE_TICK_S)

    async def _plan(self, scheduler: active.ActiveScheduler) -> None:
        loop = asyncio.get_running_loop()
        while not self.draining:
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._wake.wait()
                await asyncio.sleep(_GATHER_S)
            except TimeoutError:
                pass
            self._wake.clear()
            self.book.expire(loop.time())
            try:
                await scheduler.step()
            except errors.MonsoonhingeError as error:
                _LOG.warning("scheduling: %s", error)
            if scheduler.core is None:
                models = {model for model, _ in self.book.needs()}
                self.retention.update(models, loop.time())
            else:
                self._send_verdicts(scheduler, loop.time())

    async def _maintain(self, scheduler: active.ActiveScheduler) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            gone = self.directory.expire(now)
            if gone:
                self.subscriptions.remove(gone)
                scheduler.expire(gone)
            self.subscriptions.flush(now)
            view = self.control.view
            if view.version != self._version:
                self._version = view.version
                scheduler.configure(view)
                self.budgets.configure(view)
                self._wake.set()
            self._measure(scheduler)
            await asyncio.sleep(_FLUSH_S)

    def _send_verdicts(
        self, scheduler: active.ActiveScheduler, now: float
    ) -> None:
        if scheduler.core is None:
            return
        for link, gateway in list(self.subscriptions.links.items()):
            keys = self.book.waiting_at(gateway)
            verdict = verdicts.message(scheduler.core.expectations, keys, now)
            known = self._verdicts.get(gateway)
            if not verdict.items or (
                known is not None
                and known[0] == verdict
                and now - known[1] < _VERDICT_INTERVAL_S
            ):
                continue
            self._verdicts[gateway] = (verdict, now)
            link.notify(verdict)

    def _measure(self, scheduler: active.ActiveScheduler) -> None:
        metrics.TARGETS.set(len(self.directory.entries))
        core = scheduler.core
        counts = {"loading": 0, "loaded": 0, "unloading": 0}
        if core is not None:
            for replica in core.planner.ledger.replicas.values():
                counts[replica.state] += 1
            store = core.planner.store
            metrics.LOADS.labels("model").set(len(store.in_flight))
            metrics.LOADS.labels("adapter").set(len(store.adapters_in_flight))
            metrics.PENDING_ORDERS.set(len(core.orders.pending))
        for state, count in counts.items():
            metrics.REPLICAS.labels(state).set(count)
