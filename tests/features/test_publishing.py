"""Steps of the publishing scenarios."""

import copy
from typing import Any

import pytest_bdd

from monsoonhinge.bench import operator_client
from tests.features import deployment

pytest_bdd.scenarios("publishing.feature")


def _changed(rate: int) -> list[dict[str, Any]]:
    documents = copy.deepcopy(deployment.objects())
    for item in documents:
        if item["name"] == "drivers":
            item["tokens_per_s"] = rate
    return documents


def _next_version(system: deployment.Deployment) -> int:
    return int(system.cluster.dump("gateway-0")["version"]) + 1


@pytest_bdd.when("two operators publish changes under the next version")
def race(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    version = _next_version(system)
    racing = {
        name: system.in_background(
            operator_client.OperatorClient.for_cluster(
                system.cluster, name=name
            ).publish,
            version,
            _changed(rate),
        )
        for name, rate in (("ana", 20_001), ("rui", 20_002))
    }
    seen["version"] = version
    seen["results"] = {name: work.result(30) for name, work in racing.items()}


@pytest_bdd.then("exactly one is accepted and the other learns who was faster")
def one_accepted(seen: dict[str, Any]) -> None:
    codes = {name: result.code for name, result in seen["results"].items()}
    assert sorted(codes.values()) == ["accepted", "conflict"]
    seen["winner"] = min(codes, key=codes.__getitem__)
    loser = max(codes, key=codes.__getitem__)
    assert seen["results"][loser].publisher == seen["winner"]


@pytest_bdd.then("the accepted change is in effect at every gateway")
def in_effect(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    system.wait_version(seen["version"])


@pytest_bdd.when(
    "the faster operator sends the same again, as after a lost answer"
)
def resend(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    winner = seen["winner"]
    rate = {"ana": 20_001, "rui": 20_002}[winner]
    operator = operator_client.OperatorClient.for_cluster(
        system.cluster, name=winner
    )
    seen["resent"] = operator.publish(seen["version"], _changed(rate))


@pytest_bdd.then("it is accepted again without a new version")
def accepted_again(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    assert seen["resent"].code == "accepted"
    assert seen["resent"].version == seen["version"]
    assert _next_version(system) == seen["version"] + 1


@pytest_bdd.given("an operator prepares a change under the next version")
def prepare(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    system.grant("bars", "stolen-key")
    seen["version"] = _next_version(system)


@pytest_bdd.given("another operator withdraws a key meanwhile")
def withdraw(system: deployment.Deployment) -> None:
    result = system.operator.withdraw_key("stolen-key")
    assert result.code == "accepted"
    system.wait_version(result.version)


@pytest_bdd.when("the first operator publishes the prepared change")
def publish(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    seen["result"] = system.operator.publish(seen["version"], _changed(20_003))


@pytest_bdd.then("the publication is refused")
def refused(seen: dict[str, Any]) -> None:
    assert seen["result"].code == "conflict"


@pytest_bdd.then("the withdrawn key still does not work")
def still_withdrawn(system: deployment.Deployment) -> None:
    for gateway in range(deployment.GATEWAYS):
        answer = system.answer("notes", key="stolen-key", gateway=gateway)
        assert answer.status == 401
