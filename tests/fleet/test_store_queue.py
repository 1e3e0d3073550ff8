"""Tests of the estimates for models that wait for the weight store."""

from monsoonhinge.fleet import delay_feed
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import store_queue
from monsoonhinge.fleet import weightstore
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
