"""Answers of targets in trouble, made from the bytes of sound ones."""

from collections.abc import Callable

Spoil = Callable[[bytes], bytes]


def _with_status(status: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        _, _, rest = answer.partition(b"\r\n")
        return b"HTTP/1.1 %b\r\n%b" % (status, rest)

    return spoil


INVALID_STATUSES: dict[str, Spoil] = {
    "status 000": _with_status(b"000 X"),
    "status 099": _with_status(b"099 X"),
    "status 600": _with_status(b"600 X"),
    "status 999": _with_status(b"999 X"),
    "status 101": _with_status(b"101 Switching Protocols"),
}

ALL: dict[str, Spoil] = INVALID_STATUSES
