"""Runs the coordinator while the lease ``scheduler`` is held."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import time
import uuid

from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
from monsoonhinge.control import keeper
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import coordinator
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import metrics
from monsoonhinge.scheduler import orders
from monsoonhinge.targets import dialect as target_dialect
from monsoonhinge.targets import http

LEASE = "scheduler"

_COMMIT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class ActiveScheduler:
    """Commits decisions and sends orders.

    Attributes:
        lease: Lease of the scheduler.
        core: The coordinator, or None while the lease is not held.
    """

    def __init__(
        self,
        *,
        lease: keeper.Keeper,
        control: control_client.Client,
        directory: target_directory.Directory,
        book: demand.DemandBook,
        retention: keepalive.KeepAlive,
        dialect: target_dialect.Dialect,
        order_timeout_s: float,
        now: Callable[[], float],
    ) -> None:
        self.lease = lease
        self.core: coordinator.Coordinator | None = None
        self._control = control
        self._directory = directory
        self._book = book
        self._retention = retention
        self._dialect = dialect
        self._order_timeout_s = order_timeout_s
        self._now = now
        self._sending: set[asyncio.Task[None]] = set()

    async def keep(self) -> None:
        """Keeps the lease and takes over after a new grant."""
        await self.lease.keep()
        if not self.lease.fencing:
            self.core = None
        elif (
            self.core is None or self.core.orders.fencing != self.lease.fencing
        ):
            await self._take_over(self.lease.fencing)

    async def step(self) -> None:
        """Plans, commits the changes and sends the orders that are due.

        Changes that are not confirmed before the lease ends are dropped with
        the lease; the next one starts from what the log really has.
        """
        core = self.core
        if core is None or not self.lease.held(self._now()):
            return
        begin = time.perf_counter()
        core.expire_unheard(self._directory, self._now())
        changes = core.plan(
            directory=self._directory,
            needs=self._book.needs(),
            now=self._now(),
        )
        metrics.PLANNING_SECONDS.observe(time.perf_counter() - begin)
        if changes:
            await self._commit(core, changes)
        self._send_due(core)

    def observe(self, state: messages.TargetState, heard_at: float) -> None:
        """Takes an announcement."""
        if self.core is not None:
            self.core.observe(state, heard_at, self._now())

    def expire(self, targets: list[str]) -> None:
        """Takes targets that no longer announce themselves."""
        if self.core is not None:
            self.core.expire(targets, self._now())

    def configure(self, view: config_view.View) -> None:
        """Takes a new configuration."""
        self._retention.policy = view.policy
        if self.core is not None:
            self.core.configure(view)

    async def release(self) -> None:
        """Ends what is being sent and hands the lease over."""
        self.core = None
        if self._sending:
            await asyncio.wait(self._sending)
        await self.lease.release()

    def cancel(self) -> None:
        """Aborts what is being sent."""
        for task in self._sending:
            task.cancel()

    async def _take_over(self, fencing: int) -> None:
        document = await self._control.read(
            "decisions", timeout=_READ_TIMEOUT_S
        )
        if self.lease.fencing != fencing:
            return
        self.core = coordinator.Coordinator.take_over(
            [commands.ReplicaChange(**fields) for fields in document.values()],
            fencing=fencing,
            directory=self._directory,
            view=self._control.view,
            retention=self._retention,
            order_timeout_s=self._order_timeout_s,
            new_id=lambda: uuid.uuid4().hex,
            now=self._now(),
        )
        self.configure(self._control.view)

    async def _commit(
        self,
        core: coordinator.Coordinator,
        changes: list[commands.ReplicaChange],
    ) -> None:
        command = commands.DecideReplicas(
            fencing=core.orders.fencing, changes=changes
        )
        while self.lease.held(self._now()) and self.core is core:
            with contextlib.suppress(errors.RequestTimeout):
                result = await self._control.propose(
                    command, commands.Accepted, timeout=_COMMIT_TIMEOUT_S
                )
                break
        else:
            self._give_up(core)
            return
        if not result.accepted:
            _LOG.warning("decisions refused: %s", result.reason)
            self._give_up(core)
            return
        core.committed(changes, self._now())
        for change in changes:
            metrics.CHANGES.labels(change.action).inc()

    def _give_up(self, core: coordinator.Coordinator) -> None:
        """Drops a state that may differ from the log."""
        if self.core is core:
            self.core = None
            self.lease.give_up()

    def _send_due(self, core: coordinator.Coordinator) -> None:
        for pending in list(
            core.due(
                directory=self._directory,
                lease_until=self.lease.until,
                now=self._now(),
            )
        ):
            address = self._directory.entries[pending.target].state.address
            core.orders.sent(pending.order.order_id, self._now())
            task = asyncio.get_running_loop().create_task(
                self._send(core, pending, address)
            )
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(
        self,
        core: coordinator.Coordinator,
        pending: orders.Pending,
        address: str,
    ) -> None:
        order_id = pending.order.order_id
        try:
            await self._dialect.send_order(
                address, pending.order, timeout=self._order_timeout_s
            )
        except http.OrderRefused as error:
            _LOG.warning("%s", error)
            metrics.ORDERS.labels("refused").inc()
            core.refused(order_id, self._now())
        except errors.MonsoonhingeError as error:
            _LOG.info("%s", error)
            metrics.ORDERS.labels("unknown").inc()
            core.orders.unknown(order_id, self._now())
        else:
            metrics.ORDERS.labels("accepted").inc()
            core.orders.accepted(order_id, self._now())
