"""Tests of answers by a configuration that may be outdated, and of its log."""

import asyncio
import pathlib
from typing import Any

import pytest

from monsoonhinge.control import mirror
from monsoonhinge.runtime import events
from tests.platform import test_path
from tests.platform import test_translation


class _Log:
    """Collects the events of all processes of a test."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def emit(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event} | fields)

    def of(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]


@pytest.fixture(name="log")
def _log(monkeypatch: pytest.MonkeyPatch) -> _Log:
    log = _Log()
    monkeypatch.setattr(events, "emit", log.emit)
    return log


def test_log_tells_how_old_a_configuration_is(
    tmp_path: pathlib.Path, log: _Log
) -> None:
    """Guards against a 401 or 404 that the log lines do not explain."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            status, _, _ = await deployment.send_request("r1", key="unknown")
            assert status == 401
            status, _, _ = await deployment.send_request("r2")
            assert status == 200

    asyncio.run(run())
    (refusal,) = log.of(events.REFUSAL)
    assert refusal["config"] == refusal["newest_config"] == 7
    assert 0.0 <= refusal["staleness_s"] < 4.0
    (served,) = log.of(events.REQUEST)
    assert served["config"] == 7
    assert 0.0 <= served["staleness_s"] < 4.0


def test_log_tells_how_a_configuration_reached_a_gateway(
    tmp_path: pathlib.Path, log: _Log
) -> None:
    """Guards against a late configuration whose cause the log does not tell."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            client = deployment.gateway.fleet_client
            document = test_translation.document(version=11)
            await test_path.wait_until(lambda: deployment.put_config(document))

            async def is_in_effect() -> bool:
                return client.view.version == 11

            await test_path.wait_until(is_in_effect)

    asyncio.run(run())
    newest = [line for line in log.of(events.CONFIG) if line["version"] == 11]
    assert newest
    for line in newest:
        assert line["previous"] == 7
        assert line["update"] == "ConfigDelta"
        assert line["member"]
        assert 0.0 <= line["max_lag_s"] < 4.0


def test_added_route_is_not_denied_by_an_older_configuration(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 404 for a route that was acknowledged before."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with test_path.running_deployment(tmp_path) as deployment:
            # Updates no longer arrive, but replies to probes do.
            monkeypatch.setattr(mirror.Mirror, "receive", lambda *_: False)
            document = test_translation.document(version=9)
            added = document["routes"][0] | {"name": "r2", "pathPrefix": "/b/"}
            document["routes"].append(added)
            await test_path.wait_until(lambda: deployment.put_config(document))
            await asyncio.sleep(
                deployment.gateway.config.config_deadline_ms / 1000
            )
            ends_at = loop.time() + 1.0
            while loop.time() < ends_at:
                status, headers = await _request(deployment, "/b/x")
                assert status == 503
                assert "Retry-After" in headers

    asyncio.run(run())


def test_removed_route_is_denied_after_a_confirmation(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a 503 where the next probe tells that a 404 is right."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            # The configuration is older than this between two probes.
            handler = deployment.gateway.handler
            assert handler is not None
            deployment.gateway.admission.config_deadline_s = 0.1
            handler.confirmation.config_deadline_s = 0.1
            for _ in range(10):
                status, _ = await _request(deployment, "/b/x")
                assert status == 404
                await asyncio.sleep(0.07)

    asyncio.run(run())


async def _request(
    deployment: test_path.Deployment, path: str
) -> tuple[int, dict[str, str]]:
    """Sends a request; returns the status and headers of the response."""
    async with deployment.session.get(
        f"http://127.0.0.1:{deployment.ingress_port}{path}",
        headers={
            "Host": "h.example",
            "X-Request-Id": "r",
            "Authorization": "Bearer k1",
        },
    ) as response:
        return response.status, dict(response.headers)
