"""Tests of the heads that connections to targets read."""

import asyncio

import aiohttp
import pytest
import uvloop

from monsoonhinge.targets import connections
from monsoonhinge.targets import response_head
from tests.targets import malformed_heads
from tests.targets import raw_target

_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def _statuses(*parts: bytes) -> list[int]:
    """Returns the statuses of the heads that are read from some bytes.

    Raises:
        aiohttp.ClientError, aiohttp.http.HttpProcessingError: A head is
            malformed.
    """

    async def run() -> list[int]:
        loop = asyncio.get_running_loop()
        protocol = connections.CheckingProtocol(loop=loop)
        protocol.set_response_params(read_until_eof=True)
        for part in parts:
            protocol.data_received(part)
        statuses: list[int] = []
        while not statuses or statuses[-1] < 200:
            message, _ = await protocol.read()
            statuses.append(message.code)
        return statuses

    return uvloop.run(run())


def _malformed(kind: str) -> bytes:
    return malformed_heads.INVALID_LINES[kind](raw_target.SOUND_ANSWER)


_ERRORS = (response_head.MalformedHeadError, aiohttp.http.HttpProcessingError)


@pytest.mark.parametrize("kind", malformed_heads.INVALID_LINES)
def test_malformed_head_is_found_wherever_its_bytes_are_split(
    kind: str,
) -> None:
    """Guards against a head that passes since it arrives in two parts."""
    answer = _malformed(kind)
    for position in range(len(answer)):
        with pytest.raises(_ERRORS):
            _statuses(answer[:position], answer[position:])


def test_head_after_an_interim_response_is_checked() -> None:
    """Guards against a malformed head behind an interim response."""
    answer = _malformed("blank before the first name")
    with pytest.raises(_ERRORS):
        _statuses(_INTERIM + answer)
    with pytest.raises(_ERRORS):
        _statuses(_INTERIM, answer)


def test_interim_response_is_checked() -> None:
    """Guards against a malformed interim response before a sound one."""
    interim = b"HTTP/1.1 103 Early Hints\r\n X-Name: x\r\n\r\n"
    with pytest.raises(_ERRORS):
        _statuses(interim + raw_target.SOUND_ANSWER)


@pytest.mark.parametrize(
    ("answer", "statuses"),
    [
        (raw_target.SOUND_ANSWER, [200]),
        (_INTERIM + raw_target.SOUND_ANSWER, [100, 200]),
        (_INTERIM + _INTERIM + raw_target.SOUND_ANSWER, [100, 100, 200]),
        (b"\r\n" + raw_target.SOUND_ANSWER, [200]),
        (raw_target.SOUND_ANSWER.replace(b"\r\n", b"\n"), [200]),
        (raw_target.SOUND_ANSWER[:-13] + b"\n \r\n\r\na: b\n\n", [200]),
        (b"HTTP/1.0 200\r\n\r\n", [200]),
        (b"HTTP/1.1 204 \r\nA:\r\nB: \t b c\xe9 \r\na:1\r\n\r\n", [204]),
    ],
    ids=[
        "sound",
        "interim",
        "two interim",
        "empty line",
        "LF",
        "body",
        "no fields",
        "values",
    ],
)
def test_sound_heads_are_read_wherever_their_bytes_are_split(
    answer: bytes, statuses: list[int]
) -> None:
    """Guards against answers that are refused for their body or line ends."""
    for position in range(len(answer)):
        assert _statuses(answer[:position], answer[position:]) == statuses
