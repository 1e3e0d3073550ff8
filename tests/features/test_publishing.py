"""Steps of the publishing scenarios."""

import copy
from typing import Any

import pytest_bdd

from monsoonhinge.bench import operator_client
from tests.features import deployment

pytest_bdd.scenarios("publishing.feature")


def _make_changed_documents(rate: int) -> list[dict[str, Any]]:
    documents = copy.deepcopy(deployment.objects())
    for item in documents:
        if item["name"] == "drivers":
            item["tokens_per_s"] = rate
    return documents


def _next_version(system: deployment.Deployment) -> int:
    return int(system.cluster.dump("gateway-0")["version"]) + 1


@pytest_bdd.when("two operators publish changes under the next version")
def publish_concurrently(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    version = _next_version(system)
    publications = {
        name: system.run_in_thread(
            operator_client.OperatorClient.for_cluster(
                system.cluster, name=name
            ).publish,
            version,
            _make_changed_documents(rate),
        )
        for name, rate in (("ana", 20_001), ("rui", 20_002))
    }
    context["version"] = version
    context["results"] = {
        name: publication.result(30)
        for name, publication in publications.items()
    }


@pytest_bdd.then(
    "exactly one is accepted and the other is told who published first"
)
def one_is_accepted(context: dict[str, Any]) -> None:
    codes = {name: result.code for name, result in context["results"].items()}
    assert sorted(codes.values()) == ["accepted", "conflict"]
    context["winner"] = min(codes, key=codes.__getitem__)
    loser = max(codes, key=codes.__getitem__)
    assert context["results"][loser].publisher == context["winner"]


@pytest_bdd.then("the accepted change is in effect at every gateway")
def change_is_in_effect(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    system.wait_for_version(context["version"])


@pytest_bdd.when("the accepted operator retries, as after a lost response")
def retry_publication(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    winner = context["winner"]
    rate = {"ana": 20_001, "rui": 20_002}[winner]
    operator = operator_client.OperatorClient.for_cluster(
        system.cluster, name=winner
    )
    context["retried"] = operator.publish(
        context["version"], _make_changed_documents(rate)
    )


@pytest_bdd.then("it is accepted again without a new version")
def retry_is_accepted(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    assert context["retried"].code == "accepted"
    assert context["retried"].version == context["version"]
    assert _next_version(system) == context["version"] + 1


@pytest_bdd.given("an operator prepares a change under the next version")
def prepare_change(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    system.grant_key("bars", "stolen-key")
    context["version"] = _next_version(system)


@pytest_bdd.given("another operator withdraws a key in the meantime")
def withdraw_key(system: deployment.Deployment) -> None:
    result = system.operator.withdraw_key("stolen-key")
    assert result.code == "accepted"
    system.wait_for_version(result.version)


@pytest_bdd.when("the first operator publishes the prepared change")
def publish_prepared_change(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    context["result"] = system.operator.publish(
        context["version"], _make_changed_documents(20_003)
    )


@pytest_bdd.then("the publication is refused")
def publication_is_refused(context: dict[str, Any]) -> None:
    assert context["result"].code == "conflict"


@pytest_bdd.then("the withdrawn key is still refused")
def key_is_refused(system: deployment.Deployment) -> None:
    for gateway in range(deployment.GATEWAY_COUNT):
        response = system.send_request(
            "notes", key="stolen-key", gateway=gateway
        )
        assert response.status == 401
