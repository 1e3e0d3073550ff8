"""HTTP responses with bounded heads and bodies.

A faulty target may send bytes without end. aiohttp limits the header lines of a
response, but neither the interim responses before it nor the size of a body
that is read as a whole.
"""

import asyncio
from typing import Any

import aiohttp

# Responses with status 1xx that may precede a final response.
_MAX_INTERIM_RESPONSES = 16


class EndlessResponse(aiohttp.ClientPayloadError):
    """A response exceeds its limit; its connection must not be reused."""


class BoundedResponse(aiohttp.ClientResponse):
    """A response with a limited number of interim responses before it.

    Its connection can be closed even after the response was read: a short
    response is complete before its headers are checked, and aiohttp has
    returned its connection to the pool by then.

    Attributes:
        transport: Transport of the connection, once the head is being read.
    """

    transport: asyncio.Transport | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the response.

        Raises:
            EndlessResponse: Too many interim responses precede it.
        """
        self.transport = connection.transport
        protocol: Any = connection.protocol
        read = protocol.read
        left = _MAX_INTERIM_RESPONSES + 1

        async def read_limited() -> Any:
            nonlocal left
            if not left:
                raise EndlessResponse("too many interim responses")
            left -= 1
            return await read()

        # aiohttp reads all interim responses in one call, without a hook
        # between them.
        protocol.read = read_limited
        try:
            return await super().start(connection)
        finally:
            del protocol.read

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
    return b"".join(parts)
