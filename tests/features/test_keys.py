"""Steps of the key scenarios."""

import http.client
import json
import time
from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("keys.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("a bar has key {key}"))
def has_key(system: deployment.Deployment, key: str) -> None:
    system.grant("bars", key)


@pytest_bdd.given(parse("a bar with key {key} is reading about {model}"))
def reads(
    system: deployment.Deployment, seen: dict[str, Any], key: str, model: str
) -> None:
    system.grant("bars", key)
    seen["stream"] = system.ask(model, key=key, stream=True, tokens=50_000)
    assert seen["stream"].status == 200
    assert next(seen["stream"].lines()).startswith(b"id:")


@pytest_bdd.when(parse("the operator withdraws key {key}"))
def withdraw(
    system: deployment.Deployment, seen: dict[str, Any], key: str
) -> None:
    assert system.operator.withdraw_key(key).code == "accepted"
    seen["withdrawn_at"] = time.monotonic()


@pytest_bdd.when(parse("the operator grants key {key} again"))
def grant_again(
    system: deployment.Deployment, seen: dict[str, Any], key: str
) -> None:
    seen["grant"] = system.operator.grant_key(name=key, team="bars", key=key)


@pytest_bdd.then("the operator is told that the key cannot be granted")
def not_granted(seen: dict[str, Any]) -> None:
    assert seen["grant"].code in ("invalid", "conflict")
    assert seen["grant"].message


@pytest_bdd.then(
    parse("new requests with key {key} are refused within {limit:d} s")
)
def refused(
    system: deployment.Deployment, seen: dict[str, Any], key: str, limit: int
) -> None:
    for gateway in range(deployment.GATEWAYS):
        left = limit - deployment.seconds_since(seen["withdrawn_at"])
        deployment.eventually(
            lambda n=gateway: (
                system.answer("notes", key=key, gateway=n).status  # type: ignore[misc]
                == 401
            ),
            within=left,
            description=f"gateway {gateway} refuses the key",
        )
        answer = system.answer("notes", key=key, gateway=gateway)
        assert (answer.status, answer.error["not_run"]) == (401, True)


@pytest_bdd.then(
    parse("the long answer ends within {limit:d} s without its end")
)
def ended(seen: dict[str, Any], limit: int) -> None:
    last = b""
    try:
        for line in seen["stream"].lines():
            last = line.strip() or last
            waited = deployment.seconds_since(seen["withdrawn_at"])
            assert waited < limit, "the stream still runs"
    except (OSError, http.client.HTTPException):
        pass
    assert last != b"data: [DONE]"


@pytest_bdd.then(parse("no target has seen key {key}"))
def unseen(system: deployment.Deployment, key: str) -> None:
    for name in (*deployment.ENGINES, *deployment.SERVICES):
        assert key not in json.dumps(system.cluster.dump(name))
