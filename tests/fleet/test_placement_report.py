"""Tests of the reports on planning steps."""

import typing
from unittest import mock

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import metrics
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import placement_report
from monsoonhinge.runtime import events
from tests.fleet import world


def _record(
    reporter: placement_report.PlacementReporter, *, now: float
) -> None:
    free = world.engine("t1")
    reading = world.engine("t2")
    reading.swapping = True
    unknown = world.engine("t3")
    unknown.order_count = None
    reporter.record(
        service=world.SERVICE,
        fleet=[free, reading, unknown],
        plan=placement_plan.Plan(
            busy_replicas=5,
            desired_replicas=4,
            obstacles={"m1": placement_plan.Obstacle.NO_EVICTION},
        ),
        needs={world.key("m1"): demand.Need(waiting=3)},
        store_loads={("t2", "m2")},
        step_s=0.004,
        now=now,
    )


def test_summary_tells_why_models_are_not_loaded() -> None:
    """Guards against waiting models whose obstacle no log line shows."""
    with mock.patch.object(events, "emit") as emit:
        _record(placement_report.PlacementReporter(), now=1.0)
    ((event,), fields) = typing.cast(
        tuple[tuple[str], dict[str, object]], emit.call_args_list[0]
    )
    assert event == events.PLACEMENT_SUMMARY
    assert fields == {
        "service": world.SERVICE,
        "engines": {"free": 1, "store_load": 1, "unknown": 1},
        "obstacles": {"no_evictable_model": 1},
        "held_up_requests": 3,
        "store_loads": 1,
        "inherited_orders": 0,
        "unserved_models": 1,
        "models_without_copy": 20,
        "busy_replicas": 5,
        "desired_replicas": 4,
        "longest_step_s": 0.004,
    }
    waiting = metrics.WAITING_MODELS.labels("no_evictable_model")
    assert next(iter(waiting.collect())).samples[0].value == 1


def test_summaries_are_limited_to_one_per_second() -> None:
    """Guards against a line for each of many planning steps per second."""
    reporter = placement_report.PlacementReporter()
    with mock.patch.object(events, "emit") as emit:
        for step in range(25):
            _record(reporter, now=step / 10)
    assert _emitted(emit, events.PLACEMENT_SUMMARY) == 3


def _emitted(emit: mock.Mock, event: str) -> int:
    return sum(call.args == (event,) for call in emit.call_args_list)


def test_store_loads_of_the_previous_lease_holder_are_shown() -> None:
    """Guards against a store that seems idle while loads occupy it."""
    engine = world.engine("t1")
    engine.order_count = None
    engine.busy_while_unknown = True
    with mock.patch.object(events, "emit") as emit:
        placement_report.PlacementReporter().record(
            service=world.SERVICE,
            fleet=[engine],
            plan=placement_plan.Plan(),
            needs={},
            store_loads=(),
            step_s=0.001,
            now=1.0,
        )
    assert emit.call_args.kwargs["inherited_orders"] == 1
    (sample,) = next(iter(metrics.STORE_LOADS.collect())).samples
    assert sample.value == 1
