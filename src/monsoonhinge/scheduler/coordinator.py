"""Decisions and orders of the active scheduler, without input or output."""

from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses

from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand as demand_book
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import orders as pending_orders
from monsoonhinge.scheduler import planner as planning
from monsoonhinge.scheduler import verdicts
from monsoonhinge.scheduler import weightstore
from monsoonhinge.targets import dialect


class Coordinator:
    """Everything that the holder of the lease ``scheduler`` decides.

    Attributes:
        planner: Decides loads and unloads.
        orders: Orders without a known outcome.
        expectations: Latest verdicts by model and adapter.
    """

    def __init__(
        self,
        *,
        planner: planning.Planner,
        orders: pending_orders.Orders,
        view: config_view.View,
    ) -> None:
        self.planner = planner
        self.orders = orders
        self.expectations: dict[demand_book.Key, verdicts.Expectation] = {}
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
        retention: keepalive.Retention,
        order_timeout_s: float,
        new_id: Callable[[], str],
        now: float,
    ) -> "Coordinator":
        """Continues from the decisions of earlier schedulers.

        Args:
            decisions: Decisions in the log, read after the lease was granted.
            fencing: Fencing number of the lease.
            directory: Targets known so far.
            view: Configuration in effect.
            retention: Keep-alive policy.
            order_timeout_s: Longest transmission of an order.
            new_id: Returns a new unique decision id.
            now: Current time in seconds.
        """
        store = weightstore.WeightStore(view.store, now=now)
        ledger = replica_ledger.Ledger.from_decisions(
            decisions, footprint=_footprint(view), now=now
        )
        coordinator = cls(
            planner=planning.Planner(
                ledger=ledger, store=store, retention=retention, new_id=new_id
            ),
            orders=pending_orders.Orders(
                fencing=fencing,
                taken_over_at=now,
                order_timeout_s=order_timeout_s,
            ),
            view=view,
        )
        for entry in directory.entries.values():
            coordinator.observe(entry.state, entry.heard_at, now)
        coordinator._restore(now)
        return coordinator

    def configure(self, view: config_view.View) -> None:
        """Takes a new configuration."""
        self._view = view
        self.planner.ledger.footprint = _footprint(view)
        self.planner.store.configure(
            view.store, {name: team.weight for name, team in view.teams.items()}
        )

    def observe(
        self, state: messages.TargetState, heard_at: float, now: float
    ) -> None:
        """Takes an announcement.

        Args:
            state: The announcement.
            heard_at: When the target posted it, in seconds.
            now: Current time in seconds.
        """
        observation = self.planner.observe(state, now)
        for change in observation.settled:
            restarted = change.incarnation < state.incarnation
            if restarted and self.orders.may_arrive(
                change.decision_id, heard_at
            ):
                # The restarted target may still get the order; a later
                # announcement decides.
                continue
            self._settled[change.decision_id] = change
        for change in observation.adopted:
            self._adopted[change.decision_id] = change
            self._settled.pop(change.decision_id, None)
        for outcome in state.orders:
            self.orders.discard(outcome.order_id)
        for item in state.replicas:
            self.orders.discard(item.order_id)
        for item in observation.surplus:
            if item.state == "loaded" and item.order_id:
                self._order_surplus(item, state)

    def expire(self, targets: Iterable[str], now: float) -> None:
        """Stops counting on targets that no longer announce themselves."""
        for target in targets:
            self.planner.expire(target, now)

    def expire_unheard(
        self, directory: target_directory.Directory, now: float
    ) -> None:
        """Expires targets in the log that no announcement has come from."""
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
        needs: Mapping[demand_book.Key, demand_book.Need],
        now: float,
    ) -> list[commands.ReplicaChange]:
        """Returns the changes to commit before any order is sent."""
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
        self.expectations = plan.expectations
        changes = [
            *self._settled.values(),
            *self._adopted.values(),
            *plan.changes,
        ]
        self._adopted = {}
        return changes

    def committed(
        self, changes: Iterable[commands.ReplicaChange], now: float
    ) -> None:
        """Takes changes that are in the log: orders may now be sent."""
        for change in changes:
            if change.action == "settled":
                self._settled.pop(change.decision_id, None)
                self.planner.settle([change], now)
                self.orders.discard(change.decision_id)
                self.orders.discard(
                    replica_ledger.unload_order_id(change.decision_id)
                )
            elif not self._is_seen(change):
                self._order(change)

    def due(
        self,
        *,
        directory: target_directory.Directory,
        lease_until: float,
        now: float,
    ) -> Iterator[pending_orders.Pending]:
        """Yields orders that may be sent now."""
        heard = {
            name: (entry.state, entry.heard_at)
            for name, entry in directory.entries.items()
        }
        return self.orders.due(now=now, lease_until=lease_until, heard=heard)

    def refused(self, order_id: str, now: float) -> None:
        """Records that a target refused an order without doing anything."""
        pending = self.orders.pending.get(order_id)
        replica = self.planner.ledger.replicas.get(order_id)
        if pending is None:
            return
        if replica is not None and pending.attempts == 1 and not replica.seen:
            # No other transmission can still arrive.
            self.orders.discard(order_id)
            self._settled[order_id] = dataclasses.replace(
                replica.change, action="settled"
            )
            return
        self.orders.unknown(order_id, now)

    def _restore(self, now: float) -> None:
        """Continues loads and orders that earlier schedulers began."""
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
                self._order(change)
        for move in ledger.moves.values():
            if move.change.action == "load_adapter":
                store.start_adapter(move.change.decision_id)
            self._order(move.change)

    def _is_seen(self, change: commands.ReplicaChange) -> bool:
        replica = self.planner.ledger.replicas.get(change.decision_id)
        return change.action == "load" and (replica is None or replica.seen)

    def _order(self, change: commands.ReplicaChange) -> None:
        order_id = change.decision_id
        replica = ""
        if change.action == "unload":
            order_id = replica_ledger.unload_order_id(change.decision_id)
            replica = change.decision_id
        elif change.adapter:
            replica = change.decision_id.rpartition("/")[0]
        self.orders.add(
            dialect.Order(
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

    def _order_surplus(
        self, item: messages.ReplicaState, state: messages.TargetState
    ) -> None:
        self.orders.add(
            dialect.Order(
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


def _footprint(view: config_view.View) -> replica_ledger.Footprint:
    def size(model: str, version: str) -> int:
        known = view.models.get(model)
        return planning.footprint(known, version) if known else 0

    return size
