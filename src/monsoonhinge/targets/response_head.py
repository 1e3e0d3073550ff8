"""Checks of the heads of responses.

aiohttp reads responses leniently: it takes any three digits for a status,
blanks after the names of some fields, and control bytes in values. It also
joins lines and takes other protocols for HTTP/1.1, which only the bytes of a
head tell.
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
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
_INTERIM = re.compile(rb"HTTP/1\.. 1")
_LEADING_BLANK = re.compile(rb"\n[ \t]")
_BARE_LF = re.compile(rb"(?<!\r)\n")


class MalformedHeadError(aiohttp.ClientError):
    """The head of a response is not one of HTTP/1.1; the rest is unusable."""


class LineChecker:
    """Checks the lines of the heads of one response as they arrive.

    These are the heads of interim responses and the next one after them.
    """

    def __init__(self) -> None:
        self._unchecked = bytearray()
        self._complete = False

    def feed(self, data: bytes) -> None:
        """Checks the heads that end within some more bytes of the response.

        Raises:
            MalformedHeadError: A head is malformed.
        """
        if self._complete:
            return
        searched = max(0, len(self._unchecked) - _HEAD_END_BYTES)
        self._unchecked += data
        while end := _HEAD_END.search(self._unchecked, searched):
            head = bytes(self._unchecked[: end.end()]).lstrip(_CRLF)
            del self._unchecked[: end.end()]
            searched = 0
            if not head:
                continue
            _check_lines(head)
            if not _INTERIM.match(head):
                self._complete = True
                self._unchecked.clear()
                return


def check(status: int, headers: multidict.CIMultiDictProxy[str]) -> None:
    """Checks the head of an interim or a final response.

    Args:
        status: HTTP status.
        headers: All fields of the head.

    Raises:
        MalformedHeadError: The head is malformed.
    """
    _check_status(status)
    _check_fields(headers)
    _check_coding(headers)


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


def _check_lines(head: bytes) -> None:
    if not head.startswith(_HTTP_1):
        raise MalformedHeadError("another protocol than HTTP/1")
    if _LEADING_BLANK.search(head):
        raise MalformedHeadError("a line begins with a blank")
    # A head whose lines all end with LF alone is unusual, but unambiguous.
    if _CRLF in head and _BARE_LF.search(head):
        raise MalformedHeadError("lines end in different ways")
