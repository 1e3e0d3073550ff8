"""HTTP server for callers: parsing and checks of their requests."""

from collections.abc import Awaitable, Callable
import json
import logging
import re
import typing
from typing import Any
import urllib.parse
import uuid

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import refusal

_DEFAULT_TIMEOUT_S = 60.0

# Two HTTP implementations may interpret a duplicate of these differently.
_SINGLE_HEADERS = (
    "Authorization",
    "Content-Length",
    "Content-Type",
    "Host",
    "Idempotency-Key",
    "Transfer-Encoding",
    "X-Request-Id",
    "X-Request-Timeout",
)

# A target may interpret these as other separators or segments than the gateway
# did when it decided whether a call is retryable.
_UNSAFE_PATH = re.compile(
    r"%2[fF]|%5[cC]|%00|%(?![0-9a-fA-F]{2})|[\\#;\x00-\x20\x7f-\uffff]"
)

_REQUEST_ID = web.RequestKey("request_id", str)

_LOG = logging.getLogger(__name__)


class RequestHandler(typing.Protocol):
    """Serves requests after they were parsed."""

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Serves a request to a model route.

        Args:
            request: The HTTP request.
            document: Its body as JSON, with a string ``model``.
            body: Its body as received.
        """

    async def call(
        self, request: web.Request, route: str
    ) -> web.StreamResponse:
        """Serves a call to a service route; reads the body itself."""

    def models(self, request: web.Request) -> list[str]:
        """Returns the names of the routes that a caller may use."""

    def model_body_limit(self, request: web.Request) -> int:
        """Returns the largest body of any model route, in bytes.

        Raises:
            refusal.Refusal: The key is not valid.
        """

    def closing(self) -> bool:
        """Returns whether connections are closed after each response."""


def application(request_handler: RequestHandler) -> web.Application:
    """Returns the HTTP application for callers."""
    handlers = _HttpHandlers(request_handler)
    app = web.Application(middlewares=[_refusal_middleware])
    for path in ("chat/completions", "completions", "embeddings"):
        app.router.add_post(f"/v1/{path}", handlers.complete)
    app.router.add_get("/v1/models", handlers.models)
    app.router.add_route("*", "/services/{route}/{path:.*}", handlers.call)
    app.on_response_prepare.append(handlers.prepare)
    return app


def request_id(request: web.Request) -> str:
    """Returns the caller's request id, or a generated one if it is unusable."""
    known: str | None = request.get(_REQUEST_ID)
    if known is None:
        sent = request.headers.get("X-Request-Id", "")
        usable = 0 < len(sent) <= 128 and sent.isascii() and sent.isprintable()
        known = sent if usable else uuid.uuid4().hex
        request[_REQUEST_ID] = known
    return known


def request_timeout_s(request: web.Request, max_timeout_s: float) -> float:
    """Returns the timeout that the caller requested, in seconds.

    Args:
        request: The request; without a header the default is used.
        max_timeout_s: Upper limit of the result.

    Raises:
        refusal.Refusal: The header is not a positive number.
    """
    text = request.headers.get("X-Request-Timeout")
    if text is None:
        return min(_DEFAULT_TIMEOUT_S, max_timeout_s)
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise _invalid_header("X-Request-Timeout must be a positive number")
    return min(value, max_timeout_s)


def check_headers(request: web.Request) -> None:
    """Refuses ambiguous headers, by which requests could be smuggled.

    Raises:
        refusal.Refusal: A header is duplicated, or two headers conflict.
    """
    for name in _SINGLE_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise _invalid_header(f"{name} must occur once")
    if "Content-Length" in request.headers and (
        "Transfer-Encoding" in request.headers
    ):
        raise _invalid_header(
            "Content-Length and Transfer-Encoding exclude each other"
        )


def check_size(size_bytes: int, route: schema.Route) -> None:
    """Refuses a body that exceeds the limit of its route.

    Args:
        size_bytes: Size of the body.
        route: Route of the request.

    Raises:
        refusal.Refusal: The body is too large.
    """
    if size_bytes > route.max_body_bytes:
        raise refusal.Refusal(
            f"the body is larger than {route.max_body_bytes} bytes",
            status=413,
            code="body_too_large",
            step="parse",
        )


async def read_body(request: web.Request, limit_bytes: int) -> bytes:
    """Reads a body of at most ``limit_bytes``.

    Raises:
        refusal.Refusal: The body is larger.
    """
    too_large = refusal.Refusal(
        f"the body is larger than {limit_bytes} bytes",
        status=413,
        code="body_too_large",
        step="parse",
    )
    if (request.content_length or 0) > limit_bytes:
        raise too_large
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise too_large
        chunks.append(chunk)
    return b"".join(chunks)


def model_path(request: web.Request) -> str:
    """Returns the path and query that are sent to an engine."""
    query = request.rel_url.raw_query_string
    return f"{request.path}?{query}" if query else request.path


def service_path(request: web.Request, route: str) -> tuple[str, str]:
    """Returns the raw path with the query, and the decoded path.

    Args:
        request: Call to a service.
        route: Route of the call; its prefix is removed from both paths.

    Raises:
        refusal.Refusal: A target could interpret the path differently.
    """
    raw, separator, query = request.raw_path.partition("?")
    prefix = f"/services/{route}/"
    path = raw.removeprefix(prefix[:-1])
    decoded = urllib.parse.unquote(path)
    segments = decoded.split("/")[1:]
    if (
        not raw.startswith(prefix)
        or _UNSAFE_PATH.search(path)
        or any(segment in (".", "..") for segment in segments)
        or "" in segments[:-1]
    ):
        raise refusal.Refusal(
            "the path is ambiguous",
            status=400,
            code="invalid_path",
            step="parse",
        )
    return f"{path}{separator}{query}", decoded


def target_request(
    request: web.Request, *, path: str, body: bytes, priority: int
) -> forward.TargetRequest:
    """Returns the request to send to a target, without address and timeout.

    Raises:
        refusal.Refusal: The caller's key also occurs outside ``Authorization``
            and would reach the target.
    """
    outgoing = forward.TargetRequest(
        request_id=request_id(request),
        address="",
        method=request.method,
        path=path,
        headers=forward.filter_headers(request.headers),
        body=body,
        priority=priority,
        timeout_s=0.0,
    )
    key = request.headers.get("Authorization", "").partition(" ")[2].strip()
    if key and (
        key in path
        or key in outgoing.request_id
        or key.encode() in body
        or any(key in name + value for name, value in outgoing.headers.items())
    ):
        raise refusal.Refusal(
            "the key may occur in the Authorization header only",
            status=400,
            code="misplaced_key",
            step="parse",
        )
    return outgoing


class _HttpHandlers:
    def __init__(self, request_handler: RequestHandler) -> None:
        self._handler = request_handler

    async def complete(self, request: web.Request) -> web.StreamResponse:
        if request.headers.get("Content-Encoding", "identity") != "identity":
            raise _invalid_header("Content-Encoding is not supported")
        limit = self._handler.model_body_limit(request)
        body = await read_body(request, limit)
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise refusal.Refusal(
                f"the body is not valid JSON: {error}",
                status=400,
                code="invalid_json",
                step="parse",
            ) from error
        if not isinstance(document, dict) or not isinstance(
            document.get("model"), str
        ):
            raise refusal.Refusal(
                "the body must be an object with a string field 'model'",
                status=400,
                code="invalid_request",
                step="parse",
            )
        return await self._handler.complete(request, document, body)

    async def call(self, request: web.Request) -> web.StreamResponse:
        return await self._handler.call(request, request.match_info["route"])

    async def models(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model"}
                    for name in self._handler.models(request)
                ],
            },
            headers={"X-Request-Id": request_id(request)},
        )

    async def prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._handler.closing():
            response.force_close()
            response.headers["Connection"] = "close"


@web.middleware
async def _refusal_middleware(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    kind = "service" if request.path.startswith("/services/") else "model"
    try:
        check_headers(request)
        response = await handler(request)
        metrics.REQUESTS.labels(kind, str(response.status)).inc()
        return response
    except refusal.Refusal as error:
        failure = error
    except web.HTTPException as error:
        failure = refusal.Refusal(
            error.reason,
            status=404 if error.status < 500 else 503,
            code="not_found",
        )
    except Exception:
        _LOG.exception(
            "unhandled error while serving a request",
            extra={"request_id": request_id(request)},
        )
        failure = refusal.Refusal(
            "internal error",
            status=503,
            code="internal_error",
            not_run="unknown",
        )
    _LOG.info(
        "request refused: %s",
        failure,
        extra={
            "request_id": request_id(request),
            "step": failure.step,
            "peer": failure.peer,
            "code": failure.code,
        },
    )
    metrics.REQUESTS.labels(kind, str(failure.status)).inc()
    metrics.REFUSALS.labels(failure.code).inc()
    return failure.response(request_id(request))


def _invalid_header(message: str) -> refusal.Refusal:
    return refusal.Refusal(
        message, status=400, code="invalid_header", step="parse"
    )
