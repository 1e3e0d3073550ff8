"""Tests of the lines about models that no engine serves."""

from unittest import mock

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import store_queue
from monsoonhinge.fleet import unserved_models
from monsoonhinge.runtime import events
from tests.fleet import world


class _Reports:
    """A reporter whose lines are collected."""

    def __init__(self) -> None:
        self.unserved = unserved_models.UnservedModels(service=world.SERVICE)
        self.plan = placement_plan.Plan()
        self.fleet = [world.engine("t1", on_disk=("m1",)), world.engine("t2")]

    def step(
        self, needs: dict[str, demand.Need], now: float
    ) -> list[dict[str, object]]:
        by_key = {world.key(name): need for name, need in needs.items()}
        with mock.patch.object(events, "emit") as emit:
            self.unserved.update(fleet=self.fleet, needs=by_key, now=now)
            self.unserved.report(
                fleet=self.fleet, plan=self.plan, needs=by_key, now=now
            )
        return [call.kwargs for call in emit.call_args_list]


def test_line_tells_why_and_since_when_a_model_is_not_served() -> None:
    """Guards against a model whose requests are refused without a trace."""
    reports = _Reports()
    reports.step({"m1": demand.Need(waiting=1, arrived=1)}, 1.0)
    reports.step({"m1": demand.Need(arrived=1)}, 4.0)
    reports.plan.obstacles["m1"] = placement_plan.Obstacle.STORE
    reports.fleet[0].unreachable = True
    need = demand.Need(waiting=2, arrived=5, rate=0.25, unserved=3.0)
    (line,) = reports.step({"m1": need}, 9.0)
    assert line == {
        "service": world.SERVICE,
        "model": "m1",
        "obstacle": "store_limit",
        "unserved_s": 8.0,
        "arrived": 5,
        "waiting": 2,
        "rate": 0.25,
        "unserved": 3.0,
        "served": 0.0,
        "store_queue": None,
        "copies": 1,
        "usable_copies": 0,
    }


def test_served_model_is_not_reported() -> None:
    """Guards against lines that blame models whose requests run."""
    reports = _Reports()
    reports.step({"m1": demand.Need(waiting=1, arrived=1)}, 1.0)
    reports.fleet[0].update_usage({("m1", ""): 1}, 2.0)
    assert not reports.step({"m1": demand.Need(arrived=1)}, 9.0)
    assert not len(reports.unserved)


def test_lines_are_limited_and_start_with_the_most_asked_for() -> None:
    """Guards against a log volume that grows with the models that wait."""
    reports = _Reports()
    needs = {
        f"m{number}": demand.Need(waiting=1, arrived=1 + number)
        for number in range(20)
    }
    reports.step(needs, 1.0)
    assert len(reports.unserved) == 20
    for need in needs.values():
        need.arrived += 3
    # The first ten have had a line.
    needs["m13"].arrived += 10
    lines = reports.step(needs, 7.0)
    assert len(lines) == 10
    assert lines[0]["model"] == "m13"


def test_model_whose_requests_are_refused_at_once_is_reported() -> None:
    """Guards against models without a line, since none of their requests wait.

    24 of 52 models that were never served on a day had no line.
    """
    reports = _Reports()
    reports.plan.queued_loads = [
        store_queue.QueuedLoad(name, 6.0) for name in ("m7", "m9")
    ]
    needs = {"m9": demand.Need(arrived=1, unserved=1.0)}
    (line,) = reports.step(needs, 1.0)
    assert (line["model"], line["store_queue"]) == ("m9", 2)
    assert (line["arrived"], line["waiting"]) == (1, 0)
    # The count of unserved requests falls with time.
    needs["m9"].unserved = 0.9
    assert not reports.step(needs, 2.0)


def test_each_unserved_model_gets_its_line() -> None:
    """Guards against models that others, asked for more often, keep out."""
    reports = _Reports()
    needs = {
        f"m{number}": demand.Need(waiting=1, arrived=1 + number)
        for number in range(20)
    }
    models = {
        line["model"]
        for second in range(4)
        for line in reports.step(needs, 6.0 * second)
    }
    assert models == set(needs)
