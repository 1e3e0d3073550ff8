"""Tests of the wait for a configuration that is confirmed again."""

import asyncio

import pytest

from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import confirmation
from monsoonhinge.ingress import refusal


class _Client:
    """A client whose configuration is confirmed when the test says so."""

    def __init__(self, staleness_s: float) -> None:
        self.watched_member = "c1"
        self.staleness_s = staleness_s
        self._updated = asyncio.Event()

    def freshness(self, now: float) -> config_freshness.Freshness:
        return config_freshness.Freshness(
            version=1, newest_version=1, staleness_s=self.staleness_s
        )

    async def wait_for_update(self) -> None:
        await self._updated.wait()

    def set_staleness(self, staleness_s: float) -> None:
        self.staleness_s = staleness_s
        self._updated.set()
        self._updated = asyncio.Event()


async def _wait(
    client: _Client,
    reason: refusal.Reason = refusal.Reason.STALE_CONFIGURATION,
    *,
    time_left_ms: int | None = None,
) -> float:
    loop = asyncio.get_running_loop()
    arrived_at = loop.time()
    await confirmation.Confirmation(
        client=client, config_deadline_s=2.0, max_staleness_s=4.0
    ).wait(
        refusal.Refusal(reason, retry_after_s=0.5, step="admit"),
        time_left_ms=time_left_ms,
        arrived_at=arrived_at,
    )
    return loop.time() - arrived_at


def test_request_waits_for_the_next_confirmation() -> None:
    """Guards against a 503 while the next probe is on its way."""

    async def run() -> float:
        client = _Client(2.5)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, client.set_staleness, 2.4)
        loop.call_later(0.1, client.set_staleness, 0.1)
        return await _wait(client)

    assert 0.09 <= asyncio.run(run()) < 0.45


@pytest.mark.parametrize("time_left_ms", [None, 300])
def test_wait_for_a_confirmation_is_bounded(time_left_ms: int | None) -> None:
    """Guards against a request that is held until its caller leaves."""

    async def run() -> None:
        async with asyncio.timeout(0.25 if time_left_ms else 0.9):
            await _wait(_Client(2.5), time_left_ms=time_left_ms)

    with pytest.raises(refusal.Refusal):
        asyncio.run(run())


def test_cut_off_gateway_holds_no_request() -> None:
    """Guards against requests held by a gateway that lost its members."""

    async def run(client: _Client) -> None:
        async with asyncio.timeout(0.1):
            await _wait(client)

    with pytest.raises(refusal.Refusal):
        asyncio.run(run(_Client(4.5)))
    unconnected = _Client(2.5)
    unconnected.watched_member = ""
    with pytest.raises(refusal.Refusal):
        asyncio.run(run(unconnected))


@pytest.mark.parametrize(
    "reason",
    [
        reason
        for reason in refusal.Reason
        if reason is not refusal.Reason.STALE_CONFIGURATION
    ],
)
def test_other_refusals_are_sent_at_once(reason: refusal.Reason) -> None:
    """Guards against a delay of refusals that no update changes."""

    async def run() -> None:
        async with asyncio.timeout(0.1):
            await _wait(_Client(2.5), reason)

    with pytest.raises(refusal.Refusal) as caught:
        asyncio.run(run())
    assert caught.value.reason is reason
