"""Tests of the platform's formats."""

import json
from typing import Any

import multidict
import pytest

from monsoonhinge.config import pack
from monsoonhinge.ingress import dialect
from monsoonhinge.platform import documents
from monsoonhinge.platform import registrations
from monsoonhinge.platform import requests

_SECRET = b"a key secret for tests"


def document(**changes: Any) -> dict[str, Any]:
    """Returns a valid document with some fields replaced."""
    route = {
        "name": "r-1",
        "host": "h.example",
        "pathPrefix": "/a/",
        "type": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 300,
    }
    engine = {
        "slots": 64,
        "kvCapacityTokens": 1000,
        "models": [
            {
                "name": "m1",
                "weightsMb": 65099.99999999999,
                "loadS": 6.2,
                "adapters": 2,
                "adapterSizeMb": 12.0,
                "warmS": 0.8,
                "diskS": 1.6,
            }
        ],
        "weightsMb": 220000.0,
        "adapterCapacity": 8,
        "loadsPerS": 2.8,
    }
    made: dict[str, Any] = {
        "version": 7,
        "routes": [route],
        "services": [
            {"name": "llm", "maxConnections": 360, "engine": engine},
            {"name": "app", "maxConnections": 96},
        ],
        "limits": {"maxBodyBytes": 1000},
        "tenants": [
            {
                "name": "t1",
                "apiKeys": ["k1", "k2"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 18590,
                "burst": 18590,
            }
        ],
    }
    return made | changes


def _objects(made: dict[str, Any]) -> dict[str, dict[str, Any]]:
    read = documents.Document.from_bytes(
        json.dumps(made).encode(), key_secret=_SECRET
    )
    items = [json.loads(item) for item in pack.unpack(read.packed)]
    return {f"{item['kind']}/{item['name']}": item for item in items}


def test_document_becomes_objects() -> None:
    """Guards against fields that change their meaning on the way."""
    objects = _objects(document())
    route = objects["ingress_route/r-1"]
    assert route["execution"] == "streaming"
    assert route["backends"] == [{"service": "llm", "weight": 1}]
    assert (route["timeout_ms"], route["max_gap_ms"]) == (15000, 300)
    engine = objects["ingress_service/llm"]["engine"]
    assert engine["models"][0]["weights_bytes"] == 65_100_000_000
    assert engine["models"][0]["disk_load_s"] == 1.6
    assert objects["team/t1"]["tokens_per_s"] == 18590
    assert objects["team/t1"]["charged_by"] == "tokens"
    assert sum(name.startswith("key/") for name in objects) == 2
    assert "k1" not in json.dumps(objects)


def test_tenant_without_a_rate_is_unlimited() -> None:
    """Guards against a rate of zero that refuses everything."""
    objects = _objects(document(tenants=[{"name": "t1", "apiKeys": ["k"]}]))
    assert objects["team/t1"]["unlimited"]


def test_document_without_tenants_needs_no_keys() -> None:
    """Guards against refused requests where no keys are in use."""
    made = document()
    del made["tenants"]
    assert not _objects(made)["ingress_limits/limits"]["keys_required"]


def _route(**changes: Any) -> list[dict[str, Any]]:
    return [document()["routes"][0] | changes]


_TWICE = [*_route(), *_route(name="r-2")]
_SHARED_KEY = [
    {"name": "t1", "apiKeys": ["k"]},
    {"name": "t2", "apiKeys": ["k"]},
]


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": _route(service="nowhere")},
        {"routes": _TWICE},
        {"routes": _route(split=[{"service": "llm", "weight": 0}])},
        {"routes": _route(timeoutMs=0)},
        {"routes": _route(type="other")},
        {"routes": _route(service=None)},
        {"tenants": _SHARED_KEY},
        {"version": 0},
        {"version": "7"},
        {"routes": None},
    ],
)
def test_invalid_documents_are_refused(changes: dict[str, Any]) -> None:
    """Guards against a change in force that can never be valid."""
    with pytest.raises(documents.InvalidDocument):
        _objects(document(**changes))


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_unreadable_documents_are_refused(data: bytes) -> None:
    """Guards against a crash on bytes that are cut short."""
    with pytest.raises(documents.InvalidDocument):
        documents.Document.from_bytes(data, key_secret=_SECRET)


def _heartbeat(**changes: Any) -> bytes:
    made: dict[str, Any] = {
        "service": "llm",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 4,
        "born": 1783810860188,
        "phase": "both",
        "models": [{"name": "m1", "version": 1, "adapters": ["a1"]}],
        "available": {"inMemory": ["m1"], "onDisk": ["m2"]},
        "new_field": 1,
    }
    return json.dumps(made | changes).encode()


def test_heartbeat_becomes_a_registration() -> None:
    """Guards against the two meanings of ``sequence`` and ``version``."""
    read = registrations.parse_announcement("i-1", _heartbeat())
    assert (read.incarnation, read.sequence) == (1783810860188, 4)
    assert read.models[0].adapters == ["a1"]
    assert (read.in_memory, read.on_disk) == (["m1"], ["m2"])


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"service": None},
        {"address": "nowhere"},
        {"address": "10.0.0.9:99999"},
        {"sequence": "4"},
        {"born": 1.5},
        {"slots": 0},
        {"models": "m1"},
    ],
)
def test_damaged_heartbeats_name_no_server(changes: dict[str, Any]) -> None:
    """Guards against a target made out of another writer's entry."""
    with pytest.raises(registrations.InvalidAnnouncement):
        registrations.parse_announcement("i-1", _heartbeat(**changes))


def _call() -> dialect.Call:
    return dialect.Call(
        request_id="id-1",
        method="POST",
        host="h",
        target_path="/a/",
        path="/a/",
        key="k",
        model="m",
        adapter="",
        tokens=None,
        prompt=(),
        time_left_ms=None,
        last_event_id="",
        headers=multidict.CIMultiDict({"X-Request-Id": "id-1"}),
    )


_SIGNED = {"X-Request-Id": "id-1", "X-Server-Signature": "s"}


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, _SIGNED, dialect.Execution.RAN),
        (500, _SIGNED, dialect.Execution.RAN),
        (200, {"X-Request-Id": "id-1"}, dialect.Execution.UNKNOWN),
        (200, _SIGNED | {"X-Request-Id": "id-0"}, dialect.Execution.UNKNOWN),
        (
            200,
            _SIGNED | {"Content-Encoding": "gzip"},
            dialect.Execution.UNKNOWN,
        ),
        (503, {"X-Not-Executed": "1"}, dialect.Execution.NOT_RUN),
        (503, {"X-Request-Id": "id-1"}, dialect.Execution.RAN),
        (421, {"X-Instance-Id": "i-1"}, dialect.Execution.NOT_RUN),
        (421, {"X-Instance-Id": "i-2"}, dialect.Execution.WRONG_INSTANCE),
    ],
)
def test_only_stated_refusals_count_as_not_run(
    status: int, headers: dict[str, str], expected: dialect.Execution
) -> None:
    """Guards against a repeated run after an answer that promises nothing."""
    found = requests.PlatformDialect().execution(
        _call(), target="i-1", status=status, headers=headers
    )
    assert found is expected


def test_system_headers_are_set_by_the_system_alone() -> None:
    """Guards against a caller that sets the tenant or takes memory."""
    made = requests.PlatformDialect().headers(
        _call(),
        target="i-1",
        team="t1",
        time_left_ms=900,
        rank=4,
        last_event_id="",
    )
    assert made["X-Tenant"] == "t1"
    assert made["X-Expected-Instance"] == "i-1"
    assert made["X-Deadline-Ms"] == "900"
    assert "Authorization" not in made
