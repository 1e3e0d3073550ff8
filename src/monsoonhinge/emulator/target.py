"""State and behavior that all emulated targets share."""

import asyncio
import collections
import time
from typing import Any

import aiohttp
from aiohttp import web
import pydantic

from monsoonhinge.emulator import faults
from monsoonhinge.emulator import options

_MAX_KEPT_REQUESTS = 1000
_MAX_COUNTED_PATHS = 1000
_MAX_KEPT_BODY_BYTES = 1000


class Target:
    """A target that announces itself and records the requests it receives.

    Attributes:
        config: Settings.
        faults: Injects the active faults.
        draining: Whether it announces that it accepts no new work.
        request_headers: Headers of the most recent requests.
        request_bodies: Bodies of the most recent requests, truncated.
        run_counts: Number of requests run, by method and path.
        running: Number of requests in progress.
        idle: Set while no request is in progress.
        cancelled_requests: Number of requests whose caller closed the
            connection.
        incarnation: Number that grows with each start.
    """

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.faults = faults.FaultInjector(config.initial_faults)
        self.draining = False
        self.request_headers: collections.deque[dict[str, str]] = (
            collections.deque(maxlen=_MAX_KEPT_REQUESTS)
        )
        self.request_bodies: collections.deque[str] = collections.deque(
            maxlen=_MAX_KEPT_REQUESTS
        )
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.cancelled_requests = 0
        self.incarnation = time.time_ns()
        self._sequence = 0

    def request_started(self) -> None:
        """Counts a request as in progress."""
        self.running += 1
        self.idle.clear()

    def request_ended(self) -> None:
        """Counts a request as ended; sets ``idle`` after the last one."""
        self.running -= 1
        if not self.running:
            self.idle.set()

    def record_request(self, request: web.Request, body: bytes) -> int:
        """Records a request and returns how often its method and path ran.

        Beyond a limit, further paths are counted together as ``other``.
        """
        self.request_headers.append(dict(request.headers))
        self.request_bodies.append(
            body[:_MAX_KEPT_BODY_BYTES].decode(errors="replace")
        )
        key = f"{request.method} {request.path}"
        if (
            key not in self.run_counts
            and len(self.run_counts) >= _MAX_COUNTED_PATHS
        ):
            key = "other"
        self.run_counts[key] += 1
        return self.run_counts[key]

    def announcement(self) -> dict[str, Any]:
        """Returns the current announcement."""
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
            "leaving": self.draining,
        }

    def dump(self) -> dict[str, Any]:
        """Returns the state for tests, with the requests received."""
        return {
            "announcement": self.announcement(),
            "received": list(self.request_headers),
            "bodies": list(self.request_bodies),
            "runs": self.run_counts,
            "running": self.running,
            "cancelled": self.cancelled_requests,
            "faults": self.faults.describe(),
        }

    async def announce_forever(self) -> None:
        """Posts announcements periodically, to the gateways in turn."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(self.config.announce_s)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Posts one announcement to the first gateway that accepts it."""
        gateways = self.config.gateways
        self._sequence += 1
        document = self.next_announcement()
        for offset in range(len(gateways)):
            address = gateways[(self._sequence + offset) % len(gateways)]
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
        """Returns the announcement to post, with events since the last one."""
        return self.announcement()


def add_fault_routes(app: web.Application, target: Target) -> None:
    """Adds ``POST /faults``, which replaces the active faults."""

    async def replace(request: web.Request) -> web.Response:
        try:
            target.faults.replace(faults.parse_faults(await request.read()))
        except pydantic.ValidationError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(target.faults.describe())

    app.router.add_post("/faults", replace)


def request_id_headers(target: Target, request: web.Request) -> dict[str, str]:
    """Returns the X-Request-Id header; ``crossed`` faults make it wrong."""
    request_id = request.headers.get("X-Request-Id", "")
    if target.faults.consume("crossed", request.path):
        request_id = f"crossed-{request_id}"
    return {"X-Request-Id": request_id}


async def apply_delay(target: Target, request: web.Request) -> None:
    """Waits as long as a ``delay`` fault demands, if one is active."""
    fault = target.faults.consume("delay", request.path)
    if fault is not None:
        await asyncio.sleep(fault.seconds)


async def send_truncated_body(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Sends half of the declared Content-Length and closes the connection."""
    response = web.StreamResponse(headers=headers)
    response.content_length = len(body)
    response.content_type = "application/json"
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    close_connection(request)
    return response


def close_connection(request: web.Request) -> None:
    """Closes the connection after sending the data already written."""
    if request.transport is not None:
        request.transport.close()
