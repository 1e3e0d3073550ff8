"""State and behaviour that all stand-in targets share."""

import asyncio
import collections
import time
from typing import Any

import aiohttp
from aiohttp import web
import pydantic

from monsoonhinge.emulator import faults
from monsoonhinge.emulator import options

_KEPT_REQUESTS = 1000
_KEPT_PATHS = 1000
_KEPT_BODY_CHARS = 1000


class Target:
    """A target that announces itself and remembers what it received.

    Attributes:
        config: Settings.
        faults: Faults in effect.
        leaving: Whether it wants no new work.
        received: Headers of the latest requests.
        bodies: Bodies of the latest requests, cut.
        runs: Count of requests run, by method and path.
        running: Requests in progress.
        idle: Set while no request is in progress.
        cancelled: Requests whose caller closed the connection.
        incarnation: Number that grows with each start.
    """

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.faults = faults.Faults(config.initial_faults)
        self.leaving = False
        self.received: collections.deque[dict[str, str]] = collections.deque(
            maxlen=_KEPT_REQUESTS
        )
        self.bodies: collections.deque[str] = collections.deque(
            maxlen=_KEPT_REQUESTS
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.cancelled = 0
        self.incarnation = time.time_ns()
        self._sequence = 0

    def begin(self) -> None:
        """Counts a request that starts."""
        self.running += 1
        self.idle.clear()

    def end(self) -> None:
        """Counts a request that ends."""
        self.running -= 1
        if not self.running:
            self.idle.set()

    def record(self, request: web.Request, body: bytes) -> int:
        """Remembers a request; returns how often its path has run."""
        self.received.append(dict(request.headers))
        self.bodies.append(body[:_KEPT_BODY_CHARS].decode(errors="replace"))
        key = f"{request.method} {request.path}"
        if key not in self.runs and len(self.runs) >= _KEPT_PATHS:
            key = "other"
        self.runs[key] += 1
        return self.runs[key]

    def announcement(self) -> dict[str, Any]:
        """Returns the announcement as of now."""
        config = self.config
        return {
            "target": config.target,
            "incarnation": self.incarnation,
            "sequence": self._sequence,
            "kind": config.kind,
            "services": config.services,
            "availability_zone": config.availability_zone,
            "address": config.listen.model_dump(),
            "memory_bytes": config.memory_bytes,
            "checks_fencing": config.checks_fencing,
            "leaving": self.leaving,
        }

    def dump(self) -> dict[str, Any]:
        """Returns what tests look at."""
        return {
            "announcement": self.announcement(),
            "received": list(self.received),
            "bodies": list(self.bodies),
            "runs": self.runs,
            "running": self.running,
            "cancelled": self.cancelled,
            "faults": self.faults.document(),
        }

    async def announce_forever(self) -> None:
        """Posts announcements to one gateway after another."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(self.config.announce_s)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Posts one announcement to the first gateway that takes it."""
        gateways = self.config.gateways
        self._sequence += 1
        document = self.next_announcement()
        for number in range(len(gateways)):
            address = gateways[(self._sequence + number) % len(gateways)]
            try:
                async with session.post(
                    f"http://{address}/targets/announce",
                    json=document,
                    timeout=aiohttp.ClientTimeout(total=1),
                ) as response:
                    await response.read()
                    if response.status < 300:
                        return
            except (aiohttp.ClientError, TimeoutError):
                continue

    def next_announcement(self) -> dict[str, Any]:
        """Returns the announcement to post, with events since the last."""
        return self.announcement()


def add_fault_routes(app: web.Application, target: Target) -> None:
    """Adds ``POST /faults``, which replaces the faults in effect."""

    async def replace(request: web.Request) -> web.Response:
        try:
            target.faults.replace(faults.parse(await request.read()))
        except pydantic.ValidationError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(target.faults.document())

    app.router.add_post("/faults", replace)


def echo(target: Target, request: web.Request) -> dict[str, str]:
    """Returns the header that echoes the request id, or a wrong one."""
    request_id = request.headers.get("X-Request-Id", "")
    if target.faults.take("crossed", request.path):
        request_id = f"crossed-{request_id}"
    return {"X-Request-Id": request_id}


async def delay(target: Target, request: web.Request) -> None:
    """Waits if a delay is asked for."""
    fault = target.faults.take("delay", request.path)
    if fault is not None:
        await asyncio.sleep(fault.seconds)


async def send_truncated(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Sends half of a body that was announced whole, and cuts the link."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(body)
    response.content_type = "application/json"
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    cut(request)
    return response


def cut(request: web.Request) -> None:
    """Closes the connection at once, after what was written."""
    if request.transport is not None:
        request.transport.close()
