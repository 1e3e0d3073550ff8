"""Tests of the weight store, the keep-alive policy and readiness."""

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonhinge.config import schema
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import demand
from monsoonhinge.scheduler import directory
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import weightstore
from tests.scheduler import scheduler_world as world

_LIMITS = schema.Store(name="s", loads_per_s=4, concurrent_loads=2)


def _load_request(team: str, deadline: float) -> weightstore.LoadRequest:
    return weightstore.LoadRequest(f"{team}{deadline}", "", team, deadline, 1.0)


def _learned_plan(gaps_s: list[float], **policy: float) -> keepalive.Plan:
    keep_alive = keepalive.HistogramKeepAlive(schema.Policy(name="p", **policy))
    now = 0.0
    for gap_s in gaps_s * 10:
        keep_alive.update({"m"}, now)
        keep_alive.update(set(), now)
        now += gap_s
    return keep_alive.plan("m", load_s=2.0, memory_pressure=0.0)


def test_burst_of_one_team_does_not_push_others_out() -> None:
    """Guards against a team whose early deadlines take every slot."""
    store = weightstore.WeightStore(_LIMITS, now=0.0)
    burst = [_load_request("big", deadline) for deadline in range(20)]
    teams = [
        item.team
        for item in store.prioritize([*burst, _load_request("low", 99)])
    ]
    assert teams.index("low") <= 4


def test_earliest_deadline_goes_first_within_the_share() -> None:
    """Guards against loads that start in order of arrival."""
    store = weightstore.WeightStore(_LIMITS, now=0.0)
    items = [
        _load_request("a", 9),
        _load_request("b", 3),
        _load_request("a", 1),
    ]
    assert [i.deadline for i in store.prioritize(items)] == [1, 3, 9]


@hypothesis.given(st.lists(st.floats(0, 2), max_size=30))
def test_store_rate_holds(waits: list[float]) -> None:
    """Guards against load starts beyond the rate limit."""
    store = weightstore.WeightStore(_LIMITS, now=0.0)
    now = 0.0
    started = []
    for wait in waits:
        now += wait
        while store.may_load(now):
            store.record_start(
                f"{len(started)}", nominal_s=1, tier="remote", now=now
            )
            started.append(now)
            assert len(store.active_loads) <= 2
        for load_id in list(store.active_loads)[:1]:
            store.record_finish(load_id, loaded=True, now=now)
    assert len(started) <= 1 + 4 * now


def test_stalled_store_is_noticed_before_a_load_ends() -> None:
    """Guards against estimates that ignore loads that are overdue."""
    store = weightstore.WeightStore(_LIMITS, now=0.0)
    store.record_start("a", nominal_s=1.0, tier="remote", now=0.0)
    assert store.load_s(2.0, "remote", 10.0) == pytest.approx(20.0)
    store.record_finish("a", loaded=True, now=10.0)
    assert store.load_s(2.0, "remote", 10.0) > 4.0


def test_single_hanging_load_does_not_stop_others() -> None:
    """Guards against estimates that one hanging load raises for all models."""
    store = weightstore.WeightStore(_LIMITS, now=0.0)
    store.record_start("hangs", nominal_s=1.0, tier="remote", now=0.0)
    store.record_start("new", nominal_s=1.0, tier="remote", now=59.5)
    assert store.load_s(2.0, "remote", 60.0) == pytest.approx(2.0)


def test_idle_weight_shortens_the_stay() -> None:
    """Guards against a keep-alive policy that ignores the cost weights."""
    cheap = _learned_plan([3, 40], cold_start_weight=100, idle_weight=1)
    expensive = _learned_plan([3, 40], cold_start_weight=1, idle_weight=100)
    assert cheap.keep_s >= 40 > expensive.keep_s


def test_predictable_gaps_are_warmed_ahead() -> None:
    """Guards against repeated cold starts at predictable call times."""
    plan = _learned_plan([600, 600], cold_start_weight=200, idle_weight=1)
    assert plan.keep_s < 60
    assert 480 < plan.prewarm_at_s < 600 < plan.prewarm_until_s


def test_silent_gateway_is_forgotten() -> None:
    """Guards against loads for the requests of a lost gateway."""
    demand_tracker = demand.DemandTracker()
    item = messages.DemandItem(model="m", team="a", waiting=2)
    demand_tracker.update(messages.Demand(gateway="g", items=[item]), 0.0)
    demand_tracker.expire(2.9)
    assert demand_tracker.needs()["m", ""].waiting == 2
    demand_tracker.expire(3.1)
    assert not demand_tracker.needs()


def test_verdicts_tell_ready_time_and_impossible_loads() -> None:
    """Guards against requests that wait for a load that is impossible."""
    case = world.Simulation(
        world.make_view(),
        [world.Target("t0", memory_bytes=4 * world.GB, checks_fencing=True)],
    )
    case.fail_over()
    case.announce(case.targets["t0"])
    case.receive_announcements()
    for name in ("m0", "m2", "none"):
        case.report_demand(name, 1)
    case.plan()
    found = readiness.verdict_message(
        case.active.core.estimates,
        case.demand_tracker.waiting_at("g"),
        case.now,
    )
    by_model = {item.model: item for item in found.items}
    assert by_model["m2"].refused and by_model["none"].refused
    assert not by_model["m0"].refused
    assert 900 <= by_model["m0"].ready_in_ms <= 1500


def test_no_known_target_refuses_nothing() -> None:
    """Guards against refusals before the targets have announced themselves."""
    case = world.Simulation(world.make_view(), [])
    case.fail_over()
    case.report_demand("m0", 1)
    case.plan()
    found = readiness.verdict_message(
        case.active.core.estimates,
        case.demand_tracker.waiting_at("g"),
        case.now,
    )
    assert not any(item.refused for item in found.items)


def test_stale_announcement_changes_nothing() -> None:
    """Guards against a late announcement that replaces a newer one."""
    known = directory.Directory()
    new = messages.TargetState(target="t", incarnation=2, sequence=1)
    old = messages.TargetState(target="t", incarnation=1, sequence=9)
    assert known.update(new, 0.0)
    assert not known.update(old, 0.1)
    assert known.entries["t"].state is new
