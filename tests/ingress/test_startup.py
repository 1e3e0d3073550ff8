"""Tests of requests that arrive while a gateway starts."""

import asyncio

import pytest

from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import startup


def _error(reason: refusal.Reason) -> refusal.Refusal:
    return refusal.Refusal(reason, retry_after_s=0.5, step="admit")


async def _wait(
    gate: startup.StartupGate,
    reason: refusal.Reason,
    *,
    time_left_ms: int | None = None,
) -> float:
    loop = asyncio.get_running_loop()
    arrived_at = loop.time()
    await gate.wait(
        _error(reason), time_left_ms=time_left_ms, arrived_at=arrived_at
    )
    return loop.time() - arrived_at


def test_request_waits_for_the_first_configuration() -> None:
    """Guards against refusals while all machines come back at once."""

    async def run() -> float:
        gate = startup.StartupGate()
        asyncio.get_running_loop().call_later(0.2, gate.open)
        return await _wait(gate, refusal.Reason.NO_CONFIGURATION)

    assert 0.15 < asyncio.run(run()) < 1.0


@pytest.mark.parametrize("reason", list(refusal.Reason))
def test_gateway_that_lost_control_refuses_at_once(
    reason: refusal.Reason,
) -> None:
    """Guards against requests held at a gateway that is cut off."""

    async def run() -> None:
        gate = startup.StartupGate()
        gate.open()
        async with asyncio.timeout(0.1):
            await _wait(gate, reason)

    with pytest.raises(refusal.Refusal):
        asyncio.run(run())


def test_short_request_is_refused_while_it_can_come_back() -> None:
    """Guards against a request that waits until its caller leaves."""

    async def run() -> None:
        async with asyncio.timeout(0.5):
            await _wait(
                startup.StartupGate(),
                refusal.Reason.STALE_CONFIGURATION,
                time_left_ms=300,
            )

    with pytest.raises(refusal.Refusal):
        asyncio.run(run())
