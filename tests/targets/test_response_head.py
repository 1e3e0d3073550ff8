"""Tests of the checks of lines in the heads of responses."""

import pytest

from monsoonhinge.targets import response_head
from tests.targets import malformed_heads
from tests.targets import raw_target

_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def _check(*parts: bytes) -> None:
    checker = response_head.LineChecker()
    for part in parts:
        checker.feed(part)


@pytest.mark.parametrize("kind", malformed_heads.INVALID_LINES)
def test_malformed_head_is_found_wherever_its_bytes_are_split(
    kind: str,
) -> None:
    """Guards against a head that passes since it arrives in two parts."""
    answer = malformed_heads.INVALID_LINES[kind](raw_target.SOUND_ANSWER)
    for position in range(len(answer)):
        with pytest.raises(response_head.MalformedHeadError):
            _check(answer[:position], answer[position:])


def test_head_after_an_interim_response_is_checked() -> None:
    """Guards against a malformed head behind an interim response."""
    answer = malformed_heads.INVALID_LINES["blank before a name"](
        raw_target.SOUND_ANSWER
    )
    with pytest.raises(response_head.MalformedHeadError):
        _check(_INTERIM + answer)
    with pytest.raises(response_head.MalformedHeadError):
        _check(_INTERIM, answer)


@pytest.mark.parametrize(
    "answer",
    [
        raw_target.SOUND_ANSWER,
        _INTERIM + raw_target.SOUND_ANSWER,
        b"\r\n" + raw_target.SOUND_ANSWER,
        raw_target.SOUND_ANSWER.replace(b"\r\n", b"\n"),
        raw_target.SOUND_ANSWER + b"\n \r\n\r\nof the body\n\n",
    ],
    ids=["sound", "interim", "empty line", "LF", "body"],
)
def test_sound_heads_pass_wherever_their_bytes_are_split(
    answer: bytes,
) -> None:
    """Guards against answers that are refused for their body or line ends."""
    for position in range(len(answer)):
        _check(answer[:position], answer[position:])
