"""End-to-end tests of requests through processes on loopback."""

from collections.abc import Iterator
import json
import pathlib
import time
from typing import Any
import urllib.error
import urllib.request

import pytest

from monsoonhinge.bench import local_cluster
from monsoonhinge.bench import operator_client

KEY = "barril-publican-key"

OBJECTS: list[dict[str, Any]] = [
    {
        "kind": "model",
        "name": "deposit-assistant",
        "versions": [{"version": "1", "weights_bytes": 10**10, "load_s": 0.5}],
        "current": "1",
        "kv_bytes_per_replica": 10**9,
    },
    {
        "kind": "team",
        "name": "bars",
        "tokens_per_s": 10_000,
        "burst_tokens": 100_000,
    },
    {
        "kind": "service",
        "name": "ledger",
        "non_repeatable": [{"method": "POST", "path_prefix": "/refunds"}],
    },
    {
        "kind": "route",
        "name": "assistant",
        "model": "deposit-assistant",
        "teams": ["bars"],
    },
    {"kind": "route", "name": "ledger", "service": "ledger", "teams": ["bars"]},
]


def publish(cluster: local_cluster.Cluster) -> None:
    """Publishes the configuration and grants the caller key."""
    operator = operator_client.OperatorClient.for_cluster(cluster, name="test")
    assert operator.publish(1, OBJECTS).code == "accepted"
    granted = operator.grant_key(name="publican", team="bars", key=KEY)
    assert granted.code == "accepted"


def wait_for_targets(cluster: local_cluster.Cluster) -> None:
    """Waits until the gateway knows both targets; fails after 20 s."""
    deadline = time.monotonic() + 20
    while len(cluster.dump("gateway-0")["targets"]) < 2:
        assert time.monotonic() < deadline
        time.sleep(0.02)


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[local_cluster.Cluster]:
    """A ready cluster with the configuration published."""
    folder: pathlib.Path = tmp_path_factory.mktemp("cluster")
    running = local_cluster.Cluster.create(
        folder,
        service_settings={"services": ["ledger"]},
        engine_settings={"announce_s": 0.2},
    )
    running.start()
    try:
        publish(running)
        running.wait_ready()
        wait_for_targets(running)
        yield running
    finally:
        running.stop()


def post(
    cluster: local_cluster.Cluster, path: str, body: Any, **headers: str
) -> tuple[int, dict[str, str], str]:
    """Posts a body to the gateway; returns status, headers and text."""
    port = cluster.nodes["gateway-0"].settings["callers"]["port"]
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=body if isinstance(body, bytes) else json.dumps(body).encode(),
        headers={name.replace("_", "-"): v for name, v in headers.items()},
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return (
                response.status,
                dict(response.headers),
                response.read().decode(),
            )
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


BEARER = f"Bearer {KEY}"


def test_stream_with_cold_start(cluster: local_cluster.Cluster) -> None:
    """Guards against a model that is not loaded for its first request."""
    status, headers, text = post(
        cluster,
        "/v1/chat/completions",
        {"model": "assistant", "stream": True, "max_tokens": 5},
        Authorization=BEARER,
        X_Request_Id="req-1",
    )
    assert status == 200, text
    assert headers["X-Request-Id"] == "req-1"
    assert text.endswith("data: [DONE]\n\n")
    assert text.count("word") == 5


def test_refund_sent_twice_runs_once(cluster: local_cluster.Cluster) -> None:
    """Guards against a retry with the same idempotency key that runs again."""
    responses = [
        post(
            cluster,
            "/services/ledger/refunds/7",
            {"kegs": 3},
            Authorization=BEARER,
            Idempotency_Key="refund-7",
        )
        for _ in range(2)
    ]
    assert [status for status, _, _ in responses] == [200, 200]
    assert responses[0][2] == responses[1][2]
    assert cluster.dump("service-0")["runs"]["POST /refunds/7"] == 1


def test_no_target_receives_a_caller_key(
    cluster: local_cluster.Cluster,
) -> None:
    """Guards against private headers of a caller that reach a target.

    The caller key and cookies are secrets, and a caller must not be able to
    send the headers that the gateway sets for targets.
    """
    post(
        cluster,
        "/services/ledger/depots",
        {},
        Authorization=BEARER,
        Cookie="session=1",
        X_Monsoonhinge_Fencing="9",
    )
    for name in ("service-0", "engine-0"):
        text = json.dumps(cluster.dump(name)["received"])
        assert KEY not in text
        assert "session=1" not in text
        assert "X-Monsoonhinge" not in text


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        ({"model": "assistant"}, {}, 401, "key_required"),
        (
            {"model": "assistant"},
            {"Authorization": "Bearer no"},
            401,
            "invalid_key",
        ),
        ({"model": "nothing"}, {"Authorization": BEARER}, 404, "unknown_route"),
        (b"{", {"Authorization": BEARER}, 400, "invalid_json"),
        ({"model": 3}, {"Authorization": BEARER}, 400, "invalid_request"),
    ],
)
def test_invalid_request_is_refused(
    cluster: local_cluster.Cluster,
    body: Any,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    """Guards against invalid requests without a specific error code."""
    actual, _, text = post(cluster, "/v1/chat/completions", body, **headers)
    error = json.loads(text)["error"]
    assert (actual, error["code"], error["not_run"]) == (status, code, True)
