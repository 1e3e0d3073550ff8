"""Runs the coordinator while this process holds the ``scheduler`` lease."""

from collections.abc import Callable
import logging
import time
import uuid

from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
from monsoonhinge.control import lease_client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision
from monsoonhinge.scheduler import coordinator
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import metrics
from monsoonhinge.scheduler import orders
from monsoonhinge.targets import http
from monsoonhinge.targets import order_client as target_orders

LEASE_NAME = "scheduler"

_COMMIT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class ActiveScheduler:
    """Commits the coordinator's decisions and sends its orders to targets.

    Attributes:
        lease: The ``scheduler`` lease.
        core: The coordinator, or None while the lease is not held.
    """

    def __init__(
        self,
        *,
        lease: lease_client.LeaseClient,
        control: control_client.Client,
        directory: target_directory.Directory,
        demand_tracker: demand.DemandTracker,
        keep_alive: keepalive.HistogramKeepAlive,
        order_client: target_orders.OrderClient,
        order_timeout_s: float,
        now: Callable[[], float],
    ) -> None:
        self.lease = lease
        self.core: coordinator.Coordinator | None = None
        self._control = control
        self._directory = directory
        self._demand_tracker = demand_tracker
        self._keep_alive = keep_alive
        self._order_client = order_client
        self._order_timeout_s = order_timeout_s
        self._now = now
        self._supervisor = supervision.Supervisor()

    async def acquire_or_renew(self) -> None:
        """Acquires or renews the lease and takes over after a new grant."""
        await self.lease.acquire_or_renew()
        if not self.lease.fencing:
            self.core = None
        elif (
            self.core is None or self.core.orders.fencing != self.lease.fencing
        ):
            await self._take_over(self.lease.fencing)

    async def step(self) -> None:
        """Plans, commits the changes and sends the orders that are due.

        If the changes are not confirmed before the lease ends, the lease and
        the state are dropped. The next lease holder starts from the decisions
        that are in the control log.
        """
        core = self.core
        if core is None or not self.lease.held(self._now()):
            return
        begin = time.perf_counter()
        core.expire_missing_targets(self._directory, self._now())
        changes = core.plan(
            directory=self._directory,
            needs=self._demand_tracker.needs(),
            now=self._now(),
        )
        metrics.PLANNING_SECONDS.observe(time.perf_counter() - begin)
        if changes:
            await self._commit(core, changes)
        self._send_due(core)

    def apply_announcement(
        self, state: messages.TargetState, announced_at: float
    ) -> None:
        """Processes an announcement of a target."""
        if self.core is not None:
            self.core.apply_announcement(state, announced_at, self._now())

    def expire(self, targets: list[str]) -> None:
        """Marks the replicas of targets whose announcements have expired."""
        if self.core is not None:
            self.core.expire(targets, self._now())

    def configure(self, view: config_view.View) -> None:
        """Applies a new configuration."""
        self._keep_alive.policy = view.policy
        if self.core is not None:
            self.core.configure(view)

    async def release(self) -> None:
        """Waits for orders that are being sent, then releases the lease."""
        self.core = None
        await self._supervisor.wait()
        await self.lease.release()

    def cancel(self) -> None:
        """Aborts the orders that are being sent."""
        self._supervisor.cancel()

    async def _take_over(self, fencing: int) -> None:
        decisions = await self._control.read(
            "decisions", timeout=_READ_TIMEOUT_S
        )
        if self.lease.fencing != fencing:
            return
        self.core = coordinator.Coordinator.take_over(
            [commands.ReplicaChange(**fields) for fields in decisions.values()],
            fencing=fencing,
            directory=self._directory,
            view=self._control.view,
            keep_alive=self._keep_alive,
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
            try:
                result = await self._control.propose(
                    command, commands.Accepted, timeout=_COMMIT_TIMEOUT_S
                )
            except errors.RequestTimeout as error:
                _LOG.info("decisions are not confirmed yet: %s", error)
                continue
            except errors.MonsoonhingeError:
                # The coordinator has planned with changes that may not exist.
                self._discard_core(core)
                raise
            break
        else:
            self._discard_core(core)
            return
        if not result.accepted:
            _LOG.warning(
                "control members rejected the decisions: %s", result.reason
            )
            self._discard_core(core)
            return
        core.on_committed(changes, self._now())
        for change in changes:
            metrics.CHANGES.labels(change.action).inc()

    def _discard_core(self, core: coordinator.Coordinator) -> None:
        """Drops the coordinator and its lease.

        The coordinator's state may differ from the control log.
        """
        if self.core is core:
            self.core = None
            self.lease.invalidate()

    def _send_due(self, core: coordinator.Coordinator) -> None:
        for pending in list(
            core.due(
                directory=self._directory,
                lease_until=self.lease.usable_until,
                now=self._now(),
            )
        ):
            address = self._directory.entries[pending.target].state.address
            core.orders.mark_sent(pending.order.order_id, self._now())
            self._supervisor.spawn(
                "send_order", self._send(core, pending, address)
            )

    async def _send(
        self,
        core: coordinator.Coordinator,
        pending: orders.PendingOrder,
        address: str,
    ) -> None:
        order_id = pending.order.order_id
        try:
            await self._order_client.send_order(
                address, pending.order, timeout=self._order_timeout_s
            )
        except http.OrderRefused as error:
            _LOG.warning("%s", error)
            metrics.ORDERS.labels("refused").inc()
            core.on_refused(order_id, self._now())
        except errors.MonsoonhingeError as error:
            _LOG.info("%s", error)
            metrics.ORDERS.labels("unknown").inc()
            core.orders.mark_unanswered(order_id, self._now())
        else:
            metrics.ORDERS.labels("accepted").inc()
            core.orders.mark_accepted(order_id, self._now())
