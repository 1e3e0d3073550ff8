"""Tests of the command that shows why a model is loaded or not."""

import asyncio
import json
from typing import Any

import pytest

from monsoonhinge.cli import __main__ as cli
from monsoonhinge.cli import operations
from monsoonhinge.cli import outcome
from monsoonhinge.cli import why
from monsoonhinge.fleet import controller
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.protocol import fleet as fleet_messages
from tests.fleet import world


def _dump_placement(
    *fleet: engines.Engine, waiting: int = 0, fencing: int = 7
) -> dict[str, Any]:
    tracker = demand.DemandTracker()
    need = fleet_messages.ModelNeed(
        service=world.SERVICE, model="m9", waiting=waiting, arrived=waiting
    )
    tracker.update(fleet_messages.FleetDemand(gateway="g", needs=[need]), 0.0)
    placement_controller = object.__new__(controller.PlacementController)
    placement_controller.fencing = fencing
    placement_controller.demand_tracker = tracker
    placement_controller.engines = {engine.target: engine for engine in fleet}
    document: dict[str, Any] = json.loads(
        json.dumps(placement_controller.dump(1.0))
    )
    return document


def test_every_reason_has_its_own_verdict() -> None:
    """Guards against the same verdict for different reasons."""
    idle = world.engine("t1", models=("m1",))
    loaded = world.engine("t2", models=("m9",), running={"m9": 2})
    cached = world.engine("t3", models=("m1",), on_disk=("m9",))
    busy = world.engine("t4", models=("m1",), on_disk=("m9",))
    busy.swapping = True
    retiring = world.engine("t5", models=("m9",))
    retiring.retire("m9", 0.5)

    def verdict(*fleet: engines.Engine, waiting: int = 1) -> str:
        text = why.describe_model(
            "m9", _dump_placement(*fleet, waiting=waiting)
        )
        return str(text["verdict"])

    assert verdict(idle, loaded) == "loaded on 1 of 2 engines"
    assert verdict(idle, retiring) == "retiring on 1 of 2 engines"
    assert verdict(idle, waiting=0).endswith("no request waits for it")
    assert verdict(busy).endswith("no engine is free")
    assert verdict(idle).endswith("only the weight store has it")
    assert verdict(idle, cached).endswith("a load is due")
    assert verdict().endswith("no engine is known")


def test_fleet_lease_holder_is_found(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a verdict from a member that has lost the fleet lease."""
    engine = world.engine("t1", models=("m9",))
    states: dict[str, Any] = {
        "a:1": {"placement": {}},
        "b:1": {"placement": _dump_placement(engine, fencing=7)},
        "c:1": {"placement": _dump_placement(engine, fencing=9)},
    }

    async def fetch_state(address: str) -> Any:
        await asyncio.sleep(0)
        if address not in states:
            raise outcome.CommandError(1, [f"{address}: no answer"])
        return states[address]

    monkeypatch.setattr(operations, "fetch_state", fetch_state)
    assert cli.run(["why", "m9", "a:1", "b:1", "c:1", "d:1"]) == 0
    output_text = capsys.readouterr().out
    assert "m9: loaded on 1 of 1 engines" in output_text
    assert "placed by c:1 under 9" in output_text
    assert cli.run(["why", "m9", "a:1", "d:1"]) == 1
    output_text = capsys.readouterr().err
    assert "a:1: does not place models" in output_text
    assert "d:1: no answer" in output_text
    assert cli.run(["why", "m9"]) == 2
