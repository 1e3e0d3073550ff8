"""Tests of targets that name how many requests per second they accept."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib

from aiohttp import web

from tests.platform import test_path

_LIMIT_PER_S = 3.0
_LOAD_PER_S = 20.0
_LOAD_S = 6.0

# The rule: in a window, a target gets at most one and a half times what its
# limit allows, and some requests more. Gateways have this long to learn it.
_WINDOW_S = 4.0
_MAX_IN_WINDOW = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
_LEARNING_S = 0.5


class LimitedServer(test_path.Server):
    """Names a rate limit in its responses.

    Attributes:
        rate_limit: Value of the header, or "" to name no limit.
        arrived_at: Times at which requests arrived.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.rate_limit = ""
        self.arrived_at: list[float] = []
        self.first_named_at: float | None = None

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if not request.path.startswith("/monsoonhinge/"):
            self.arrived_at.append(asyncio.get_running_loop().time())
        return await super()._handle(request)

    def response_headers(self) -> dict[str, str]:
        if not self.rate_limit:
            return {}
        if self.first_named_at is None:
            self.first_named_at = asyncio.get_running_loop().time()
        return {"Server-Limit": self.rate_limit}

    def most_in_window(self) -> int:
        """Returns the most requests in a window after gateways knew."""
        assert self.first_named_at is not None
        known_at = self.first_named_at + _LEARNING_S
        times = [at for at in self.arrived_at if at >= known_at]
        return max(
            (
                sum(start <= at <= start + _WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )


class Deployment(test_path.TwoGateways):
    """Two gateways and two servers that may name a limit.

    Attributes:
        limited_servers: The servers.
    """

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.limited_servers = [LimitedServer("s1"), LimitedServer("s2")]
        self.servers = list(self.limited_servers)

    async def send_load(self) -> list[int]:
        """Sends requests to both gateways in turn; returns the statuses."""
        requests = []
        for number in range(int(_LOAD_PER_S * _LOAD_S)):
            port = self.port_of(number)
            requests.append(
                asyncio.create_task(self.send_request(f"r{number}", port=port))
            )
            await asyncio.sleep(1 / _LOAD_PER_S)
        answers = await asyncio.gather(*requests)
        return [status for status, _, _ in answers]


@contextlib.asynccontextmanager
async def _running(path: pathlib.Path) -> AsyncIterator[Deployment]:
    deployment = Deployment(path)
    async with test_path.run_deployment(deployment):
        await deployment.remove_rates()
        yield deployment


def test_targets_get_no_more_requests_than_the_limit_that_they_name(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a target in need that gets its usual load."""

    async def run() -> None:
        async with _running(tmp_path) as deployment:
            for server in deployment.limited_servers:
                server.rate_limit = str(_LIMIT_PER_S)
            statuses = await deployment.send_load()
            for server in deployment.limited_servers:
                assert server.most_in_window() <= _MAX_IN_WINDOW
            served = statuses.count(200)
            # Both targets together accept 36 requests in this time.
            assert served >= _LIMIT_PER_S * _LOAD_S
            assert set(statuses) <= {200, 503}

    asyncio.run(run())


def test_target_gets_its_usual_load_after_it_names_no_limit(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a limit that outlasts the need of its target."""

    async def run() -> None:
        async with _running(tmp_path) as deployment:
            for server in deployment.limited_servers:
                server.rate_limit = "1"
            await asyncio.gather(
                *(deployment.send_request(f"a{n}") for n in range(2))
            )
            for server in deployment.limited_servers:
                server.rate_limit = ""
            statuses = await deployment.send_load()
            assert statuses.count(200) >= 0.9 * len(statuses)

    asyncio.run(run())
