"""Tests of the relay of freshness probes to the leader."""

import asyncio
import types
import typing
from typing import Any

import pytest

from monsoonhinge.control import probes
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_TIMEOUT_S = 2.0


class _Leader:
    """A leader whose connection fails, hangs or answers."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.hangs = False

    async def request(self, *_: Any, **__: Any) -> messages.Fresh:
        if self.hangs:
            await asyncio.sleep(60.0)
        if self.error is not None:
            raise self.error
        return messages.Fresh(version=7)


def _relay(leader: _Leader) -> probes.ProbeRelay:
    return probes.ProbeRelay(
        driver=typing.cast(Any, types.SimpleNamespace(leader="m1")),
        transport=typing.cast(Any, types.SimpleNamespace(peers={"m1": leader})),
    )


async def _probe(relay: probes.ProbeRelay) -> messages.Fresh:
    async with asyncio.timeout(_TIMEOUT_S):
        return await relay.probe(messages.SubscriberState(session="s"))


@pytest.mark.parametrize(
    "error", [errors.ConnectionLost("lost", step="test"), ValueError("odd")]
)
def test_failed_relay_leaves_no_probe_without_an_answer(
    error: Exception,
) -> None:
    """Guards against gateways whose configuration ages for good.

    After an unexpected error, all later probes waited without end.
    """

    async def run() -> None:
        leader = _Leader()
        leader.error = error
        relay = _relay(leader)
        with pytest.raises(errors.MonsoonhingeError):
            await _probe(relay)
        leader.error = None
        assert (await _probe(relay)).version == 7

    asyncio.run(run())


def test_stop_fails_pending_probes() -> None:
    """Guards against requests that wait for a relay that has stopped."""

    async def run() -> None:
        leader = _Leader()
        leader.hangs = True
        relay = _relay(leader)
        pending = asyncio.create_task(_probe(relay))
        await asyncio.sleep(0.05)
        relay.stop()
        with pytest.raises(errors.MonsoonhingeError):
            await pending

    asyncio.run(run())
