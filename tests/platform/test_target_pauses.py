"""Tests of targets that ask for a pause in which they get no requests."""

import asyncio
import pathlib

from aiohttp import web

from tests.platform import test_path

_PAUSE_S = 1.5

# Requests that were on their way when a target asked for the pause.
_MAX_IN_FLIGHT = 2


class PausingServer(test_path.Server):
    """A server that may refuse requests and ask for a pause.

    Attributes:
        retry_after: Value of the header with which it refuses, or "".
        refused_at: Times at which it refused requests.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.retry_after = ""
        self.refused_at: list[float] = []

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self.retry_after and not request.path.startswith("/monsoonhinge/"):
            self.refused_at.append(asyncio.get_running_loop().time())
            return web.Response(
                status=503,
                headers={
                    "X-Not-Executed": "1",
                    "X-Request-Id": request.headers["X-Request-Id"],
                    "Retry-After": self.retry_after,
                },
            )
        return await super()._handle(request)


class Deployment(test_path.Deployment):
    """A gateway and two servers that may ask for a pause."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.pausing, self.other = PausingServer("s1"), PausingServer("s2")
        self.servers = [self.pausing, self.other]


def test_target_gets_no_requests_during_the_pause_it_asked_for(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a target that is hammered while it is in need."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            deployment.pausing.retry_after = str(_PAUSE_S)
            for number in range(30):
                status, _, _ = await deployment.send_request(f"r{number}")
                assert status == 200
                await asyncio.sleep(0.03)
            refused_at = deployment.pausing.refused_at
            assert refused_at
            during_pause = [
                at for at in refused_at if at < refused_at[0] + _PAUSE_S
            ]
            assert len(during_pause) <= _MAX_IN_FLIGHT
            # Its model is not taken for missing.
            target = deployment.gateway.targets.by_name["s1"]
            assert not target.missing_until
            deployment.pausing.retry_after = ""

            async def is_used() -> bool:
                await deployment.send_request("later")
                return bool(deployment.pausing.runs)

            await test_path.wait_until(is_used)

    asyncio.run(run())


def test_request_is_refused_at_once_if_all_targets_pause_too_long(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request held to its end, and an untrue Retry-After."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            for server in (deployment.pausing, deployment.other):
                server.retry_after = "20"
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            status, headers, _ = await deployment.send_request("r1")
            assert status == 503
            assert loop.time() - started_at < 1.0
            assert 15.0 < float(headers["Retry-After"]) <= 20.0

    asyncio.run(run())
