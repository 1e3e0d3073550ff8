"""Tests of decisions and orders under crashes, message loss and failover."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from monsoonhinge.scheduler import ledger as replica_ledger
from tests.scheduler import scheduler_world as world

_TARGETS = st.integers(0, 2)
_MODELS = st.sampled_from(["m0", "m1", "m2", "m3"])
_RATE = 2.0
_CONCURRENT = 2


class Interleavings(stateful.RuleBasedStateMachine):
    """Checks the invariants under any interleaving of faults."""

    def __init__(self) -> None:
        super().__init__()
        view = world.make_view(loads_per_s=_RATE, concurrent_loads=_CONCURRENT)
        self.world = world.Simulation(
            view,
            [
                world.Target(
                    f"t{number}",
                    memory_bytes=7 * world.GB,
                    checks_fencing=number != 1,
                )
                for number in range(3)
            ],
        )
        self.world.fail_over()
        for target in self.world.targets.values():
            self.world.announce(target)
        self.world.receive_announcements()

    def _target(self, number: int) -> world.Target:
        return self.world.targets[f"t{number}"]

    @stateful.rule(
        model=_MODELS,
        waiting=st.integers(0, 5),
        adapter=st.sampled_from(["", "a0", "a1", "a2"]),
    )
    def ask(self, model: str, waiting: int, adapter: str) -> None:
        self.world.report_demand(
            model, waiting, adapter if model == "m0" else ""
        )

    @stateful.rule(crash=st.booleans())
    def plan(self, crash: bool) -> None:
        if crash:
            self.world.plan(crash_before_order=True)
            self.world.fail_over()
        else:
            self.world.plan()

    @stateful.rule(former=st.booleans())
    def send(self, former: bool) -> None:
        self.world.send(
            self.world.holders[-2 if former else -1]
            if len(self.world.holders) > 1
            else self.world.active
        )

    @stateful.rule(
        number=st.integers(0, 7),
        lost=st.booleans(),
        answered=st.booleans(),
        again=st.booleans(),
    )
    def deliver(
        self, number: int, lost: bool, answered: bool, again: bool
    ) -> None:
        self.world.deliver(number, lost=lost, answered=answered, again=again)

    @stateful.rule(number=_TARGETS, failed=st.booleans())
    def end_load(self, number: int, failed: bool) -> None:
        self._target(number).end_load(failed=failed)

    @stateful.rule(number=_TARGETS, delay=st.sampled_from([0.0, 0.0, 0.7, 2.5]))
    def announce(self, number: int, delay: float) -> None:
        self.world.announce(self._target(number), delay=delay)
        self.world.receive_announcements()

    @stateful.rule(number=_TARGETS)
    def die(self, number: int) -> None:
        target = self._target(number)
        target.alive = False
        target.replicas = {}

    @stateful.rule(number=_TARGETS)
    def restart(self, number: int) -> None:
        self._target(number).restart()

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 1.1, 3.5]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)
        self.world.receive_announcements()

    @stateful.rule()
    def renew(self) -> None:
        if self.world.now < self.world.active.lease_until:
            self.world.renew()
        else:
            self.world.fail_over()

    @stateful.rule()
    def work(self) -> None:
        """Runs steps without faults, so that loads and evictions happen."""
        if self.world.now >= self.world.active.lease_until:
            self.world.fail_over()
        self.world.run_without_faults(steps=4)

    @stateful.invariant()
    def invariants_hold(self) -> None:
        self.world.check_invariants()

    @stateful.invariant()
    def store_limits_hold(self) -> None:
        started = self.world.load_start_times
        for first, begin in enumerate(started):
            for last in range(first, len(started)):
                span = started[last] - begin
                assert last - first + 1 <= 1 + _RATE * span + 1e-6
        # The load slots of a target are released when its announcements
        # expire, so its loads exceed the limit if the target returns.
        loading = self.world.loading() - self.world.expired_loads
        assert len(loading) <= _CONCURRENT


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)


def _ready_simulation(targets: int = 1, **view: float) -> world.Simulation:
    result = world.Simulation(
        world.make_view(**view),
        [
            world.Target(
                f"t{number}", memory_bytes=7 * world.GB, checks_fencing=True
            )
            for number in range(targets)
        ],
    )
    result.fail_over()
    result.run_without_faults(1)
    return result


def _advance_with_announcements(case: world.Simulation, seconds: float) -> None:
    """Advances the clock; targets announce themselves but end no loads."""
    case.advance(seconds)
    case.renew()
    for target in case.targets.values():
        case.announce(target)
    case.receive_announcements()


def _send_load_order(case: world.Simulation) -> None:
    """Decides a load of m0 and sends its order, which is not delivered."""
    case.report_demand("m0", 1)
    _advance_with_announcements(case, 0.3)
    case.plan()
    case.send(case.active)
    assert len(case.network) == 1


def test_one_load_for_many_requests() -> None:
    """Guards against a load per report while the first is in progress."""
    case = _ready_simulation(targets=3)
    for _ in range(4):
        case.report_demand("m0", 4)
        _advance_with_announcements(case, 0.3)
        case.plan()
    assert len(case.log.decisions) == 1


def test_unknown_load_is_repeated_under_its_id() -> None:
    """Guards against a second replica after the response to a load is lost."""
    case = _ready_simulation()
    case.report_demand("m0", 1)
    case.plan()
    case.send(case.active)
    case.deliver(0, answered=False)
    case.run_without_faults(8)
    assert len(case.targets["t0"].replicas) == 1


def test_target_that_ignores_fencing_is_waited_out() -> None:
    """Guards against an order that overtakes one of the former scheduler."""
    case = world.Simulation(
        world.make_view(),
        [world.Target("t0", memory_bytes=7 * world.GB, checks_fencing=False)],
    )
    case.fail_over()
    begin = case.now
    case.announce(case.targets["t0"])
    case.receive_announcements()
    while not case.network:
        case.report_demand("m0", 1)
        case.plan()
        case.send(case.active)
        assert case.now - begin < 10
        case.advance(0.1)
        case.renew()
        case.announce(case.targets["t0"])
        case.receive_announcements()
    assert case.network[0].sent_at >= begin + world.ORDER_TIMEOUT_S


def test_surplus_replica_is_unloaded() -> None:
    """Guards against a replica without a decision that is never unloaded."""
    case = _ready_simulation()
    case.targets["t0"].replicas["old"] = world.messages.ReplicaState(
        model="m0", version="1", state="loaded", order_id="old"
    )
    case.run_without_faults(4)
    assert not case.targets["t0"].replicas


def test_models_do_not_displace_each_other_in_turn() -> None:
    """Guards against two models that evict each other on every call."""
    case = _ready_simulation(min_keep_s=8.0)
    for step in range(240):
        case.report_demand("m1", step % 2)
        case.report_demand("m3", 1 - step % 2)
        case.run_without_faults(1)
    assert 2 <= len(case.unloads) <= 240 * 0.25 / 8 + 1


def test_scale_out_stops_at_max_replicas() -> None:
    """Guards against unbounded replicas of a saturated model."""
    case = _ready_simulation(targets=3)
    for _ in range(10):
        case.report_demand("m0", 50)
        for target in case.targets.values():
            for replica in target.replicas.values():
                replica.running = 2
        case.run_without_faults(2)
    assert len(case.log.decisions) == 2


def test_ledger_keeps_memory_until_the_target_reports() -> None:
    """Guards against memory that is freed before the target confirms."""
    case = _ready_simulation()
    case.report_demand("m1", 1)
    case.run_without_faults(10)
    case.report_demand("m1", 0)
    ledger = case.active.core.planner.ledger
    replica = next(iter(ledger.replicas.values()))
    ledger.apply(
        world.dataclasses.replace(replica.change, action="unload"), case.now
    )
    assert ledger.reserved_bytes("t0") == replica.change.reserved_bytes
    copy = replica_ledger.Ledger.from_decisions(
        [replica.change], footprint_bytes=lambda *_: 0, now=case.now
    )
    assert copy.reserved_bytes("t0") == replica.change.reserved_bytes


def test_late_load_is_still_decided() -> None:
    """Guards against settling a load while its order is still in flight."""
    case = _ready_simulation()
    _send_load_order(case)
    _advance_with_announcements(case, 1.0)
    case.report_demand("m0", 0)
    case.plan()
    case.deliver(0)
    case.check_invariants()


def test_refusal_of_a_repeated_order_settles_nothing() -> None:
    """Guards against settling a load whose first transmission may arrive.

    The retry of the order is refused before the first transmission arrives.
    """
    case = _ready_simulation()
    _send_load_order(case)
    first = case.network.pop()
    case.active.core.orders.mark_unanswered(first.order.order_id, case.now)
    _advance_with_announcements(case, 0.6)
    case.send(case.active)
    case.active.core.on_refused(first.order.order_id, case.now)
    case.plan()
    case.targets["t0"].receive(first.order)
    case.check_invariants()


def test_order_that_meets_a_restarted_target_is_decided() -> None:
    """Guards against a replica without a decision after a target restart.

    The order was for the former incarnation but reaches the new one.
    """
    case = _ready_simulation()
    _send_load_order(case)
    case.targets["t0"].restart()
    _advance_with_announcements(case, 0.3)
    case.plan()
    case.deliver(0)
    case.check_invariants()
    case.run_without_faults(16)
    case.check_invariants()
    assert len(case.targets["t0"].replicas) == 1


def test_no_order_leaves_at_the_end_of_the_lease() -> None:
    """Guards against an order that is in flight after its lease has ended."""
    case = _ready_simulation()
    case.report_demand("m0", 1)
    _advance_with_announcements(case, 0.3)
    case.plan()
    case.active.lease_until = case.now + world.ORDER_TIMEOUT_S - 0.1
    case.send(case.active)
    assert not case.network


def test_load_rate_holds_across_failover() -> None:
    """Guards against a new scheduler that starts with a full load bucket."""
    case = _ready_simulation(2, loads_per_s=0.1)
    _advance_with_announcements(case, 20.0)
    case.report_demand("m0", 1)
    case.plan()
    case.fail_over()
    _advance_with_announcements(case, 0.1)
    case.report_demand("m1", 1)
    case.plan()
    assert len(case.load_start_times) == 1


def test_concurrent_loads_hold_across_failover() -> None:
    """Guards against a new scheduler that does not count loads in progress."""
    case = _ready_simulation(2, loads_per_s=100.0, concurrent_loads=1)
    _send_load_order(case)
    case.deliver(0)
    for _ in range(2):
        case.report_demand("m1", 1)
        _advance_with_announcements(case, 0.3)
        case.plan()
        assert len(case.load_start_times) == 1
        _advance_with_announcements(case, 2.0)
        case.fail_over()
    case.run_without_faults(4)
    assert len(case.load_start_times) == 2


def test_adapters_stay_within_their_memory() -> None:
    """Guards against adapters that exceed the adapter memory of a replica."""
    case = _ready_simulation()
    for _ in range(8):
        for adapter in ("a0", "a1", "a2"):
            case.report_demand("m0", 1, adapter)
        case.run_without_faults(1)
        case.check_invariants()
    replica = next(iter(case.targets["t0"].replicas.values()))
    assert len(replica.adapters) == 2


def test_adapter_loads_in_flight_hold_across_failover() -> None:
    """Guards against more adapter loads than the store serves at a time."""
    case = _ready_simulation(concurrent_adapter_loads=1)
    case.report_demand("m0", 1)
    case.run_without_faults(8)
    for _ in range(2):
        case.report_demand("m0", 1, "a0")
        case.report_demand("m0", 1, "a1")
        _advance_with_announcements(case, 0.3)
        case.plan()
        loads = [
            change
            for change in case.log.decisions.values()
            if change.action == "load_adapter"
        ]
        assert len(loads) == 1
        case.fail_over()
