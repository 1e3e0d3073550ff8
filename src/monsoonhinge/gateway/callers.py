"""HTTP from callers."""

from collections.abc import Awaitable, Callable
import json
import logging
import typing
from typing import Any
import uuid

from aiohttp import web

from monsoonhinge.gateway import refusal

_MAX_BODY_BYTES = 16 * 1024 * 1024
_DEFAULT_TIMEOUT_S = 60.0

_LOG = logging.getLogger(__name__)


class Service(typing.Protocol):
    """Runs requests whose form is correct."""

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Answers a request to a model."""

    async def call(
        self, request: web.Request, route: str, body: bytes
    ) -> web.StreamResponse:
        """Answers a call of a plain service."""

    def models(self, request: web.Request) -> list[str]:
        """Returns the names of the routes that a caller may use."""


def application(service: Service) -> web.Application:
    """Makes the HTTP application that callers use."""
    handlers = _Handlers(service)
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, middlewares=[_refusals]
    )
    for path in ("chat/completions", "completions", "embeddings"):
        app.router.add_post(f"/v1/{path}", handlers.complete)
    app.router.add_get("/v1/models", handlers.models)
    app.router.add_route("*", "/services/{route}/{path:.*}", handlers.call)
    return app


def request_id(request: web.Request) -> str:
    """Returns the request's id, made once if the caller sent none."""
    known: str | None = request.get("request_id")
    if known is None:
        sent = request.headers.get("X-Request-Id", "")
        usable = 0 < len(sent) <= 128 and sent.isascii() and sent.isprintable()
        known = sent if usable else uuid.uuid4().hex
        request["request_id"] = known
    return known


def timeout_of(request: web.Request, longest: float) -> float:
    """Returns the deadline a caller asked for, capped, in seconds.

    Raises:
        refusal.Refusal: The header is no positive number.
    """
    text = request.headers.get("X-Request-Timeout")
    if text is None:
        return min(_DEFAULT_TIMEOUT_S, longest)
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise refusal.Refusal(
            "X-Request-Timeout must be a positive number of seconds",
            status=400,
            code="invalid_header",
            step="parse",
        )
    return min(value, longest)


class _Handlers:
    def __init__(self, service: Service) -> None:
        self.service = service

    async def complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
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
        return await self.service.complete(request, document, body)

    async def call(self, request: web.Request) -> web.StreamResponse:
        return await self.service.call(
            request, request.match_info["route"], await request.read()
        )

    async def models(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model"}
                    for name in self.service.models(request)
                ],
            },
            headers={"X-Request-Id": request_id(request)},
        )


@web.middleware
async def _refusals(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except refusal.Refusal as error:
        failure = error
    except web.HTTPRequestEntityTooLarge:
        failure = refusal.Refusal(
            "the body is too large", status=413, code="body_too_large"
        )
    except web.HTTPException as error:
        if error.status < 400:
            raise
        failure = refusal.Refusal(
            error.reason, status=error.status, code="not_found"
        )
    except Exception:
        _LOG.exception(
            "request failed", extra={"request_id": request_id(request)}
        )
        failure = refusal.Refusal(
            "internal error",
            status=503,
            code="internal_error",
            not_run="unknown",
        )
    _LOG.info(
        "refused: %s",
        failure,
        extra={
            "request_id": request_id(request),
            "step": failure.step,
            "peer": failure.peer,
            "code": failure.code,
        },
    )
    return failure.response(request_id(request))
