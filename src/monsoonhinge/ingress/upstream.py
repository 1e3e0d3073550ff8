"""HTTP from the ingress to targets."""

import asyncio
from collections.abc import AsyncIterator, Mapping

import aiohttp

from monsoonhinge.gateway import forward

# Shorter than the time after which targets close idle connections, so that
# requests rarely meet a connection that is being closed.
_KEEPALIVE_S = 4.0

_OWN_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

_STEP = "forward"


class Upstream:
    """Sends requests to targets."""

    def __init__(self) -> None:
        self._session = forward.open_session(keepalive_s=_KEEPALIVE_S)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def open(
        self,
        *,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> "Answer":
        """Sends a request and returns once the head of the answer is here.

        Raises:
            forward.NotSent: The target could not be reached.
            forward.AnswerLost: The connection broke after bytes may have left.
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
            skip_auto_headers=_OWN_HEADERS,
        )
        return Answer(response=response, method=method, peer=address)


class Answer:
    """An answer of a target; it must be closed.

    Attributes:
        status: HTTP status.
        headers: All headers.
        framed: Whether the end of the body can be told from a cut.
        peer: Address of the target.
    """

    def __init__(
        self, *, response: aiohttp.ClientResponse, method: str, peer: str
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self.framed = forward.is_delimited(method, response)
        self.peer = peer
        self._response = response

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            forward.AnswerLost: It broke off.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._lost(error) from error
        if not self.framed:
            raise forward.AnswerLost(
                "the answer has neither a length nor chunks",
                step="read",
                peer=self.peer,
            )

    async def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            forward.AnswerLost: It broke off.
        """
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Closes the connection unless the whole answer was read."""
        self._response.close()

    def drop(self) -> None:
        """Closes the connection so that nothing else is read from it."""
        forward.abort_connection(self._response)

    def _lost(self, error: Exception) -> forward.AnswerLost:
        return forward.AnswerLost(
            f"the answer broke off: {type(error).__name__}",
            step="read",
            peer=self.peer,
            timed_out=isinstance(error, TimeoutError | asyncio.TimeoutError),
        )
