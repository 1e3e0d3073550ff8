"""Tests of the translation of the platform's documents and headers."""

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
        "diskMb": 1300000.0,
    }
    body: dict[str, Any] = {
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
    return body | changes


def _translate(body: dict[str, Any]) -> dict[str, dict[str, Any]]:
    translated = documents.Document.from_bytes(
        json.dumps(body).encode(), key_secret=_SECRET
    )
    items = [json.loads(item) for item in pack.unpack(translated.packed)]
    return {f"{item['kind']}/{item['name']}": item for item in items}


def test_document_becomes_objects() -> None:
    """Guards against fields translated to a wrong meaning or unit."""
    objects = _translate(document())
    route = objects["ingress_route/r-1"]
    assert route["execution"] == "streaming"
    assert route["backends"] == [{"service": "llm", "weight": 1}]
    assert (route["timeout_ms"], route["max_gap_ms"]) == (15000, 300)
    engine = objects["ingress_service/llm"]["engine"]
    assert engine["models"][0]["weights_bytes"] == 65_100_000_000
    assert engine["disk_bytes"] == 1_300_000_000_000
    assert engine["models"][0]["disk_load_s"] == 1.6
    assert objects["team/t1"]["tokens_per_s"] == 18590
    assert objects["team/t1"]["charged_by"] == "tokens"
    assert sum(name.startswith("key/") for name in objects) == 2
    assert "k1" not in json.dumps(objects)


def test_tenant_without_a_rate_is_unlimited() -> None:
    """Guards against a missing rate that is read as a rate of zero."""
    objects = _translate(document(tenants=[{"name": "t1", "apiKeys": ["k"]}]))
    assert objects["team/t1"]["unlimited"]


def test_document_without_tenants_requires_no_keys() -> None:
    """Guards against requests refused for lack of a key where none exist."""
    body = document()
    del body["tenants"]
    assert not _translate(body)["ingress_limits/limits"]["keys_required"]


def _route(**changes: Any) -> list[dict[str, Any]]:
    return [document()["routes"][0] | changes]


_DUPLICATE_ROUTES = [*_route(), *_route(name="r-2")]
_SHARED_KEY = [
    {"name": "t1", "apiKeys": ["k"]},
    {"name": "t2", "apiKeys": ["k"]},
]


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": _route(service="nowhere")},
        {"routes": _DUPLICATE_ROUTES},
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
def test_invalid_documents_are_rejected(changes: dict[str, Any]) -> None:
    """Guards against an invalid configuration that takes effect."""
    with pytest.raises(documents.InvalidDocument):
        _translate(document(**changes))


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_malformed_documents_are_rejected(data: bytes) -> None:
    """Guards against a crash on malformed or truncated bytes."""
    with pytest.raises(documents.InvalidDocument):
        documents.Document.from_bytes(data, key_secret=_SECRET)


def _announcement(**changes: Any) -> bytes:
    body: dict[str, Any] = {
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
    return json.dumps(body | changes).encode()


def test_heartbeat_becomes_a_registration() -> None:
    """Guards against confusing the two fields ``sequence`` or ``version``.

    An announcement and a report, or a server and its models, use the same name
    for different values.
    """
    registration = registrations.parse_announcement("i-1", _announcement())
    assert (registration.incarnation, registration.sequence) == (
        1783810860188,
        4,
    )
    assert registration.models[0].adapters == ["a1"]
    assert registration.models[0].version == 1
    assert registration.software_version == "v1"
    assert (registration.in_memory, registration.on_disk) == (["m1"], ["m2"])


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"service": None},
        {"address": "nowhere"},
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9:8_0"},
        {"address": "10.0.0.9: 80"},
        {"address": "10.0.0.9:+80"},
        {"address": "10.0.0.9:\u0668\u0660"},
        {"sequence": "4"},
        {"born": 1.5},
        {"slots": 0},
        {"models": "m1"},
        {"version": 1},
    ],
)
def test_invalid_heartbeats_are_rejected(changes: dict[str, Any]) -> None:
    """Guards against registering a target from an invalid announcement."""
    with pytest.raises(registrations.InvalidAnnouncement):
        registrations.parse_announcement("i-1", _announcement(**changes))


def _parsed_request() -> dialect.ParsedRequest:
    return dialect.ParsedRequest(
        request_id="id-1",
        method="POST",
        host="h",
        raw_path="/a/",
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
        (200, _SIGNED, dialect.ExecutionStatus.RAN),
        (500, _SIGNED, dialect.ExecutionStatus.RAN),
        (200, {"X-Request-Id": "id-1"}, dialect.ExecutionStatus.UNKNOWN),
        (
            200,
            _SIGNED | {"X-Request-Id": "id-0"},
            dialect.ExecutionStatus.UNKNOWN,
        ),
        (
            200,
            _SIGNED | {"Content-Encoding": "gzip"},
            dialect.ExecutionStatus.UNKNOWN,
        ),
        (503, {"X-Not-Executed": "1"}, dialect.ExecutionStatus.NOT_RUN),
        (503, _SIGNED, dialect.ExecutionStatus.RAN),
        (503, {"X-Request-Id": "id-1"}, dialect.ExecutionStatus.UNKNOWN),
        (429, {"X-Request-Id": "id-1"}, dialect.ExecutionStatus.UNKNOWN),
        (408, {"X-Request-Id": "id-1"}, dialect.ExecutionStatus.UNKNOWN),
        (500, {"X-Request-Id": "id-1"}, dialect.ExecutionStatus.RAN),
        (421, {"X-Instance-Id": "i-1"}, dialect.ExecutionStatus.NOT_RUN),
        (421, {"X-Instance-Id": "i-2"}, dialect.ExecutionStatus.WRONG_INSTANCE),
    ],
)
def test_only_stated_refusals_count_as_not_run(
    status: int, headers: dict[str, str], expected: dialect.ExecutionStatus
) -> None:
    """Guards against a second run after a response that does not exclude one.

    A request may be sent again only if the server states that it did not run.
    """
    execution = requests.PlatformDialect().classify_response(
        _parsed_request(), target="i-1", status=status, headers=headers
    )
    assert execution is expected


def test_callers_cannot_set_headers_of_the_system() -> None:
    """Guards against a caller that sets the tenant or reserves memory."""
    headers = requests.PlatformDialect().request_headers(
        _parsed_request(),
        target="i-1",
        team="t1",
        time_left_ms=900,
        priority=4,
        last_event_id="",
    )
    assert headers["X-Tenant"] == "t1"
    assert headers["X-Expected-Instance"] == "i-1"
    assert headers["X-Deadline-Ms"] == "900"
    assert "Authorization" not in headers
