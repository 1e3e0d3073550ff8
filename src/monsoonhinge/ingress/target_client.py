"""HTTP client of the ingress for targets."""

import asyncio
from collections.abc import AsyncIterator, Mapping

import aiohttp

from monsoonhinge.gateway import forward
from monsoonhinge.targets import bounded_http

# Shorter than the idle timeout of the targets, so that requests are rarely sent
# on a connection that the target is closing.
_KEEPALIVE_S = 4.0

# A response that is not a stream is buffered until it is complete.
_MAX_BUFFERED_BYTES = 4 * 1024 * 1024

_CONNECT_CHECK_TIMEOUT_S = 1.0

_SUPPRESSED_DEFAULT_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)

_STEP = "forward"


class TargetClient:
    """Sends requests to targets over pooled connections."""

    def __init__(self) -> None:
        self._session = forward.open_session(keepalive_s=_KEEPALIVE_S)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether nothing listens at the address of a target."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(_CONNECT_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def send(
        self,
        *,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> "TargetResponse":
        """Sends a request and returns once the response headers arrive.

        Raises:
            forward.NotSent: The connection could not be established.
            forward.AnswerLost: The connection failed after a part of the
                request may have been sent.
        """
        response = await forward.open_response(
            self._session,
            method=method,
            address=address,
            path=path,
            headers=headers,
            body=body or None,
            timeout_s=timeout_s,
            step=_STEP,
            skip_auto_headers=_SUPPRESSED_DEFAULT_HEADERS,
        )
        return TargetResponse(response=response, peer=address)


class TargetResponse:
    """Response of a target; the user must close it.

    Attributes:
        status: HTTP status.
        headers: All headers of the response.
        peer: Address of the target.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, peer: str) -> None:
        self.status = response.status
        self.headers = response.headers
        self.peer = peer
        self._response = response

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            forward.AnswerLost: The body is incomplete.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
            forward.check_end(self._response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._lost_response_error(error) from error

    async def body(self) -> bytes:
        """Returns the complete body.

        Raises:
            forward.AnswerLost: See ``chunks``, or the body is too large to be
                buffered.
        """
        try:
            return await bounded_http.read_body(
                self._response, max_bytes=_MAX_BUFFERED_BYTES
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._lost_response_error(error) from error

    def close(self) -> None:
        """Closes the connection unless the complete response was read."""
        self._response.close()

    def abort(self) -> None:
        """Closes the connection and discards unread data."""
        forward.abort_connection(self._response)

    def _lost_response_error(self, error: Exception) -> forward.AnswerLost:
        return forward.AnswerLost(
            f"the response is incomplete: {type(error).__name__}",
            step="read",
            peer=self.peer,
            timed_out=isinstance(error, TimeoutError | asyncio.TimeoutError),
        )
