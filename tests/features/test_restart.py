"""Steps of the restart scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment
from tests.features import steady

pytest_bdd.scenarios("restart.feature")


@pytest_bdd.when("callers keep sending requests")
def load(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    seen["load"] = steady.Load(system, model="deposits")


@pytest_bdd.when("each process is restarted in turn")
def restart(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    seen["codes"] = {}
    turns = [
        [node.name]
        for package in ("gateway", "scheduler", "control")
        for node in system.cluster.nodes_of(package)
    ]
    turns += zip(deployment.ENGINES, deployment.SERVICES, strict=True)
    for names in turns:
        stopped = system.cluster.terminate_all(names=names, timeout=60)
        seen["codes"].update(stopped)
        system.cluster.start(*names)
        system.cluster.wait_ready(*names, timeout=30)
        system.wait_targets()


@pytest_bdd.then("every process has stopped cleanly")
def clean(seen: dict[str, Any]) -> None:
    assert set(seen["codes"].values()) == {0}, seen["codes"]


@pytest_bdd.then("every request was answered whole")
def whole(seen: dict[str, Any]) -> None:
    seen["load"].finish()
    seen["load"].check()
