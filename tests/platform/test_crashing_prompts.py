"""Tests of a prompt part that crashes each target which answers on it."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
from typing import Any

import aiohttp
from aiohttp import web

from tests.platform import test_path

_CRASHING_PART = "dead"
_RESTART_S = 0.2

# The rule: once five targets have crashed, at most three requests with the
# part may still reach a target.
_MAX_ARRIVALS = 5 + 3
_ROUNDS = 12


class CrashingServer(test_path.Server):
    """Crashes when it begins an answer on one prompt part, then restarts.

    Attributes:
        arrivals: Number of requests with the part that arrived.
        born: Start time of the current incarnation.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.arrivals = 0
        self.born = 1000
        self.restarts: set[asyncio.Task[None]] = set()
        self.deployment: Deployment | None = None
        self._listener: asyncio.Server | None = None
        self._server: web.Server | None = None

    async def start(self) -> None:
        self._server = web.Server(self.respond)
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, "127.0.0.1", self.port
        )

    async def stop(self) -> None:
        for restart in self.restarts:
            restart.cancel()
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            await self._server.shutdown(0)

    def announcement(self, sequence: int, **changes: Any) -> dict[str, Any]:
        return super().announcement(sequence, **({"born": self.born} | changes))

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a request like a sound server, or crashes."""
        prompt = request.headers.get("X-Prompt-Prefix", "")
        if _CRASHING_PART not in prompt:
            return await self._handle(request)
        self.arrivals += 1
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request.headers["X-Request-Id"],
                "X-Server-Signature": f"by-{self.name}",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        self._crash()
        return response

    def _crash(self) -> None:
        assert self._listener is not None
        assert self._server is not None
        self._listener.close()
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        restart = asyncio.get_running_loop().create_task(self._restart())
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(_RESTART_S)
        self.born += 1
        await self.start()
        assert self.deployment is not None
        await self.deployment.announce(self)


class Deployment(test_path.TwoGateways):
    """Two gateways and two servers that may crash."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.crashing_servers = [CrashingServer("s1"), CrashingServer("s2")]
        self.servers = list(self.crashing_servers)
        for server in self.crashing_servers:
            server.deployment = self

    def arrivals(self) -> int:
        """Returns how many requests with the part reached a server."""
        return sum(server.arrivals for server in self.crashing_servers)

    async def send_crashing(self, number: int) -> int:
        """Sends a request with the part; returns the status, 0 if it broke."""
        return await self.send_prompt(
            number, f"aa:10,{_CRASHING_PART}:5,c{number}:5"
        )

    async def send_prompt(self, number: int, prompt: str) -> int:
        """Sends a request to one of the gateways in turn."""
        try:
            status, _, _ = await self.send_request(
                f"{prompt}-{number}", prompt=prompt, port=self.port_of(number)
            )
        except aiohttp.ClientError:
            return 0
        return status

    async def servers_are_back(self) -> bool:
        return not any(server.restarts for server in self.crashing_servers)


@contextlib.asynccontextmanager
async def _running(path: pathlib.Path) -> AsyncIterator[Deployment]:
    deployment = Deployment(path)
    async with test_path.run_deployment(deployment):
        await deployment.remove_rates()
        yield deployment


async def _crash_repeatedly(deployment: Deployment) -> list[int]:
    """Sends sound and crashing requests in turn; returns the sound statuses."""
    sound = []
    for number in range(_ROUNDS):
        await deployment.send_crashing(number)
        await test_path.wait_until(deployment.servers_are_back)
        sound.append(await deployment.send_prompt(number, f"aa:10,d{number}:5"))
    return sound


def test_prompt_part_that_crashes_targets_reaches_no_more_of_them(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against one target after the other that one part crashes."""

    async def run() -> None:
        async with _running(tmp_path) as deployment:
            await _crash_repeatedly(deployment)
            assert deployment.arrivals() <= _MAX_ARRIVALS
            assert await deployment.send_crashing(_ROUNDS) == 503

    asyncio.run(run())


def test_requests_that_share_other_parts_go_on(tmp_path: pathlib.Path) -> None:
    """Guards against sound requests refused for the team or the first part."""

    async def run() -> None:
        async with _running(tmp_path) as deployment:
            sound = await _crash_repeatedly(deployment)
            assert sound[-3:] == [200, 200, 200]

    asyncio.run(run())
