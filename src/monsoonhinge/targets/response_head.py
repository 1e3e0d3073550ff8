"""Checks of the heads of responses.

aiohttp reads responses leniently: it takes any three digits for a status.
"""

import aiohttp

_SWITCHING_PROTOCOLS = 101
_MIN_STATUS = 100
# Larger numbers of three digits are no HTTP statuses (RFC 9110 section 15).
_MAX_STATUS = 599


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


def _check_status(status: int) -> None:
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise MalformedHeadError(f"invalid status {status:03}")
    if status == _SWITCHING_PROTOCOLS:
        # No request of this project asks for another protocol.
        raise MalformedHeadError("the protocol is switched unasked")
