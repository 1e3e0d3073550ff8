"""Tests of targets that answer slowly while the retry budget is used up."""

import asyncio
import pathlib

from aiohttp import web
import pytest

from monsoonhinge.ingress import timeouts
from tests.platform import test_path
from tests.platform import test_translation

# Time to the head of the response, and between events.
_SLOW_S = 0.4
_TIMEOUT_S = 0.1


class SlowServer(test_path.Server):
    """A server that sends the head of its responses late.

    Attributes:
        arrivals: Number of requests that arrived.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.arrivals = 0

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if not request.path.startswith("/monsoonhinge/"):
            self.arrivals += 1
            await asyncio.sleep(_SLOW_S)
        return await super()._handle(request)


class Deployment(test_path.Deployment):
    """A gateway without retry budget, and two slow servers."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.servers = [SlowServer("s1"), SlowServer("s2")]
        for server in self.servers:
            server.event_interval_s = _SLOW_S
        self.gateway.retry_budget.ratio = 0.0
        self.gateway.retry_budget.extra = 0.0


def _shorten_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("_MIN_STREAM_ATTEMPT_TIMEOUT_S", "_MIN_EVENT_TIMEOUT_S"):
        monkeypatch.setattr(timeouts, name, _TIMEOUT_S)
    for name in ("_ATTEMPT_TIMEOUT_LATENCIES", "_EVENT_TIMEOUT_GAPS"):
        monkeypatch.setattr(timeouts, name, 0.0)


def test_slow_answer_is_awaited_if_there_is_no_other_attempt(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting a slow and sound answer for nothing."""
    _shorten_timeouts(monkeypatch)

    async def run() -> None:
        deployment = Deployment(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            status, _, body = await deployment.send_request("r1")
            assert (status, body) == (200, test_path._ALL_EVENTS)
            assert sum(len(s.runs) for s in deployment.servers) == 1

    asyncio.run(run())


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_slow_targets_get_no_more_attempts_than_the_route_allows(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, max_attempts: int
) -> None:
    """Guards against a request that is sent to one target after the other."""
    _shorten_timeouts(monkeypatch)

    async def run() -> None:
        deployment = Deployment(tmp_path)
        async with test_path.run_deployment(deployment):
            deployment.gateway.retry_budget.extra = 100.0
            document = test_translation.document(
                version=8, tenants=[{"name": "t1", "apiKeys": ["k1"]}]
            )
            document["routes"][0]["maxAttempts"] = max_attempts
            await test_path.wait_until(lambda: deployment.put_config(document))

            async def has_configuration() -> bool:
                return deployment.gateway.fleet_client.view.version == 8

            await test_path.wait_until(has_configuration)
            status, _, body = await deployment.send_request("r1")
            assert (status, body) == (200, test_path._ALL_EVENTS)
            arrivals = sum(server.arrivals for server in deployment.servers)
            assert arrivals == max_attempts

    asyncio.run(run())
