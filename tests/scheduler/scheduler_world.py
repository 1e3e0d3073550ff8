"""Simulated targets, network and control log around the scheduler core."""

import dataclasses
import itertools

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import coordinator
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.targets import order_client

ORDER_TIMEOUT_S = 2.0
LEASE_S = 3.0
GB = 10**9


def make_view(
    models: int = 4, *, min_keep_s: float = 1.0, **store: float
) -> config_view.View:
    """Returns a configuration with a few models of different sizes."""
    items: list[schema.AnyObject] = [
        schema.Model(
            name=f"m{number}",
            versions=[
                schema.ModelVersion(
                    version="1",
                    weights_bytes=(number % 3 + 2) * GB,
                    load_s=1.0 + number % 2,
                )
            ],
            current="1",
            kv_bytes_per_replica=GB,
            adapter_slot_bytes=100,
            max_replicas=2,
            max_concurrency=2,
        )
        for number in range(models)
    ]
    items += [
        schema.Adapter(name=f"a{number}", model="m0", bytes=40)
        for number in range(3)
    ]
    items.append(schema.Store(name="s", **{"loads_per_s": 4.0, **store}))
    items.append(
        schema.Policy(name="p", min_keep_s=min_keep_s, max_keep_s=30.0)
    )
    return config_view.View(
        version=1, objects={schema.object_id(item): item for item in items}
    )


class Target:
    """A simulated target; its loads complete only when the test ends them."""

    def __init__(
        self, name: str, *, memory_bytes: int, checks_fencing: bool
    ) -> None:
        self.name = name
        self.memory_bytes = memory_bytes
        self.checks_fencing = checks_fencing
        self.incarnation = 1
        self.sequence = 0
        self.fencing = 0
        self.alive = True
        self.replicas: dict[str, messages.ReplicaState] = {}
        self.outcomes: dict[str, str] = {}
        self.log: list[tuple[str, str]] = []

    def receive(self, order: order_client.Order) -> bool:
        """Executes an order; returns whether it was accepted."""
        if self.checks_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id in self.outcomes or order.order_id in self.replicas:
            return True
        if order.action == "load":
            self.replicas[order.order_id] = messages.ReplicaState(
                model=order.model,
                version=order.model_version,
                state="loading",
                order_id=order.order_id,
            )
            return True
        replica = self.replicas.get(order.replica)
        if order.action == "unload":
            self.replicas.pop(order.replica, None)
        elif replica is not None and order.action == "load_adapter":
            replica.adapters = [*replica.adapters, order.adapter]
        elif replica is not None:
            replica.adapters = [
                name for name in replica.adapters if name != order.adapter
            ]
        self.outcomes[order.order_id] = "done"
        return True

    def end_load(self, *, failed: bool = False) -> None:
        """Ends the oldest load in progress."""
        for order_id, replica in list(self.replicas.items()):
            if replica.state == "loading":
                self.outcomes[order_id] = "failed" if failed else "done"
                replica.state = "loaded"
                if failed:
                    del self.replicas[order_id]
                return

    def restart(self) -> None:
        """Restarts with a new incarnation and without any state."""
        self.incarnation += 1
        self.sequence = 0
        self.fencing = 0
        self.alive = True
        self.replicas = {}
        self.outcomes = {}

    def announce(self) -> messages.TargetState:
        """Returns the next announcement."""
        self.sequence += 1
        return messages.TargetState(
            target=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            kind="engine",
            availability_zone=f"z{self.name[-1]}",
            address="127.0.0.1:1",
            memory_bytes=self.memory_bytes,
            checks_fencing=self.checks_fencing,
            fencing=self.fencing,
            replicas=[
                dataclasses.replace(replica, adapters=list(replica.adapters))
                for replica in self.replicas.values()
            ],
            orders=[
                messages.OrderOutcome(order_id=order_id, outcome=outcome)
                for order_id, outcome in self.outcomes.items()
            ],
        )


@dataclasses.dataclass
class LeaseHolder:
    """A scheduler that holds or held the lease."""

    core: coordinator.Coordinator
    fencing: int
    lease_until: float


@dataclasses.dataclass
class InFlightOrder:
    """An order that was sent and has not arrived yet."""

    holder: LeaseHolder
    order: order_client.Order
    target: str
    sent_at: float


class Simulation:
    """Simulates schedulers, targets, the control log and the network."""

    def __init__(self, view: config_view.View, targets: list[Target]) -> None:
        self.view = view
        self.now = 100.0
        self.targets = {target.name: target for target in targets}
        self.log = state_machine.StateMachine()
        self.index = 0
        self.network: list[InFlightOrder] = []
        self.pending_announcements: list[
            tuple[messages.TargetState, float]
        ] = []
        self.directory = directory.Directory()
        self.demand_tracker = demand.DemandTracker()
        self.holders: list[LeaseHolder] = []
        self.load_start_times: list[float] = []
        self.expired_loads: set[str] = set()
        self.unloads: list[tuple[float, str]] = []
        self._ids = itertools.count()

    @property
    def active(self) -> LeaseHolder:
        """The scheduler that acquired the lease last."""
        return self.holders[-1]

    def commit(self, command: commands.Command) -> commands.Result:
        """Applies a command to the control log."""
        self.index += 1
        return self.log.apply(self.index, command)

    def fail_over(self) -> None:
        """Gives the lease to a new scheduler once the old one has expired."""
        if self.holders:
            self.now = max(self.now, self.active.lease_until) + 0.3
            self.commit(
                commands.ExpireLease(
                    name="scheduler", fencing=self.active.fencing
                )
            )
        lease = self.commit(
            commands.AcquireLease(
                name="scheduler", holder=f"s{len(self.holders)}"
            )
        )
        assert isinstance(lease, commands.LeaseResult)
        self.expire()
        core = coordinator.Coordinator.take_over(
            self.log.decisions.values(),
            fencing=lease.fencing,
            directory=self.directory,
            view=self.view,
            keep_alive=keepalive.HistogramKeepAlive(self.view.policy),
            order_timeout_s=ORDER_TIMEOUT_S,
            new_id=lambda: f"d{next(self._ids)}",
            now=self.now,
        )
        core.configure(self.view)
        self.holders.append(
            LeaseHolder(core, lease.fencing, self.now + LEASE_S)
        )

    def renew(self) -> None:
        """Renews the lease of the active scheduler."""
        self.active.lease_until = self.now + LEASE_S

    def expire(self) -> None:
        """Expires targets in the directory and at the active scheduler."""
        expired = self.directory.expire(self.now)
        if self.holders:
            self.active.core.expire(expired, self.now)
            self.active.core.expire_missing_targets(self.directory, self.now)
            self.expired_loads |= {
                replica.replica_id
                for replica in self.active.core.planner.ledger.loading()
                if replica.expired
            }

    def announce(self, target: Target, *, delay: float = 0.0) -> None:
        """Sends an announcement, which arrives after a delay."""
        if target.alive:
            self.pending_announcements.append(
                (target.announce(), self.now + delay)
            )

    def receive_announcements(self) -> None:
        """Delivers announcements whose delay is over, newest first."""
        arrived = [
            item for item in self.pending_announcements if item[1] <= self.now
        ]
        self.pending_announcements = [
            item for item in self.pending_announcements if item[1] > self.now
        ]
        for state, _ in reversed(arrived):
            if self.directory.update(state, self.now):
                self.active.core.apply_announcement(state, self.now, self.now)

    def report_demand(self, name: str, waiting: int, adapter: str = "") -> None:
        """Reports demand for a model, by a team with the same number."""
        self.demand_tracker.update(
            messages.Demand(
                gateway="g",
                items=[
                    messages.DemandItem(
                        model=name,
                        adapter=adapter,
                        team=f"t{name[-1]}",
                        waiting=waiting,
                        earliest_deadline_ms=20_000,
                    )
                ],
            ),
            self.now,
        )

    def plan(self, *, crash_before_order: bool = False) -> None:
        """Runs one planning step of the active scheduler."""
        holder = self.active
        if self.now >= holder.lease_until:
            return
        changes = holder.core.plan(
            directory=self.directory,
            needs=self.demand_tracker.needs(),
            now=self.now,
        )
        known = set(self.log.decisions)
        result = self.commit(
            commands.DecideReplicas(fencing=holder.fencing, changes=changes)
        )
        assert isinstance(result, commands.Accepted) and result.accepted
        for change in changes:
            # A decision that a restarted target executes is committed again.
            if change.action == "load" and change.decision_id not in known:
                self.load_start_times.append(self.now)
            elif change.action == "unload":
                self.unloads.append((self.now, change.model))
        if not crash_before_order:
            holder.core.on_committed(changes, self.now)

    def send(self, holder: LeaseHolder) -> None:
        """Sends the due orders of a scheduler, which may be a former one."""
        for pending in list(
            holder.core.due(
                directory=self.directory,
                lease_until=holder.lease_until,
                now=self.now,
            )
        ):
            holder.core.orders.mark_sent(pending.order.order_id, self.now)
            self.network.append(
                InFlightOrder(holder, pending.order, pending.target, self.now)
            )

    def deliver(
        self,
        index: int,
        *,
        lost: bool = False,
        answered: bool = True,
        again: bool = False,
    ) -> None:
        """Delivers or loses one of the orders on the network.

        Args:
            index: Which of the orders, modulo their number.
            lost: Whether the order does not arrive.
            answered: Whether the response of the target arrives.
            again: Whether the network duplicates the order.
        """
        if not self.network:
            return
        item = self.network.pop(index % len(self.network))
        orders = item.holder.core.orders
        target = self.targets[item.target]
        arrived = not lost and target.alive
        accepted = target.receive(item.order) if arrived else False
        if arrived and answered and accepted:
            orders.mark_accepted(item.order.order_id, self.now)
        elif arrived and answered:
            item.holder.core.on_refused(item.order.order_id, self.now)
        else:
            orders.mark_unanswered(item.order.order_id, self.now)
        if again and arrived:
            self.network.append(item)

    def advance(self, seconds: float) -> None:
        """Advances the clock and aborts orders past their timeout."""
        self.now += seconds
        for item in list(self.network):
            if self.now - item.sent_at > ORDER_TIMEOUT_S:
                self.network.remove(item)
                item.holder.core.orders.mark_unanswered(
                    item.order.order_id, self.now
                )
        self.expire()

    def loading(self) -> set[str]:
        """Returns the decided loads that their targets have not completed."""
        result = set()
        for change in self.log.decisions.values():
            target = self.targets[change.target]
            replica = target.replicas.get(change.decision_id)
            if (
                change.action == "load"
                and change.incarnation == target.incarnation
                and change.decision_id not in target.outcomes
                and (replica is None or replica.state == "loading")
            ):
                result.add(change.decision_id)
        return result

    def run_without_faults(self, steps: int = 20) -> None:
        """Runs without faults."""
        for _ in range(steps):
            self.advance(0.25)
            self.renew()
            for target in self.targets.values():
                target.end_load()
                self.announce(target)
            self.receive_announcements()
            self.plan()
            self.send(self.active)
            while self.network:
                self.deliver(0)

    def check_invariants(self) -> None:
        """Checks that replicas are decided and memory is not overcommitted."""
        for target in self.targets.values():
            used_bytes = 0
            for order_id, replica in target.replicas.items():
                assert order_id in self.log.decisions, (
                    "replica without a decision"
                )
                model = self.view.models[replica.model]
                version = model.version()
                assert version is not None
                used_bytes += (
                    version.weights_bytes
                    + model.kv_bytes_per_replica
                    + model.adapter_slot_bytes
                )
                assert 40 * len(replica.adapters) <= model.adapter_slot_bytes
            assert used_bytes <= target.memory_bytes, "memory overcommitted"
        reserved_bytes: dict[str, int] = {}
        for change in self.log.decisions.values():
            reserved_bytes[change.target] = (
                reserved_bytes.get(change.target, 0) + change.reserved_bytes
            )
        for name, size_bytes in reserved_bytes.items():
            assert size_bytes <= self.targets[name].memory_bytes, (
                "reserved memory exceeds the target's"
            )
