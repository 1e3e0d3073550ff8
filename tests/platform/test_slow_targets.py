"""Tests of targets that answer slowly while the retry budget is used up."""

import asyncio
import pathlib

from aiohttp import web
import pytest

from monsoonhinge.ingress import timeouts
from tests.platform import test_path

# Time to the head of the response, and between events.
_SLOW_S = 0.4
_TIMEOUT_S = 0.1


class SlowServer(test_path.Server):
    """A server that sends the head of its responses late."""

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if not request.path.startswith("/monsoonhinge/"):
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


def test_slow_answer_is_awaited_if_there_is_no_other_attempt(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting a slow and sound answer for nothing."""
    for name in ("_MIN_STREAM_ATTEMPT_TIMEOUT_S", "_MIN_EVENT_TIMEOUT_S"):
        monkeypatch.setattr(timeouts, name, _TIMEOUT_S)
    for name in ("_ATTEMPT_TIMEOUT_LATENCIES", "_EVENT_TIMEOUT_GAPS"):
        monkeypatch.setattr(timeouts, name, 0.0)

    async def run() -> None:
        deployment = Deployment(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            status, _, body = await deployment.send_request("r1")
            assert (status, body) == (200, test_path._ALL_EVENTS)
            assert sum(len(s.runs) for s in deployment.servers) == 1

    asyncio.run(run())
