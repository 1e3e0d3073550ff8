"""HTTP responses with bounded heads and bodies, and a known end.

A faulty target may send bytes without end. aiohttp limits the header lines of a
response, but neither the interim responses before it nor the size of a body
that is read as a whole.

The body of a response without a length and without chunks ends with its
connection. aiohttp does not tell whether that was closed or reset.

A target may send a late copy of an earlier response on a connection that is in
use again. Responses name their request, so that such a copy is recognized.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import aiohttp

from monsoonhinge.targets import connections

# Responses with status 1xx that may precede a final response.
_MAX_INTERIM_RESPONSES = 16


class ResetResponse(aiohttp.ClientPayloadError):
    """The connection was reset before a body that ends with it was whole."""


class EndlessResponse(aiohttp.ClientPayloadError):
    """A response exceeds its limit; its connection must not be reused."""


class BoundedResponse(aiohttp.ClientResponse):
    """A response with a limited number of other responses before it.

    Its connection must be one of a ``connections.CleanConnector``.

    Its connection can be closed even after the response was read: a short
    response is complete before its headers are checked, and aiohttp has
    returned its connection to the pool by then.

    Attributes:
        transport: Transport of the connection, once the head is being read.
        connection_error: Error with which the connection was lost, or None if
            it is open or was closed in order.
    """

    transport: asyncio.Transport | None = None
    connection_error: BaseException | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the response.

        Raises:
            EndlessResponse: Too many interim responses precede it.
            response_head.MalformedHeadError: It is malformed.
        """
        self.transport = connection.transport
        assert isinstance(connection.protocol, connections.CheckingProtocol)
        protocol: Any = connection.protocol
        self._watch_connection(protocol)
        reused = connections.is_reused(protocol)
        connections.record_request(
            protocol, self.request_info.headers.get(connections.REQUEST_ID, "")
        )
        read = protocol.read
        left = _MAX_INTERIM_RESPONSES + 1

        async def read_limited() -> Any:
            nonlocal left
            while left:
                left -= 1
                message, body = await read()
                if not (reused and self._answers_another(message.headers)):
                    return message, body
                while not body.at_eof():
                    await body.readany()
            raise EndlessResponse("too many responses before the final one")

        # aiohttp reads all interim responses in one call, without a hook
        # between them.
        protocol.read = read_limited
        try:
            return await super().start(connection)
        finally:
            del protocol.read
            protocol.end_of_heads()

    @property
    def is_delimited(self) -> bool:
        """Whether the head tells where the body ends."""
        return (
            self.method == "HEAD"
            or self.status in (204, 304)
            or self.content_length is not None
            or "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        )

    def check_end(self) -> None:
        """Checks the end of a body that has been read.

        Raises:
            ResetResponse: The body ends with a connection that was reset.
        """
        if not self.is_delimited and self.connection_error is not None:
            raise ResetResponse(f"reset: {self.connection_error!r}")

    def _answers_another(self, headers: Mapping[str, str]) -> bool:
        """Returns whether a response names another request than this one."""
        answered = headers.get(connections.REQUEST_ID)
        sent = self.request_info.headers.get(connections.REQUEST_ID)
        return None not in (answered, sent) and answered != sent

    def _watch_connection(self, protocol: Any) -> None:
        """Notes the error with which the connection is lost.

        aiohttp ends a body that ends with its connection in the same way for
        any loss of that connection.
        """
        lost = type(protocol).connection_lost

        def connection_lost(error: BaseException | None) -> None:
            self.connection_error = error
            lost(protocol, error)

        protocol.connection_lost = connection_lost

    def abort(self) -> None:
        """Closes the connection, so that it is not reused."""
        self.close()
        if self.transport is not None:
            self.transport.abort()


async def read_body(
    response: aiohttp.ClientResponse, *, max_bytes: int
) -> bytes:
    """Returns the whole body of a response.

    Raises:
        EndlessResponse: The body is larger than ``max_bytes``.
        ResetResponse: The connection with which the body ends was reset.
        aiohttp.ClientError: The body is incomplete.
    """
    size_bytes = response.content_length or 0
    parts: list[bytes] = []
    if size_bytes <= max_bytes:
        size_bytes = 0
        async for part in response.content.iter_any():
            size_bytes += len(part)
            if size_bytes > max_bytes:
                break
            parts.append(part)
    if size_bytes > max_bytes:
        response.close()
        raise EndlessResponse(f"the body exceeds {max_bytes} bytes")
    if isinstance(response, BoundedResponse):
        response.check_end()
    return b"".join(parts)
