"""Tests of the estimates for models that wait for the weight store."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from monsoonhinge.config import ingress
from monsoonhinge.fleet import delay_feed
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import store_queue
from monsoonhinge.fleet import weightstore
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import fleet
from tests.fleet import world


def _queue(count: int) -> list[store_queue.QueuedLoad]:
    return [
        store_queue.QueuedLoad(f"m{number}", 8.0) for number in range(count)
    ]


def test_estimate_counts_the_loads_that_go_before() -> None:
    """Guards against a Retry-After that knows nothing of the queue.

    The order may change, so that two loads may still be overtaken.
    """
    ready = store_queue.ready_in_s(
        _queue(6), active_s=[3.0, 5.0], concurrency=2
    )
    assert ready == {
        "m0": 11.0,
        "m1": 11.0,
        "m2": 11.0,
        "m3": 13.0,
        "m4": 19.0,
        "m5": 21.0,
    }


def test_idle_store_delays_a_model_by_its_load_only() -> None:
    """Guards against refusing what a load can still serve."""
    ready = store_queue.ready_in_s(_queue(1), active_s=[], concurrency=2)
    assert ready == {"m0": 8.0}


def test_loads_beyond_the_limit_do_not_count() -> None:
    """Guards against an estimate that no load in progress justifies."""
    ready = store_queue.ready_in_s(
        _queue(1), active_s=[7.0, 1.0, 9.0], concurrency=2
    )
    assert ready == {"m0": 9.0}


def _planned_queue(fleet_engines: list[engines.Engine]) -> set[str]:
    plan = placement.plan(
        service=world.SERVICE,
        fleet=fleet_engines,
        needs={
            world.key(name): demand.Need(
                rate=0.07, waiting=1, latest_queue_deadline=9.0
            )
            for name in ("m8", "m9")
        },
        store=placement_plan.StoreState(
            active_loads=2, available_starts=170, max_concurrency=2
        ),
        now=0.0,
    )
    return {load.model for load in plan.queued_loads}


def test_model_whose_copy_may_come_back_is_not_queued() -> None:
    """Guards against a false Retry-After while an engine is out of reach."""
    lost = world.engine("t1", on_disk=("m8",))
    lost.unreachable = True
    assert _planned_queue([lost, world.engine("t2")]) == {"m9"}


def test_model_that_is_loaded_by_this_plan_is_not_queued() -> None:
    """Guards against refusals while the load of the model begins."""
    holder = world.engine("t1", models=("m8",))
    assert _planned_queue([holder, world.engine("t2")]) == {"m9"}


def test_delays_are_sent_twice_a_second_and_then_withdrawn() -> None:
    """Guards against a message to all gateways in each planning step."""
    sent: list[fleet.ModelDelays] = []
    feed = delay_feed.DelayFeed(fencing=7, publish=sent.append)
    store = weightstore.StoreLimiter(window_s=5.0)
    feed.publish(0.0)
    assert not sent
    for step in range(20):
        now = step / 10
        feed.record("s", _queue(3), store=store, now=now)
        feed.publish(now)
    assert len(sent) == 4
    assert sent[0].fencing == 7
    assert [delay.model for delay in sent[0].delays] == ["m0", "m1", "m2"]
    assert sent[0].delays[2].ready_in_ms == 8000
    feed.record("s", [], store=store, now=2.0)
    for step in range(20, 40):
        feed.publish(step / 10)
    assert [len(message.delays) for message in sent] == [3, 3, 3, 3, 0]


def _no_models() -> ingress.IngressEngine:
    return world.LIMITS.model_copy(update={"models": []})


def _waiting(now: float) -> demand.Need:
    return demand.Need(
        rate=0.07,
        waiting=3,
        earliest_latency_deadline=now + 1.0,
        latest_queue_deadline=now + 9.0,
    )


_FLEETS = {
    "no engine": [],
    "other models": [world.engine("t1"), world.engine("t2")],
    "no models": [world.empty_engine("t1", _no_models(), 0.0)],
}


@pytest.mark.parametrize("name", _FLEETS)
def test_model_that_no_engine_can_load_has_no_delay(name: str) -> None:
    """Guards against a delay that is not a number of milliseconds.

    Such a delay ended the planning of all services.
    """
    published: list[fleet.ModelDelays] = []
    feed = delay_feed.DelayFeed(fencing=1, publish=published.append)
    plan = placement.plan(
        service=world.SERVICE,
        fleet=_FLEETS[name],
        needs={world.key("moved"): _waiting(1.0)},
        store=placement_plan.StoreState(
            active_loads=0, available_starts=4, max_concurrency=2
        ),
        now=1.0,
    )
    feed.record(
        world.SERVICE,
        plan.queued_loads,
        store=weightstore.StoreLimiter(window_s=5.0),
        now=1.0,
    )
    feed.publish(1.0)
    assert not published
    assert plan.obstacles == {"moved": placement_plan.Obstacle.NO_ENGINE}


def test_model_that_no_engine_can_load_holds_up_others() -> None:
    """Guards against loads that wait for one that can never start."""
    engine = world.engine("t1")
    other = world.engine("t2", on_disk=("m1",))
    other.swapping = True
    plan = placement.plan(
        service=world.SERVICE,
        fleet=[engine, other],
        needs={
            world.key("moved"): demand.Need(
                rate=50.0, waiting=99, latest_queue_deadline=9.0
            ),
            world.key("m1"): _waiting(1.0),
        },
        store=placement_plan.StoreState(
            active_loads=0, available_starts=4, max_concurrency=2
        ),
        now=1.0,
    )
    assert [swap.model for swap in plan.swaps] == ["m1"]


_MODELS = st.sampled_from([f"m{number}" for number in range(4)] + ["moved"])
_ENGINES = st.lists(
    st.tuples(
        st.lists(_MODELS, max_size=3, unique=True),  # in memory
        st.lists(_MODELS, max_size=3, unique=True),  # on disk
        st.booleans(),  # known
        st.booleans(),  # configured with models
    ),
    max_size=4,
)
_NEEDS = st.dictionaries(
    _MODELS,
    st.tuples(
        st.integers(0, 5),  # waiting
        st.floats(0.0, 100.0),  # rate
        st.floats(-10.0, 30.0),  # latency left
        st.floats(-10.0, 30.0),  # queue time left
        st.floats(0.0, 50.0),  # unserved
    ),
    max_size=5,
)


@given(_ENGINES, _NEEDS, st.integers(0, 3))
@settings(max_examples=400)
def test_published_delay_beyond_its_field(
    fleet_state: list[tuple[list[str], list[str], bool, bool]],
    demand_state: dict[str, tuple[int, float, float, float, float]],
    active_loads: int,
) -> None:
    """Guards against values that no message can carry, for any fleet."""
    now = 100.0
    published: list[fleet.ModelDelays] = []
    feed = delay_feed.DelayFeed(fencing=1, publish=published.append)
    fleet_engines = []
    for number, (memory, disk, known, configured) in enumerate(fleet_state):
        engine = world.engine(
            f"t{number}", models=tuple(memory), on_disk=tuple(disk)
        )
        if not known:
            engine.order_count = None
        if not configured:
            engine.configure(_no_models())
        fleet_engines.append(engine)
    needs = {
        world.key(name): demand.Need(
            waiting=waiting,
            rate=rate,
            earliest_latency_deadline=now + latency,
            latest_queue_deadline=now + patience,
            unserved=unserved,
        )
        for name, (
            waiting,
            rate,
            latency,
            patience,
            unserved,
        ) in demand_state.items()
    }
    plan = placement.plan(
        service=world.SERVICE,
        fleet=fleet_engines,
        needs=needs,
        store=placement_plan.StoreState(
            active_loads=active_loads, available_starts=4, max_concurrency=2
        ),
        now=now,
    )
    limiter = weightstore.StoreLimiter(window_s=5.0)
    feed.record(world.SERVICE, plan.queued_loads, store=limiter, now=now)
    feed.publish(now)
    for message in published:
        envelope = codec.Envelope(id=0, reply=False, body=message)
        assert codec.decode(codec.encode(envelope)).body == message
        assert all(0 < item.ready_in_ms < 10**6 for item in message.delays)
