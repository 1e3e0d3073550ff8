"""Tests of the validation that precedes a proposal."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from monsoonhinge.config import pack
from monsoonhinge.control import publication
from monsoonhinge.protocol import commands

_TEAM = {
    "kind": "team",
    "name": "bars",
    "tokens_per_s": 1,
    "burst_tokens": 1,
}


def _problems(*documents: object) -> str:
    encoded = [json.dumps(document).encode() for document in documents]
    from_objects = publication.problems(commands.PublishConfig(objects=encoded))
    from_packed = publication.problems(
        commands.PublishConfig(packed=pack.pack(encoded))
    )
    assert from_objects == from_packed
    return from_objects


def test_valid_set_passes() -> None:
    """Guards against refusing a set that the command line accepts."""
    assert _problems(_TEAM) == ""


@pytest.mark.parametrize(
    ("document", "part"),
    [
        ({**_TEAM, "name": "two words"}, "name"),
        ({**_TEAM, "surprise": 1}, "surprise"),
        (
            {"kind": "route", "name": "r", "model": "m", "teams": ["bars"]},
            "model/m does not exist",
        ),
        ({"kind": "key", "name": "k", "team": "bars", "hash": "0" * 64}, "key"),
        ([], "objects"),
    ],
)
def test_invalid_set_is_refused(document: object, part: str) -> None:
    """Guards against a set that gateways cannot read.

    Gateways would then refuse all requests.
    """
    other = {**_TEAM, "name": "other"}
    assert part in _problems(other, document)


@given(data=st.binary(max_size=200), packed=st.booleans())
def test_arbitrary_bytes_are_refused(data: bytes, packed: bool) -> None:
    """Guards against a malformed publication that crashes the leader."""
    command = (
        commands.PublishConfig(packed=data)
        if packed
        else commands.PublishConfig(objects=[data])
    )
    assert publication.problems(command)


def test_key_with_an_invalid_name_or_hash_is_refused() -> None:
    """Guards against a key object that subscribers cannot read."""
    assert publication.problems(
        commands.GrantKey(name="a b", team="bars", hash="0" * 64)
    )
    assert publication.problems(
        commands.GrantKey(name="a", team="bars", hash="0")
    )
    assert not publication.problems(
        commands.GrantKey(name="a", team="bars", hash="0" * 64)
    )
