"""Tests of the gate that holds requests while a gateway starts."""

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
    """Guards against refusals while all VMs restart after a power loss."""

    async def run() -> float:
        gate = startup.StartupGate()
        asyncio.get_running_loop().call_later(0.2, gate.open)
        return await _wait(gate, refusal.Reason.NO_CONFIGURATION)

    assert 0.15 < asyncio.run(run()) < 1.0


@pytest.mark.parametrize("reason", list(refusal.Reason))
def test_open_gate_refuses_immediately(
    reason: refusal.Reason,
) -> None:
    """Guards against requests held by a gateway that lost its members."""

    async def run() -> None:
        gate = startup.StartupGate()
        gate.open()
        async with asyncio.timeout(0.1):
            await _wait(gate, reason)

    with pytest.raises(refusal.Refusal):
        asyncio.run(run())


def test_request_with_a_short_deadline_is_refused_before_it() -> None:
    """Guards against a request that waits until its caller disconnects."""

    async def run() -> None:
        async with asyncio.timeout(0.5):
            await _wait(
                startup.StartupGate(),
                refusal.Reason.STALE_CONFIGURATION,
                time_left_ms=300,
            )

    with pytest.raises(refusal.Refusal):
        asyncio.run(run())
