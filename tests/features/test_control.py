"""Steps of the scenarios in which control VMs fail."""

import copy
import signal
import time
from typing import Any

import pytest_bdd

from tests.features import deployment
from tests.features import steady

pytest_bdd.scenarios("control.feature")

parse = pytest_bdd.parsers.parse

LAST_MEMBER = f"control-{deployment.CONTROL_COUNT - 1}"


def _find_leader(system: deployment.Deployment) -> str:
    leaders: list[str] = []

    def has_one_leader() -> bool:
        leaders[:] = [
            node.name
            for node in system.cluster.nodes_of("control")
            if node.is_running
            and system.cluster.dump(node.name).get("role") == "leader"
        ]
        return len(leaders) == 1

    deployment.eventually(
        has_one_leader,
        within=deployment.SLACK_S,
        description="one control member leads",
    )
    return leaders[0]


@pytest_bdd.when("all links of the last control VM silently drop data")
def cut_links(system: deployment.Deployment, context: dict[str, Any]) -> None:
    context["cut_at"] = time.monotonic()
    context["load"] = steady.BackgroundLoad(system, model="notes")
    system.cluster.set_link_mode(LAST_MEMBER, "cut")


@pytest_bdd.when("the operator publishes a change")
@pytest_bdd.then("the operator can publish a change")
def publish(system: deployment.Deployment, context: dict[str, Any]) -> None:
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
    context["version"] = version + 1
    context["published_at"] = time.monotonic()


@pytest_bdd.then(
    parse("the change is in effect at every gateway within {limit:d} s")
)
def in_effect(
    system: deployment.Deployment, context: dict[str, Any], limit: int
) -> None:
    waited = deployment.seconds_since(context["published_at"])
    system.wait_for_version(context["version"], timeout=limit - waited)


@pytest_bdd.then(
    parse(
        "no request was refused or lost while the VM was unreachable "
        "for {duration:d} s"
    )
)
def all_answered_while_cut_off(
    system: deployment.Deployment, context: dict[str, Any], duration: int
) -> None:
    context["load"].finish(at=context["cut_at"] + duration)
    context["load"].check()
    # The change has not reached the member, so its links were really cut.
    assert system.cluster.dump(LAST_MEMBER)["version"] < context["version"]


@pytest_bdd.when("the control VM is reachable again")
def restore_links(system: deployment.Deployment) -> None:
    system.cluster.set_link_mode(LAST_MEMBER, "pass")


@pytest_bdd.then(parse("it receives the change within {limit:d} s"))
def member_has_change(
    system: deployment.Deployment, context: dict[str, Any], limit: int
) -> None:
    deployment.eventually(
        lambda: (
            system.cluster.dump(LAST_MEMBER)["version"] >= context["version"]
        ),
        within=limit,
        description="the member that was cut off has caught up",
    )


@pytest_bdd.then("no gateway has gone back to an older version")
def no_older_version(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    for node in system.cluster.nodes_of("gateway"):
        assert system.cluster.dump(node.name)["version"] >= context["version"]


@pytest_bdd.when("the control leader loses power")
def kill_leader(system: deployment.Deployment, context: dict[str, Any]) -> None:
    leader = _find_leader(system)
    context["load"] = steady.BackgroundLoad(system, model="notes")
    system.cluster.kill(leader)
    assert _find_leader(system) != leader


@pytest_bdd.then("no request was refused or lost during the failover")
def all_answered_during_failover(context: dict[str, Any]) -> None:
    context["load"].finish(at=time.monotonic() + 1.0)
    context["load"].check()


@pytest_bdd.when(parse("control VM {number:d} loses power"))
def kill_member(system: deployment.Deployment, number: int) -> None:
    system.cluster.kill(f"control-{number}")


@pytest_bdd.when(parse("control VM {number:d} is restarted"))
def restart_member(system: deployment.Deployment, number: int) -> None:
    system.cluster.start(f"control-{number}")


@pytest_bdd.when(
    parse(
        "control VM {lost:d} loses power as soon as VM {restarted:d} "
        "has caught up"
    )
)
def kill_second_member(
    system: deployment.Deployment,
    context: dict[str, Any],
    lost: int,
    restarted: int,
) -> None:
    deployment.eventually(
        lambda: (
            system.cluster.dump(f"control-{restarted}")["version"]
            >= context["version"]
        ),
        within=deployment.CONFIG_IN_EFFECT_S,
        description="the restarted member has caught up",
    )
    system.cluster.send_signal(f"control-{lost}", signal.SIGKILL)


@pytest_bdd.then("existing caller keys are still accepted")
def keys_are_accepted(system: deployment.Deployment) -> None:
    for team in ("bars", "drivers"):
        assert system.send_request("notes", team=team).status == 200
