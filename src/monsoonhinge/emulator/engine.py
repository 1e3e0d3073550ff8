"""Stand-in for a model engine."""

import asyncio
import dataclasses
import json
import time
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.emulator import options

_RECENT_ORDERS = 256


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica on the engine."""

    model: str
    version: str
    order_id: str
    state: str = "loading"
    adapters: set[str] = dataclasses.field(default_factory=set)
    running: int = 0


class Target:
    """State that engines and services share.

    Attributes:
        received: Headers of every request, for tests.
        runs: Count of requests run, by method and path.
    """

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.incarnation = time.time_ns()
        self.sequence = 0
        self.leaving = False
        self.fencing = 0
        self.replicas: dict[str, Replica] = {}
        self.outcomes: dict[str, dict[str, str]] = {}
        self.received: list[dict[str, str]] = []
        self.runs: dict[str, int] = {}

    def announcement(self) -> dict[str, Any]:
        """Returns the next announcement."""
        self.sequence += 1
        config = self.config
        return {
            "target": config.target,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "kind": config.kind,
            "services": config.services,
            "availability_zone": config.availability_zone,
            "address": config.listen.model_dump(),
            "memory_bytes": config.memory_bytes,
            "checks_fencing": config.checks_fencing,
            "fencing": self.fencing,
            "leaving": self.leaving,
            "replicas": [
                {
                    "model": replica.model,
                    "version": replica.version,
                    "state": replica.state,
                    "order_id": replica.order_id,
                    "adapters": sorted(replica.adapters),
                    "running": replica.running,
                }
                for replica in self.replicas.values()
            ],
            "orders": list(self.outcomes.values())[-_RECENT_ORDERS:],
        }

    def record(self, request: web.Request) -> None:
        """Remembers a request for tests."""
        self.received.append(dict(request.headers))
        key = f"{request.method} {request.path}"
        self.runs[key] = self.runs.get(key, 0) + 1

    async def announce_forever(self) -> None:
        """Posts announcements to one gateway after another."""
        async with aiohttp.ClientSession() as session:
            gateways = self.config.gateways
            while True:
                address = gateways[self.sequence % len(gateways)]
                await self._announce(session, f"http://{address}")
                await asyncio.sleep(self.config.announce_s)

    async def _announce(self, session: aiohttp.ClientSession, url: str) -> None:
        try:
            async with session.post(
                f"{url}/targets/announce",
                json=self.announcement(),
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return


def engine_application(target: Target) -> web.Application:
    """Makes the HTTP application of a stand-in engine."""
    tasks: set[asyncio.Task[None]] = set()

    async def order(request: web.Request) -> web.Response:
        document = await request.json()
        order_id = document["order_id"]
        if target.config.checks_fencing and (
            document["fencing"] < target.fencing
        ):
            return web.Response(status=409, text="old fencing number")
        target.fencing = max(target.fencing, document["fencing"])
        if order_id not in target.outcomes:
            target.outcomes[order_id] = {
                "order_id": order_id,
                "outcome": "done",
            }
            task = asyncio.get_running_loop().create_task(
                _execute(target, document)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        return web.Response(status=202)

    async def complete(request: web.Request) -> web.StreamResponse:
        target.record(request)
        document = await request.json()
        replica = _find(target, document["model"])
        if replica is None:
            return web.Response(status=404, text="model is not loaded")
        replica.running += 1
        try:
            return await _generate(target, request, document)
        finally:
            replica.running -= 1

    app = web.Application()
    app.router.add_post("/orders", order)
    app.router.add_post("/v1/{tail:.*}", complete)
    return app


def service_application(target: Target) -> web.Application:
    """Makes the HTTP application of a stand-in plain service."""

    async def call(request: web.Request) -> web.Response:
        target.record(request)
        body = await request.read()
        await asyncio.sleep(target.config.service_s)
        return web.json_response(
            {
                "path": request.path,
                "runs": target.runs[f"{request.method} {request.path}"],
                "received": body.decode(errors="replace"),
            },
            headers=_echo(request),
        )

    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", call)
    return app


def _echo(request: web.Request) -> dict[str, str]:
    return {"X-Request-Id": request.headers.get("X-Request-Id", "")}


def _find(target: Target, name: str) -> Replica | None:
    for replica in target.replicas.values():
        if replica.state == "loaded" and (
            replica.model == name or name in replica.adapters
        ):
            return replica
    return None


async def _execute(target: Target, document: dict[str, Any]) -> None:
    config = target.config
    match document["action"]:
        case "load":
            replica = Replica(
                model=document["model"],
                version=document["model_version"],
                order_id=document["order_id"],
            )
            target.replicas[replica.order_id] = replica
            await asyncio.sleep(config.load_s)
            replica.state = "loaded"
        case "unload":
            target.replicas.pop(document["replica"], None)
        case "load_adapter":
            await asyncio.sleep(config.adapter_load_s)
            found = target.replicas.get(document["replica"])
            if found is not None:
                found.adapters.add(document["adapter"])
        case "unload_adapter":
            found = target.replicas.get(document["replica"])
            if found is not None:
                found.adapters.discard(document["adapter"])


async def _generate(
    target: Target, request: web.Request, document: dict[str, Any]
) -> web.StreamResponse:
    count = int(document.get("max_tokens", 8))
    words = [f"word{number}" for number in range(count)]
    message = {"role": "assistant", "content": " ".join(words)}
    await asyncio.sleep(target.config.first_token_s)
    if not document.get("stream"):
        await asyncio.sleep(target.config.token_s * count)
        return web.json_response(
            {
                "object": "chat.completion",
                "model": document["model"],
                "choices": [{"message": message}],
                "usage": {"completion_tokens": count},
            },
            headers=_echo(request),
        )
    response = web.StreamResponse(
        headers={"Content-Type": "text/event-stream", **_echo(request)}
    )
    await response.prepare(request)
    for word in words:
        event = {"choices": [{"delta": {"content": word}}]}
        await response.write(f"data: {json.dumps(event)}\n\n".encode())
        await asyncio.sleep(target.config.token_s)
    await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response
