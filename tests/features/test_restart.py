"""Steps of the restart scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment
from tests.features import steady

pytest_bdd.scenarios("restart.feature")


@pytest_bdd.when("callers send requests continuously")
def start_load(system: deployment.Deployment, context: dict[str, Any]) -> None:
    context["load"] = steady.BackgroundLoad(system, model="deposits")


@pytest_bdd.when("each process is restarted, one after another")
def restart_processes(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    context["exit_codes"] = {}
    groups = [
        [node.name]
        for package in ("gateway", "scheduler", "control")
        for node in system.cluster.nodes_of(package)
    ]
    groups += zip(deployment.ENGINES, deployment.SERVICES, strict=True)
    for names in groups:
        codes = system.cluster.terminate_all(names=names, timeout=60)
        context["exit_codes"].update(codes)
        system.cluster.start(*names)
        system.cluster.wait_ready(*names, timeout=30)
        system.wait_for_targets()


@pytest_bdd.then("every process has stopped cleanly")
def exited_cleanly(context: dict[str, Any]) -> None:
    assert set(context["exit_codes"].values()) == {0}, context["exit_codes"]


@pytest_bdd.then("every request got a complete response")
def all_requests_completed(context: dict[str, Any]) -> None:
    context["load"].finish()
    context["load"].check()
