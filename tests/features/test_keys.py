"""Steps of the key scenarios."""

import http.client
import json
import time
from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("keys.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("a team has key {key}"))
def grant_team_key(system: deployment.Deployment, key: str) -> None:
    system.grant_key("bars", key)


@pytest_bdd.given(
    parse("a caller with key {key} is reading a stream from {model}")
)
def open_stream(
    system: deployment.Deployment, context: dict[str, Any], key: str, model: str
) -> None:
    system.grant_key("bars", key)
    context["stream"] = system.open_request(
        model, key=key, stream=True, tokens=50_000
    )
    assert context["stream"].status == 200
    assert next(context["stream"].lines()).startswith(b"id:")


@pytest_bdd.when(parse("the operator withdraws key {key}"))
def withdraw_key(
    system: deployment.Deployment, context: dict[str, Any], key: str
) -> None:
    assert system.operator.withdraw_key(key).code == "accepted"
    context["withdrawn_at"] = time.monotonic()


@pytest_bdd.when(parse("the operator grants key {key} again"))
def grant_key_again(
    system: deployment.Deployment, context: dict[str, Any], key: str
) -> None:
    context["grant"] = system.operator.grant_key(name=key, team="bars", key=key)


@pytest_bdd.then("the grant is refused")
def grant_is_refused(context: dict[str, Any]) -> None:
    assert context["grant"].code in ("invalid", "conflict")
    assert context["grant"].message


@pytest_bdd.then(
    parse("new requests with key {key} are refused within {limit:d} s")
)
def requests_are_refused(
    system: deployment.Deployment, context: dict[str, Any], key: str, limit: int
) -> None:
    for gateway in range(deployment.GATEWAY_COUNT):
        remaining_s = limit - deployment.seconds_since(context["withdrawn_at"])
        deployment.eventually(
            lambda n=gateway: (
                system.send_request("notes", key=key, gateway=n).status  # type: ignore[misc]
                == 401
            ),
            within=remaining_s,
            description=f"gateway {gateway} refuses the key",
        )
        response = system.send_request("notes", key=key, gateway=gateway)
        assert (response.status, response.error["not_run"]) == (401, True)


@pytest_bdd.then(parse("the open stream is cut off within {limit:d} s"))
def stream_is_cut_off(context: dict[str, Any], limit: int) -> None:
    last_line = b""
    try:
        for line in context["stream"].lines():
            last_line = line.strip() or last_line
            elapsed_s = deployment.seconds_since(context["withdrawn_at"])
            assert elapsed_s < limit, "the stream was not cut off in time"
    except (OSError, http.client.HTTPException):
        pass
    assert last_line != b"data: [DONE]"


@pytest_bdd.then(parse("no target has received key {key}"))
def key_was_not_forwarded(system: deployment.Deployment, key: str) -> None:
    for name in (*deployment.ENGINES, *deployment.SERVICES):
        assert key not in json.dumps(system.cluster.dump(name))
