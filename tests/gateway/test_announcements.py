"""Tests of the endpoint for announcements of targets."""

import asyncio
import json
from typing import Any

from aiohttp import test_utils
from hypothesis import given
from hypothesis import strategies as st

from monsoonhinge.gateway import announcements
from monsoonhinge.protocol import messages
from monsoonhinge.targets import announcement

_VALID: dict[str, Any] = {
    "target": "engine-0",
    "incarnation": 1,
    "sequence": 1,
    "kind": "engine",
    "availability_zone": "zone-1",
    "address": {"host": "127.0.0.1", "port": 20000},
    "memory_bytes": 10,
    "replicas": [{"model": "m", "version": "1", "state": "loaded"}],
    "orders": [{"order_id": "o", "outcome": "done"}],
    "cache_batch": 1,
    "cache_events": [{"prefix": 5, "stored": True}],
}

_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)


def _post_all(*bodies: bytes) -> tuple[list[int], list[messages.TargetState]]:
    relayed: list[messages.TargetState] = []

    async def run() -> list[int]:
        server = test_utils.TestServer(
            announcements.application(relayed.append)
        )
        async with test_utils.TestClient(server) as client:
            return [
                (await client.post("/targets/announce", data=body)).status
                for body in bodies
            ]

    return asyncio.run(run()), relayed


@given(
    replacements=st.lists(
        st.tuples(st.sampled_from([*_VALID, "surprise"]), _JSON),
        min_size=1,
        max_size=3,
    ),
    truncate_at=st.integers(0, 400),
)
def test_damaged_announcement_changes_nothing(
    replacements: list[tuple[str, Any]], truncate_at: int
) -> None:
    """Guards against crashes by, and partial use of, invalid announcements."""
    damaged = json.dumps({**_VALID, **dict(replacements)}).encode()
    valid = json.dumps(_VALID).encode()
    statuses, relayed = _post_all(damaged, valid[:truncate_at], valid)
    assert set(statuses) <= {204, 400}
    assert statuses[-1] == 204
    assert len(relayed) == statuses.count(204)
    assert relayed[-1].replicas[0].model == "m"


def test_large_announcement_is_refused() -> None:
    """Guards against a target that exhausts the memory of a gateway."""
    statuses, relayed = _post_all(
        b" " * (announcement.MAX_ANNOUNCEMENT_BYTES + 1)
    )
    assert statuses == [413]
    assert not relayed
