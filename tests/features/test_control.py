"""Steps of the scenarios of control VMs."""

import copy
import signal
import time
from typing import Any

import pytest_bdd

from tests.features import deployment
from tests.features import steady

pytest_bdd.scenarios("control.feature")

parse = pytest_bdd.parsers.parse

LAST = f"control-{deployment.CONTROLS - 1}"


def _version(system: deployment.Deployment) -> int:
    return int(system.operator.read_section("config")["version"])


def _leader(system: deployment.Deployment) -> str:
    found: list[str] = []

    def search() -> bool:
        found[:] = [
            node.name
            for node in system.cluster.nodes_of("control")
            if node.is_running
            and system.cluster.dump(node.name).get("role") == "leader"
        ]
        return len(found) == 1

    deployment.eventually(
        search, within=deployment.SLACK_S, description="one leading control VM"
    )
    return found[0]


@pytest_bdd.when("the last control VM is cut off silently")
def cut_off(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    seen["cut_at"] = time.monotonic()
    seen["load"] = steady.Load(system, model="notes")
    system.cluster.set_link_mode(LAST, "cut")


@pytest_bdd.when("the operator publishes a change")
@pytest_bdd.then("the operator can publish a change")
def publish(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    documents = copy.deepcopy(deployment.objects())
    version = max(
        system.cluster.dump(node.name)["version"]
        for node in system.cluster.nodes_of("gateway")
    )
    for item in documents:
        if item["name"] == "drivers":
            item["tokens_per_s"] = 20_000 + version
    result = system.operator.publish(version + 1, documents)
    assert result.code == "accepted", result
    seen["version"] = version + 1
    seen["published_at"] = time.monotonic()


@pytest_bdd.then(
    parse("the change is in effect at every gateway within {limit:d} s")
)
def in_effect(
    system: deployment.Deployment, seen: dict[str, Any], limit: int
) -> None:
    waited = deployment.seconds_since(seen["published_at"])
    system.wait_version(seen["version"], timeout=limit - waited)


@pytest_bdd.then(
    parse(
        "no request was refused or lost while the VM was cut off for {span:d} s"
    )
)
def none_lost(
    system: deployment.Deployment, seen: dict[str, Any], span: int
) -> None:
    seen["load"].finish(at=seen["cut_at"] + span)
    seen["load"].check()
    # Shows that the links were cut: the change has not reached the member.
    assert system.cluster.dump(LAST)["version"] < seen["version"]


@pytest_bdd.when("the control VM is reachable again")
def reachable(system: deployment.Deployment) -> None:
    system.cluster.set_link_mode(LAST, "pass")


@pytest_bdd.then(parse("it knows the change within {limit:d} s"))
def knows(
    system: deployment.Deployment, seen: dict[str, Any], limit: int
) -> None:
    deployment.eventually(
        lambda: system.cluster.dump(LAST)["version"] >= seen["version"],
        within=limit,
        description="the member that was cut off has caught up",
    )


@pytest_bdd.then("no gateway has gone back to an older version")
def not_back(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    for node in system.cluster.nodes_of("gateway"):
        assert system.cluster.dump(node.name)["version"] >= seen["version"]


@pytest_bdd.when("the leading control VM loses power")
def leader_dies(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    leader = _leader(system)
    seen["load"] = steady.Load(system, model="notes")
    system.cluster.kill(leader)
    assert _leader(system) != leader


@pytest_bdd.then("no request was refused or lost meanwhile")
def none_lost_meanwhile(seen: dict[str, Any]) -> None:
    seen["load"].finish(at=time.monotonic() + 1.0)
    seen["load"].check()


@pytest_bdd.when(parse("control VM {number:d} loses power"))
def power_lost(system: deployment.Deployment, number: int) -> None:
    system.cluster.kill(f"control-{number}")


@pytest_bdd.when(parse("control VM {number:d} is repaired"))
def repaired(system: deployment.Deployment, number: int) -> None:
    system.cluster.start(f"control-{number}")


@pytest_bdd.when(
    parse("control VM {lost:d} loses power as soon as VM {back:d} is back")
)
def second_lost(
    system: deployment.Deployment, seen: dict[str, Any], lost: int, back: int
) -> None:
    deployment.eventually(
        lambda: (
            system.cluster.dump(f"control-{back}")["version"] >= seen["version"]
        ),
        within=deployment.IN_EFFECT_S,
        description="the repaired member has caught up",
    )
    system.cluster.send_signal(f"control-{lost}", signal.SIGKILL)


@pytest_bdd.then("every key still works")
def keys_work(system: deployment.Deployment) -> None:
    for team in ("bars", "drivers"):
        assert system.answer("notes", team=team).status == 200
