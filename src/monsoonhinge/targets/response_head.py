"""Checks of the heads of responses.

aiohttp reads responses leniently: it takes any three digits for a status,
blanks after the names of some fields, and control bytes in values.
"""

from collections.abc import Mapping
import re

import aiohttp

_SWITCHING_PROTOCOLS = 101
_MIN_STATUS = 100
# Larger numbers of three digits are no HTTP statuses (RFC 9110 section 15).
_MAX_STATUS = 599

# Names and values of fields (RFC 9110 sections 5.1 and 5.5).
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_QUOTED_CHARACTERS = 40


class MalformedHeadError(aiohttp.ClientError):
    """The head of a response is not one of HTTP/1.1; the rest is unusable."""


def check(message: aiohttp.http.RawResponseMessage) -> None:
    """Checks the head of a response.

    Args:
        message: Head of an interim or a final response.

    Raises:
        MalformedHeadError: The head is malformed.
    """
    _check_status(message.code)
    _check_fields(message.headers)


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
