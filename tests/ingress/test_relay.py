"""Tests of the relay of responses to callers."""

import asyncio
from collections.abc import AsyncIterator
import typing

from aiohttp import web
import pytest

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import target_client
from monsoonhinge.platform import requests
from monsoonhinge.targets import event_stream


class _EndlessEvent:
    """Response of a target whose first event does not end."""

    peer = "10.0.0.1:80"

    async def chunks(self) -> AsyncIterator[bytes]:
        for _ in range(3):
            yield bytes(event_stream.MAX_EVENT_BYTES)


def test_oversized_event_is_not_reported_as_a_timeout() -> None:
    """Guards against a faulty target that is logged as a slow one."""

    async def run() -> forward.AnswerLost:
        relayed = relay.Relay(
            request=typing.cast(web.BaseRequest, None),
            request_dialect=requests.PlatformDialect(),
            close_connection=False,
            last_event_id="",
        )
        with pytest.raises(forward.AnswerLost) as raised:
            await relayed.relay_stream(
                typing.cast(target_client.TargetResponse, _EndlessEvent()),
                deadline=asyncio.get_running_loop().time() + 5.0,
                stall_limits=None,
            )
        return raised.value

    error = asyncio.run(run())
    assert not error.timed_out
    assert "too large" in str(error)
