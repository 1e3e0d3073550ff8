"""Answers of a stand-in engine to model requests."""

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

_KEPT_STREAMS = 1000
_DEFAULT_TOKENS = 8


class Generator:
    """Generates tokens that name their request and position.

    Attributes:
        engine: The engine.
    """

    def __init__(self, engine: engines.Engine) -> None:
        self.engine = engine
        self._streams: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    async def receive(self, request: web.Request) -> web.StreamResponse:
        """Answers a request to a model."""
        engine = self.engine
        body = await request.read()
        document = json.loads(body)
        replica = engine.find(document["model"])
        if replica is None or engine.faults.take("refused", request.path):
            # Sent before anything ran, so the gateway may go elsewhere.
            return web.Response(
                status=503 if replica else 404,
                text="not run",
                headers=targets.echo(engine, request),
            )
        engine.begin()
        try:
            await replica.slots.acquire(_priority(request))
            try:
                return await self._run(request, document, body)
            finally:
                replica.slots.release()
        except (asyncio.CancelledError, ConnectionError):
            engine.cancelled += 1
            raise
        finally:
            engine.end()

    async def _run(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        self.engine.record(request, body)
        await targets.delay(self.engine, request)
        await self._prefill(document)
        if document.get("stream"):
            return await self._stream(request, document)
        return await self._whole(request, document)

    async def _prefill(self, document: dict[str, Any]) -> None:
        config = self.engine.config
        known = prefixes.prefix_hashes(
            document["model"], prefixes.extract_prompt(document)
        )
        share = self.engine.prefixes.use(list(known), time.monotonic())
        gain = (config.first_token_s - config.cached_first_token_s) * share
        await asyncio.sleep(config.first_token_s - max(0.0, gain))

    async def _whole(
        self, request: web.Request, document: dict[str, Any]
    ) -> web.StreamResponse:
        count = _token_count(document)
        await asyncio.sleep(self.engine.config.token_s * count)
        text = " ".join(f"word{number}" for number in range(count))
        answer = {
            "object": "chat.completion",
            "model": document["model"],
            "choices": [{"message": {"role": "assistant", "content": text}}],
            "usage": {
                "prompt_tokens": len(prefixes.extract_prompt(document)) // 4,
                "completion_tokens": count,
            },
        }
        body = json.dumps(answer).encode()
        headers = targets.echo(self.engine, request)
        if self.engine.faults.take("truncated", request.path):
            return await targets.send_truncated(request, body, headers)
        return web.Response(
            body=body, content_type="application/json", headers=headers
        )

    async def _stream(
        self, request: web.Request, document: dict[str, Any]
    ) -> web.StreamResponse:
        count = _token_count(document)
        headers = targets.echo(self.engine, request)
        request_id = request.headers.get("X-Request-Id", "")
        first = self._resume_at(request, request_id)
        dropped = self.engine.faults.take("dropped", request.path)
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", **headers}
        )
        await response.prepare(request)
        for number in range(first, count):
            if dropped and number >= count // 2:
                targets.cut(request)
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

    def _resume_at(self, request: web.Request, request_id: str) -> int:
        """Returns the position of the first token to send."""
        last = request.headers.get("Last-Event-ID", "")
        known = request_id in self._streams
        self._streams[request_id] = 0
        if len(self._streams) > _KEPT_STREAMS:
            self._streams.popitem(last=False)
        return int(last) + 1 if known and last.isdecimal() else 0


def _priority(request: web.Request) -> int:
    text = request.headers.get("X-Priority", "")
    return int(text) if text.lstrip("-").isdecimal() else 0


def _token_count(document: dict[str, Any]) -> int:
    return int(document.get("max_tokens") or _DEFAULT_TOKENS)


def application(
    engine: engines.Engine, received: orders.Orders
) -> web.Application:
    """Makes the HTTP application of the engine."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    targets.add_fault_routes(app, engine)
    app.router.add_post("/orders", received.receive)
    app.router.add_post("/v1/{tail:.*}", Generator(engine).receive)
    return app
