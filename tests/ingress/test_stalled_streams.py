"""Tests of streams that are slow, and of streams that stall."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
import typing

from aiohttp import web
import pytest

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import stall
from monsoonhinge.ingress import target_client
from monsoonhinge.platform import requests
from monsoonhinge.targets import event_stream

_TIMEOUT_S = 0.1
_SLOW_S = 2.5 * _TIMEOUT_S
_DEADLINE_S = 3.0
_EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(3)]


class _Response:
    """Response of a target that sends parts of a stream at an interval."""

    peer = "10.0.0.1:80"

    def __init__(self, parts: Iterable[bytes], interval_s: float) -> None:
        self._parts = parts
        self._interval_s = interval_s

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self._parts:
            await asyncio.sleep(self._interval_s)
            yield part


class _Relay(relay.Relay):
    """A relay that collects events instead of sending them to a caller.

    Attributes:
        relayed: The events.
        caller_delay_s: Time that the caller takes to accept an event.
    """

    def __init__(self, *, caller_delay_s: float = 0.0) -> None:
        super().__init__(
            request=typing.cast(web.BaseRequest, None),
            request_dialect=requests.PlatformDialect(),
            close_connection=False,
            last_event_id="",
        )
        self.relayed: list[bytes] = []
        self.caller_delay_s = caller_delay_s

    async def _relay_event(
        self,
        target_response: target_client.TargetResponse,
        event: event_stream.Event,
    ) -> None:
        await asyncio.sleep(self.caller_delay_s)
        self.relayed.append(event.data)

    async def _start_response(
        self, target_response: target_client.TargetResponse
    ) -> web.StreamResponse:
        return typing.cast(web.StreamResponse, _Sink())


class _Sink:
    """A response whose end nobody waits for."""

    async def write_eof(self) -> None:
        pass


def _limits(reserve_attempt: Callable[[], bool]) -> relay.StallLimits:
    return relay.StallLimits(
        first_event_timeout_s=_TIMEOUT_S,
        event_timeout_s=_TIMEOUT_S,
        reserve_attempt=reserve_attempt,
    )


def _relay_stream(
    response: _Response,
    *,
    stall_limits: relay.StallLimits | None,
    caller_delay_s: float = 0.0,
) -> list[bytes]:
    """Relays a stream; returns the events that the caller received."""

    async def run() -> list[bytes]:
        relayed = _Relay(caller_delay_s=caller_delay_s)
        await relayed.relay_stream(
            typing.cast(target_client.TargetResponse, response),
            deadline=asyncio.get_running_loop().time() + _DEADLINE_S,
            stall_limits=stall_limits,
        )
        return relayed.relayed

    return asyncio.run(run())


def test_slow_stream_without_another_attempt_is_relayed_to_its_end() -> None:
    """Guards against cutting the only stream that a caller can get.

    The request may be repeated, but the retry budget is used up.
    """
    asked = []

    def no_budget() -> bool:
        asked.append(True)
        return False

    response = _Response(_EVENTS, _SLOW_S)
    assert _relay_stream(response, stall_limits=_limits(no_budget)) == _EVENTS
    assert asked


def test_slow_stream_of_a_single_attempt_is_relayed_to_its_end() -> None:
    """Guards against cutting a slow stream that may not be repeated."""
    response = _Response(_EVENTS, _SLOW_S)
    assert _relay_stream(response, stall_limits=None) == _EVENTS


@pytest.mark.parametrize("part", [b"d", b": still here\n\n", b"\n"])
def test_trickling_stream_is_given_up(part: bytes) -> None:
    """Guards against a stalled stream that sends a byte now and then."""
    parts = [_EVENTS[0], *[part] * 100]
    response = _Response(parts, 0.4 * _TIMEOUT_S)
    with pytest.raises(stall.Stalled):
        _relay_stream(response, stall_limits=_limits(lambda: True))


def test_trickling_stream_of_a_single_attempt_ends_at_its_deadline() -> None:
    """Guards against a stalled stream that never ends."""
    response = _Response([b": still here\n\n"] * 1000, _TIMEOUT_S)
    with pytest.raises(forward.AnswerLost) as raised:
        _relay_stream(response, stall_limits=None)
    assert raised.value.timed_out
    assert not isinstance(raised.value, stall.Stalled)


def test_caller_that_reads_slowly_is_no_fault_of_the_target() -> None:
    """Guards against giving up a target because of its caller."""
    response = _Response(_EVENTS, 0.0)
    relayed = _relay_stream(
        response,
        stall_limits=_limits(lambda: True),
        caller_delay_s=_SLOW_S,
    )
    assert relayed == _EVENTS
