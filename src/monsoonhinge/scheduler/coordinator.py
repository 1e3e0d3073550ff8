"""Decisions and orders of the active scheduler; performs no I/O."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses

from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand as gateway_demand
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import orders as pending_orders
from monsoonhinge.scheduler import placement
from monsoonhinge.scheduler import planner as planning
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import weightstore
from monsoonhinge.targets import order_client


class Coordinator:
    """Decides for the holder of the ``scheduler`` lease.

    Attributes:
        planner: Decides loads and unloads.
        orders: Orders whose outcome is not known yet.
        estimates: Latest readiness estimates by model and adapter.
    """

    def __init__(
        self,
        *,
        planner: planning.Planner,
        orders: pending_orders.PendingOrders,
        view: config_view.View,
    ) -> None:
        self.planner = planner
        self.orders = orders
        self.estimates: dict[gateway_demand.DemandKey, readiness.Estimate] = {}
        self._view = view
        self._settled: dict[str, commands.ReplicaChange] = {}
        self._adopted: dict[str, commands.ReplicaChange] = {}

    @classmethod
    def take_over(
        cls,
        decisions: Iterable[commands.ReplicaChange],
        *,
        fencing: int,
        directory: target_directory.Directory,
        view: config_view.View,
        keep_alive: keepalive.KeepAlivePolicy,
        order_timeout_s: float,
        new_id: Callable[[], str],
        now: float,
    ) -> "Coordinator":
        """Continues from the decisions of earlier lease holders.

        Args:
            decisions: Decisions in the control log, read after the lease was
                granted.
            fencing: Fencing token of the lease.
            directory: Targets known so far.
            view: Configuration in effect.
            keep_alive: Keep-alive policy.
            order_timeout_s: Time after which sending an order is aborted.
            new_id: Returns a unique decision id.
            now: Current time in seconds.
        """
        store = weightstore.WeightStore(view.store, now=now)
        ledger = replica_ledger.Ledger.from_decisions(
            decisions, footprint_bytes=_footprint_lookup(view), now=now
        )
        coordinator = cls(
            planner=planning.Planner(
                ledger=ledger, store=store, keep_alive=keep_alive, new_id=new_id
            ),
            orders=pending_orders.PendingOrders(
                fencing=fencing,
                taken_over_at=now,
                order_timeout_s=order_timeout_s,
            ),
            view=view,
        )
        for entry in directory.entries.values():
            coordinator.apply_announcement(entry.state, entry.announced_at, now)
        coordinator._restore(now)
        return coordinator

    def configure(self, view: config_view.View) -> None:
        """Applies a new configuration."""
        self._view = view
        self.planner.ledger.footprint_bytes = _footprint_lookup(view)
        self.planner.store.configure(
            view.store, {name: team.weight for name, team in view.teams.items()}
        )

    def apply_announcement(
        self, state: messages.TargetState, announced_at: float, now: float
    ) -> None:
        """Processes an announcement of a target.

        Args:
            state: The announcement.
            announced_at: When the target posted it, in seconds.
            now: Current time in seconds.
        """
        observation = self.planner.apply_announcement(state, now)
        for change in observation.settled:
            restarted = change.incarnation < state.incarnation
            if restarted and self.orders.may_still_arrive(
                change.decision_id, announced_at
            ):
                # The restarted target may still receive the order, so a later
                # announcement settles it.
                continue
            self._settled[change.decision_id] = change
        for change in observation.adopted:
            self._adopted[change.decision_id] = change
            self._settled.pop(change.decision_id, None)
        for outcome in state.orders:
            self.orders.discard(outcome.order_id)
        for item in state.replicas:
            self.orders.discard(item.order_id)
        for item in observation.orphans:
            if item.state == "loaded" and item.order_id:
                self._unload_orphan(item, state)

    def expire(self, targets: Iterable[str], now: float) -> None:
        """Marks the replicas of targets whose announcements have expired."""
        for target in targets:
            self.planner.expire(target, now)

    def expire_missing_targets(
        self, directory: target_directory.Directory, now: float
    ) -> None:
        """Expires targets with decided replicas that are not in the directory.

        After a takeover, a target has ``EXPIRY_S`` to announce itself.
        """
        if now < self.orders.taken_over_at + target_directory.EXPIRY_S:
            return
        targets = {
            replica.change.target
            for replica in self.planner.ledger.replicas.values()
            if not replica.expired
        }
        self.expire(targets - directory.entries.keys(), now)

    def plan(
        self,
        *,
        directory: target_directory.Directory,
        needs: Mapping[gateway_demand.DemandKey, gateway_demand.Need],
        now: float,
    ) -> list[commands.ReplicaChange]:
        """Runs a planning step.

        Returns:
            The changes to commit before their orders are sent.
        """
        plan = self.planner.plan(
            view=self._view,
            targets=[
                entry.state
                for entry in directory.available()
                if entry.state.kind == "engine"
            ],
            needs=dict(needs),
            now=now,
        )
        self.estimates = plan.estimates
        changes = [
            *self._settled.values(),
            *self._adopted.values(),
            *plan.changes,
        ]
        self._adopted = {}
        return changes

    def on_committed(
        self, changes: Iterable[commands.ReplicaChange], now: float
    ) -> None:
        """Applies committed changes and queues their orders."""
        for change in changes:
            if change.action == "settled":
                self._settled.pop(change.decision_id, None)
                self.planner.settle([change], now)
                self.orders.discard(change.decision_id)
                self.orders.discard(
                    replica_ledger.unload_order_id(change.decision_id)
                )
            elif not self._already_reported(change):
                self._queue_order(change)

    def due(
        self,
        *,
        directory: target_directory.Directory,
        lease_until: float,
        now: float,
    ) -> Iterator[pending_orders.PendingOrder]:
        """Yields orders that may be sent now."""
        live_targets = {
            name: (entry.state, entry.announced_at)
            for name, entry in directory.entries.items()
        }
        return self.orders.due(
            now=now, lease_until=lease_until, live_targets=live_targets
        )

    def on_refused(self, order_id: str, now: float) -> None:
        """Handles an order that a target refused without executing it."""
        pending = self.orders.pending.get(order_id)
        replica = self.planner.ledger.replicas.get(order_id)
        if pending is None:
            return
        if replica is not None and pending.attempts == 1 and not replica.seen:
            # The order was sent once, so no other copy can still arrive.
            self.orders.discard(order_id)
            self._settled[order_id] = dataclasses.replace(
                replica.change, action="settled"
            )
            return
        self.orders.mark_unanswered(order_id, now)

    def _restore(self, now: float) -> None:
        """Resumes the loads and orders of earlier lease holders."""
        ledger = self.planner.ledger
        store = self.planner.store
        for replica in ledger.replicas.values():
            change = replica.change
            if replica.loaded_at is None and replica.state == "loading":
                model = self._view.models.get(change.model)
                version = model.version(change.model_version) if model else None
                store.restore(
                    replica.replica_id,
                    nominal_s=version.load_s if version else 0.0,
                    now=now,
                )
            if replica.state == "unloading" or not replica.seen:
                self._queue_order(change)
        for adapter_change in ledger.adapter_changes.values():
            if adapter_change.change.action == "load_adapter":
                store.record_adapter_start(adapter_change.change.decision_id)
            self._queue_order(adapter_change.change)

    def _already_reported(self, change: commands.ReplicaChange) -> bool:
        replica = self.planner.ledger.replicas.get(change.decision_id)
        return change.action == "load" and (replica is None or replica.seen)

    def _queue_order(self, change: commands.ReplicaChange) -> None:
        order_id = change.decision_id
        replica = ""
        if change.action == "unload":
            order_id = replica_ledger.unload_order_id(change.decision_id)
            replica = change.decision_id
        elif change.adapter:
            replica = change.decision_id.rpartition("/")[0]
        self.orders.add(
            order_client.Order(
                fencing=self.orders.fencing,
                order_id=order_id,
                action=change.action,
                model=change.model,
                model_version=change.model_version,
                adapter=change.adapter,
                replica=replica,
            ),
            change.target,
            change.incarnation,
        )

    def _unload_orphan(
        self, item: messages.ReplicaState, state: messages.TargetState
    ) -> None:
        self.orders.add(
            order_client.Order(
                fencing=self.orders.fencing,
                order_id=replica_ledger.unload_order_id(item.order_id),
                action="unload",
                model=item.model,
                model_version=item.version,
                replica=item.order_id,
            ),
            state.target,
            state.incarnation,
        )


def _footprint_lookup(view: config_view.View) -> replica_ledger.FootprintLookup:
    def lookup(model: str, version: str) -> int:
        config = view.models.get(model)
        return placement.footprint_bytes(config, version) if config else 0

    return lookup
