"""Tests of answers without a length or chunks, for each way they can end."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import socket
import struct

import aiohttp
from aiohttp import web
import pytest
import uvloop

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import relay
from monsoonhinge.platform import requests
from tests.platform import test_endless_answers

_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
_EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
_PART_OF_AN_EVENT = _EVENTS[:-3]
_DEADLINE_S = 5.0

_Ending = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _reset(writer: asyncio.StreamWriter) -> None:
    # The data has to be read before the reset, which discards what is not.
    await asyncio.sleep(0.1)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


@contextlib.asynccontextmanager
async def _target(body: bytes, end: _Ending) -> AsyncIterator[str]:
    """Yields the address of a target that answers once with a body."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_HEAD + body)
        await writer.drain()
        await end(writer)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def _buffered(address: str) -> bytes:
    async with test_endless_answers.open_response(address) as response:
        return await response.body()


async def _relayed_stream(address: str) -> bytes:
    """Returns what a caller of the relay receives."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        relayed = relay.Relay(
            request=request,
            request_dialect=requests.PlatformDialect(),
            close_connection=False,
            last_event_id="",
        )
        async with test_endless_answers.open_response(address) as response:
            try:
                return await relayed.relay_stream(
                    response,
                    deadline=asyncio.get_running_loop().time() + _DEADLINE_S,
                    stall_limits=None,
                )
            except forward.AnswerLost:
                assert request.transport is not None
                request.transport.abort()
                raise

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{host}:{port}/") as response,
        ):
            return await response.read()
    finally:
        await runner.cleanup()


def _result(
    read: Callable[[str], Awaitable[bytes]], body: bytes, end: _Ending
) -> bytes:
    async def run() -> bytes:
        async with _target(body, end) as address:
            return await read(address)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def test_closed_answer_is_whole() -> None:
    """Guards against a complete answer that the caller never gets."""
    assert _result(_buffered, b"whole", _close) == b"whole"


def test_reset_answer_is_lost() -> None:
    """Guards against a part of an answer that looks like all of it."""
    with pytest.raises(forward.AnswerLost):
        _result(_buffered, b"part", _reset)


def test_stream_closed_after_an_event_is_whole() -> None:
    """Guards against a complete stream that ends with an error."""
    assert _result(_relayed_stream, _EVENTS, _close) == _EVENTS


def test_stream_closed_inside_an_event_is_broken_off() -> None:
    """Guards against a stream without its end that looks complete."""
    with pytest.raises(aiohttp.ClientError):
        _result(_relayed_stream, _PART_OF_AN_EVENT, _close)


@pytest.mark.parametrize("body", [_EVENTS, _PART_OF_AN_EVENT])
def test_reset_stream_is_broken_off(body: bytes) -> None:
    """Guards against a stream that looks complete because of where it broke."""
    with pytest.raises(aiohttp.ClientError):
        _result(_relayed_stream, body, _reset)
