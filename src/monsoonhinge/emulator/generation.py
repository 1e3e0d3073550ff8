"""Responses of an emulated engine to model requests."""

import asyncio
import collections
import json
import time
from typing import Any

from aiohttp import web

from monsoonhinge.emulator import engine as engines
from monsoonhinge.emulator import orders
from monsoonhinge.emulator import target as targets
from monsoonhinge.targets import prefixes

_MAX_KNOWN_STREAMS = 1000
_DEFAULT_MAX_TOKENS = 8


class ModelRequestHandler:
    """Generates responses whose tokens contain their position.

    Attributes:
        engine: The engine.
    """

    def __init__(self, engine: engines.Engine) -> None:
        self.engine = engine
        self._known_streams: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Responds to a request for a model."""
        engine = self.engine
        body = await request.read()
        document = json.loads(body)
        replica = engine.find_replica(document["model"])
        if replica is None or engine.faults.consume("refused", request.path):
            # The request has not run, so the gateway may retry it elsewhere.
            return web.Response(
                status=503 if replica else 404,
                text="not run",
                headers=targets.request_id_headers(engine, request),
            )
        engine.request_started()
        try:
            await replica.slots.acquire(_priority(request))
            try:
                return await self._generate(request, document, body)
            finally:
                replica.slots.release()
        except (asyncio.CancelledError, ConnectionError):
            engine.cancelled_requests += 1
            raise
        finally:
            engine.request_ended()

    async def _generate(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        self.engine.record_request(request, body)
        await targets.apply_delay(self.engine, request)
        await self._prefill(document)
        if document.get("stream"):
            return await self._send_stream(request, document)
        return await self._send_response(request, document)

    async def _prefill(self, document: dict[str, Any]) -> None:
        config = self.engine.config
        prompt_prefixes = prefixes.prefix_hashes(
            document["model"], prefixes.extract_prompt(document)
        )
        cached_fraction = self.engine.prefix_cache.lookup_and_store(
            list(prompt_prefixes), time.monotonic()
        )
        saved_s = (
            config.first_token_s - config.cached_first_token_s
        ) * cached_fraction
        await asyncio.sleep(config.first_token_s - max(0.0, saved_s))

    async def _send_response(
        self, request: web.Request, document: dict[str, Any]
    ) -> web.StreamResponse:
        count = _token_count(document)
        await asyncio.sleep(self.engine.config.token_s * count)
        text = " ".join(f"word{number}" for number in range(count))
        response_document = {
            "object": "chat.completion",
            "model": document["model"],
            "choices": [{"message": {"role": "assistant", "content": text}}],
            "usage": {
                "prompt_tokens": len(prefixes.extract_prompt(document)) // 4,
                "completion_tokens": count,
            },
        }
        body = json.dumps(response_document).encode()
        headers = targets.request_id_headers(self.engine, request)
        if self.engine.faults.consume("truncated", request.path):
            return await targets.send_truncated_body(request, body, headers)
        return web.Response(
            body=body, content_type="application/json", headers=headers
        )

    async def _send_stream(
        self, request: web.Request, document: dict[str, Any]
    ) -> web.StreamResponse:
        count = _token_count(document)
        headers = targets.request_id_headers(self.engine, request)
        request_id = request.headers.get("X-Request-Id", "")
        first = self._first_position(request, request_id)
        dropped = self.engine.faults.consume("dropped", request.path)
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", **headers}
        )
        await response.prepare(request)
        for number in range(first, count):
            if dropped and number >= count // 2:
                targets.close_connection(request)
                return response
            event = {
                "id": request_id,
                "choices": [{"delta": {"content": f"word{number} "}}],
            }
            await response.write(
                f"id: {number}\ndata: {json.dumps(event)}\n\n".encode()
            )
            await asyncio.sleep(self.engine.config.token_s)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _first_position(self, request: web.Request, request_id: str) -> int:
        """Returns the position of the first token to send.

        A known stream resumes after the token named by ``Last-Event-ID``.
        """
        last = request.headers.get("Last-Event-ID", "")
        is_known = request_id in self._known_streams
        self._known_streams[request_id] = 0
        if len(self._known_streams) > _MAX_KNOWN_STREAMS:
            self._known_streams.popitem(last=False)
        return int(last) + 1 if is_known and last.isdecimal() else 0


def _priority(request: web.Request) -> int:
    text = request.headers.get("X-Priority", "")
    return int(text) if text.lstrip("-").isdecimal() else 0


def _token_count(document: dict[str, Any]) -> int:
    return int(document.get("max_tokens") or _DEFAULT_MAX_TOKENS)


def create_application(
    engine: engines.Engine, order_executor: orders.OrderExecutor
) -> web.Application:
    """Creates the HTTP application of the engine."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    targets.add_fault_routes(app, engine)
    app.router.add_post("/orders", order_executor.handle)
    app.router.add_post("/v1/{tail:.*}", ModelRequestHandler(engine).handle)
    return app
