"""Tests of what the log tells of the age of the configuration."""

import asyncio
import pathlib
from typing import Any

import pytest

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
