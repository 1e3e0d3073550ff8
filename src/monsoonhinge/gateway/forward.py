"""HTTP client for requests to targets."""

from collections.abc import AsyncIterator, Iterable, Mapping
import dataclasses

import aiohttp
import multidict
import yarl

from monsoonhinge.runtime import errors
from monsoonhinge.targets import bounded_http
from monsoonhinge.targets import connections
from monsoonhinge.targets import response_head
from monsoonhinge.targets import single_send

_CHUNK_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_S = 15.0

# Hop-by-hop fields (RFC 9110 section 7.6.1), fields that this system sets
# itself, and fields that carry secrets of the caller.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "set-cookie",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-api-key",
        "x-priority",
        "x-request-id",
        "x-request-timeout",
    }
)
_DROPPED_HEADER_PREFIX = "x-monsoonhinge-"


class NotSent(errors.MonsoonhingeError):
    """No byte of the request was sent to the target."""


class AnswerLost(errors.MonsoonhingeError):
    """The request may have run, but its response is missing or incomplete.

    Attributes:
        timed_out: Whether the timeout of the response expired.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, timed_out: bool = False
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.timed_out = timed_out


@dataclasses.dataclass(slots=True)
class TargetRequest:
    """A request to be sent to a target.

    Attributes:
        request_id: Id that the target must echo.
        address: Address of the target, ``host:port``.
        method: HTTP method.
        path: Raw path with query, percent-encoded as the caller sent it.
        headers: Headers of the caller, not yet filtered.
        body: Whole body.
        priority: Priority at the engine; higher runs first.
        timeout_s: Seconds until the whole response must have arrived.
    """

    request_id: str
    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    priority: int
    timeout_s: float


def open_session(*, keepalive_s: float) -> aiohttp.ClientSession:
    """Returns a session for requests to targets; requires a running loop.

    Args:
        keepalive_s: Seconds for which an idle connection is kept for reuse.
    """
    return aiohttp.ClientSession(
        connector=connections.CleanConnector(
            limit=0, keepalive_timeout=keepalive_s
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=bounded_http.BoundedResponse,
        auto_decompress=False,
        middlewares=(single_send.send_once,),
    )


async def open_response(
    session: aiohttp.ClientSession,
    *,
    method: str,
    address: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes | None,
    timeout_s: float,
    step: str,
    skip_auto_headers: Iterable[str] = (),
) -> aiohttp.ClientResponse:
    """Sends a request and returns once the response headers have arrived.

    Raises:
        NotSent: The target could not be reached.
        AnswerLost: The connection failed after bytes may have been sent, or
            the head of the response is malformed.
    """
    try:
        return await session.request(
            method,
            yarl.URL(f"http://{address}{path}", encoded=True),
            data=body,
            headers=headers,
            allow_redirects=False,
            skip_auto_headers=skip_auto_headers,
            timeout=aiohttp.ClientTimeout(
                total=timeout_s, connect=_CONNECT_TIMEOUT_S
            ),
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise NotSent(
            f"cannot connect: {error}", step=step, peer=address
        ) from error
    except response_head.MalformedHeadError as error:
        raise AnswerLost(
            f"malformed answer: {error}", step=step, peer=address
        ) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise AnswerLost(
            f"no answer: {type(error).__name__}",
            step=step,
            peer=address,
            timed_out=isinstance(error, TimeoutError),
        ) from error


class TargetClient:
    """Sends requests to targets over pooled connections."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self.session = session

    @classmethod
    def create(cls) -> "TargetClient":
        """Returns a client with a new session; requires a running loop."""
        return cls(session=open_session(keepalive_s=_KEEPALIVE_S))

    async def close(self) -> None:
        """Closes the session with all its connections."""
        await self.session.close()

    async def send(self, request: TargetRequest) -> "TargetResponse":
        """Sends a request and returns once the response headers have arrived.

        The caller must close the response.

        Raises:
            NotSent: The target could not be reached.
            AnswerLost: The connection failed after bytes may have been sent,
                or the response belongs to another request.
        """
        headers = filter_headers(request.headers)
        headers["X-Request-Id"] = request.request_id
        headers["X-Priority"] = str(request.priority)
        step = "forward"
        response = await open_response(
            self.session,
            method=request.method,
            address=request.address,
            path=request.path,
            headers=headers,
            body=request.body,
            timeout_s=request.timeout_s,
            step=step,
        )
        if response.headers.get("X-Request-Id") != request.request_id:
            abort_connection(response)
            raise AnswerLost(
                "the X-Request-Id of the answer is not that of the request",
                step=step,
                peer=request.address,
            )
        return TargetResponse(response=response, peer=request.address)


class TargetResponse:
    """Response of a target; it must be closed.

    Attributes:
        status: HTTP status.
        headers: Headers that may be passed to the caller.
        length: Content-Length in bytes, or None.
        peer: Address of the target.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, peer: str) -> None:
        self.status = response.status
        self.headers = filter_headers(response.headers)
        self.length = response.content_length
        self._response = response
        self.peer = peer

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AnswerLost: The body ended early.
        """
        try:
            async for chunk in self._response.content.iter_chunked(
                _CHUNK_BYTES
            ):
                yield chunk
            check_end(self._response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise AnswerLost(
                f"answer ended early: {type(error).__name__}",
                step="read",
                peer=self.peer,
                timed_out=isinstance(error, TimeoutError),
            ) from error

    def close(self) -> None:
        """Closes the connection unless the whole response was read."""
        self._response.close()


def abort_connection(response: aiohttp.ClientResponse) -> None:
    """Closes the connection of a response, so that it is not reused.

    Args:
        response: Response of a session made by ``open_session``.
    """
    assert isinstance(response, bounded_http.BoundedResponse)
    response.abort()


def check_end(response: aiohttp.ClientResponse) -> None:
    """Checks the end of a body that has been read.

    Args:
        response: Response of a session made by ``open_session``.

    Raises:
        aiohttp.ClientPayloadError: The body may be truncated.
    """
    assert isinstance(response, bounded_http.BoundedResponse)
    response.check_end()


def filter_headers(headers: Mapping[str, str]) -> multidict.CIMultiDict[str]:
    """Returns the headers that may be passed between caller and target."""
    connection_options = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in _DROPPED_HEADERS
        and lower not in connection_options
        and not lower.startswith(_DROPPED_HEADER_PREFIX)
    )
