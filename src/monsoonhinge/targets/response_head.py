"""Checks of the heads of responses.

aiohttp reads responses leniently: it takes any three digits for a status,
blanks after the names of some fields, and control bytes in values. It also
joins lines and takes other protocols for HTTP/1.1, which only a comparison with
the bytes of a head tells.
"""

from collections.abc import Mapping
import re

import aiohttp
import multidict

_SWITCHING_PROTOCOLS = 101
_MIN_STATUS = 100
# Larger numbers of three digits are no HTTP statuses (RFC 9110 section 15).
_MAX_STATUS = 599

# Names and values of fields (RFC 9110 sections 5.1 and 5.5).
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_QUOTED_CHARACTERS = 40

# The parser undoes these codings of a body; identity, which is obsolete,
# changes nothing.
_KNOWN_CODINGS = frozenset({"chunked", "identity"})

_HTTP_1 = b"HTTP/1."
_CRLF = b"\r\n"
_LF = b"\n"


class MalformedHeadError(aiohttp.ClientError):
    """The head of a response is not one of HTTP/1.1; the rest is unusable."""


def check(status: int, headers: multidict.CIMultiDictProxy[str]) -> None:
    """Checks the status and the fields of an interim or a final response.

    Args:
        status: HTTP status.
        headers: All fields of the head.

    Raises:
        MalformedHeadError: The head is malformed.
    """
    _check_status(status)
    _check_fields(headers)
    _check_coding(headers)


def find_end(
    message: aiohttp.http.RawResponseMessage, received: bytes | bytearray
) -> int:
    """Returns where a head ends within the bytes from which it was parsed.

    Args:
        message: The head as it was parsed.
        received: Bytes of the connection; other responses may precede it.

    Raises:
        MalformedHeadError: The bytes hold no such head of HTTP/1.
    """
    start = received.find(_HTTP_1)
    while start >= 0:
        end = _end_if_equal(message, received, start)
        if end is not None:
            return end
        start = received.find(_HTTP_1, start + 1)
    raise MalformedHeadError("the lines of the head are not its fields")


def _end_if_equal(
    message: aiohttp.http.RawResponseMessage,
    received: bytes | bytearray,
    start: int,
) -> int | None:
    """Returns where a head ends if it has the fields of a parsed one."""
    line_end = received.find(_LF, start)
    # Lines that all end with LF alone are unusual, but unambiguous.
    eol = _CRLF if received[line_end - 1 : line_end] == b"\r" else _LF
    end = received.find(eol + eol, start)
    if end < 0:
        return None
    status_line, *lines = bytes(received[start:end]).split(eol)
    if status_line.split()[1:2] != [b"%03d" % message.code]:
        return None
    fields = (line.partition(b":") for line in lines)
    if message.raw_headers != tuple(
        (name, value.strip(b" \t")) for name, _, value in fields
    ):
        return None
    return end + len(eol + eol)


def _check_status(status: int) -> None:
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise MalformedHeadError(f"invalid status {status:03}")
    if status == _SWITCHING_PROTOCOLS:
        # No request of this project asks for another protocol.
        raise MalformedHeadError("the protocol is switched unasked")


def _check_fields(headers: Mapping[str, str]) -> None:
    for name, value in headers.items():
        if not _FIELD_NAME.fullmatch(name):
            raise MalformedHeadError(
                f"invalid field name {name[:_MAX_QUOTED_CHARACTERS]!a}"
            )
        if _CONTROL_CHARACTER.search(value):
            raise MalformedHeadError(f"control character in {name}")


def _check_coding(headers: multidict.CIMultiDictProxy[str]) -> None:
    codings = ",".join(headers.getall("Transfer-Encoding", ["identity"]))
    if codings.strip().lower() not in _KNOWN_CODINGS:
        raise MalformedHeadError(
            f"unknown transfer coding {codings[:_MAX_QUOTED_CHARACTERS]!a}"
        )
