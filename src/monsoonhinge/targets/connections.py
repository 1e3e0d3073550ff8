"""Connections to targets, and their reuse.

A target may send bytes that nobody asked for, such as a second copy of a
response, on a connection that is kept for later requests. The id in a response
tells the copy from the response that is due, unless the same request is sent
again on that connection.
"""

import asyncio
import collections
from collections.abc import Callable
import functools
from typing import Any

import aiohttp
from aiohttp import client_proto

from monsoonhinge.targets import response_head

REQUEST_ID = "X-Request-Id"

# Attribute of a connection: ids of the requests that it carried last.
_CARRIED_IDS = "monsoonhinge_carried_ids"
_MAX_CARRIED_IDS = 32

# Responses to earlier requests that a target sends again before the one that
# is due.
_MAX_BYTES_BEFORE_RESPONSE = 4 * 1024 * 1024


class CheckingProtocol(client_proto.ResponseHandler):
    """Protocol of a connection that checks the heads of responses."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Bytes after the last head that was read, until the final one.
        self._received: bytearray | None = None

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the response to the next request."""
        self._received = bytearray()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Handles bytes of the target."""
        if self._received is not None:
            self._received += data
            if len(self._received) > _MAX_BYTES_BEFORE_RESPONSE:
                self._received = None
        super().data_received(data)

    async def read(
        self,
    ) -> tuple[aiohttp.http.RawResponseMessage, aiohttp.StreamReader]:
        """Returns the next head, with its body.

        Raises:
            response_head.MalformedHeadError: It is malformed.
        """
        message, body = await super().read()
        response_head.check(message.code, message.headers)
        if self._received is None:
            raise response_head.MalformedHeadError("too many bytes before it")
        del self._received[: response_head.find_end(message, self._received)]
        return message, body

    def end_of_heads(self) -> None:
        """Tells that the final response to the request has begun."""
        self._received = None


class CleanConnector(aiohttp.TCPConnector):
    """Reuses only connections on which no unrequested byte has arrived.

    aiohttp checks this when a request ends, and not again before it gives the
    connection to the next request. A request that is sent again never gets a
    connection that has carried it before.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        protocol: Callable[..., client_proto.ResponseHandler] = CheckingProtocol
        # aiohttp has no public way to choose the protocol of connections.
        self._factory = functools.partial(protocol, loop=self._loop)

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a pooled or a new connection for a request."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol: Any = connection.protocol
            # A new connection is used even if its target has sent something.
            if not is_reused(protocol):
                return connection
            request_id = req.headers.get(REQUEST_ID)
            if not protocol.should_close and not (
                request_id and request_id in _carried_ids(protocol)
            ):
                return connection
            connection.close()


def is_reused(protocol: Any) -> bool:
    """Returns whether a connection has carried a request before."""
    return bool(_carried_ids(protocol))


def record_request(protocol: Any, request_id: str) -> None:
    """Records that a connection carries a request.

    Args:
        protocol: Protocol of the connection.
        request_id: Id of the request, or "" if it has none.
    """
    ids = _carried_ids(protocol)
    ids.append(request_id)
    setattr(protocol, _CARRIED_IDS, ids)


def _carried_ids(protocol: Any) -> collections.deque[str]:
    ids: collections.deque[str] | None = getattr(protocol, _CARRIED_IDS, None)
    return collections.deque(maxlen=_MAX_CARRIED_IDS) if ids is None else ids
