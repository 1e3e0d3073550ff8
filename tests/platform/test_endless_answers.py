"""Tests of targets that send bytes without end until the caller closes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib

import pytest

from monsoonhinge.fleet import engine_client
from monsoonhinge.gateway import forward
from monsoonhinge.ingress import target_client
from monsoonhinge.platform import engines
from monsoonhinge.targets import event_stream

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"

# A target that never ends has to be given up long before the deadline of the
# request, and before its bytes take much of the memory of a gateway.
_DEADLINE_S = 20.0
_MAX_DURATION_S = 5.0
_MAX_SENT_BYTES = 32 * 1024 * 1024

_HEADS = {
    "header line": (_OK + b"X-Long: ", b"a" * 1024),
    "headers": (_OK, b"X-Name: value\r\n" * 64),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "no response": (b"", b"\x00\x01garbage" * 64),
}
_BODIES = {
    "chunks": (_OK + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
    "no length": (_OK + b"\r\n", bytes(0x10000)),
    "trailers": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Name: value\r\n" * 64,
    ),
}


class _EndlessTarget:
    """Answers each request with a prefix and then a part without end.

    Attributes:
        address: Address as ``host:port``.
        sent_bytes: Bytes that callers have accepted.
    """

    def __init__(self, prefix: bytes, part: bytes) -> None:
        self.address = ""
        self.sent_bytes = 0
        self._prefix = prefix
        self._part = part

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._prefix)
            # The test fails beyond the limit; more would only fill the memory
            # of the test.
            while self.sent_bytes <= _MAX_SENT_BYTES:
                writer.write(self._part)
                await writer.drain()
                self.sent_bytes += len(self._part)
                await asyncio.sleep(0)
            await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def _serve(prefix: bytes, part: bytes) -> AsyncIterator[_EndlessTarget]:
    target = _EndlessTarget(prefix, part)
    server = await asyncio.start_server(target.answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    target.address = f"{host}:{port}"
    try:
        yield target
    finally:
        server.close()


@contextlib.asynccontextmanager
async def open_response(
    address: str,
) -> AsyncIterator[target_client.TargetResponse]:
    """Sends a request of a caller and yields the answer."""
    client = target_client.TargetClient()
    try:
        response = await client.send(
            method="GET",
            address=address,
            path="/",
            headers={},
            body=b"",
            timeout_s=_DEADLINE_S,
        )
        try:
            yield response
        finally:
            response.abort()
    finally:
        await client.close()


async def _request(address: str) -> None:
    async with open_response(address) as response:
        await response.body()


async def _stream(address: str) -> None:
    splitter = event_stream.EventSplitter()
    async with open_response(address) as response:
        async for chunk in response.chunks():
            splitter.feed(chunk)


async def _report(address: str) -> None:
    client = engines.PlatformEngineClient()
    try:
        await client.report(address=address, target="t", timeout_s=_DEADLINE_S)
    finally:
        await client.close()


async def _order(address: str) -> None:
    client = engines.PlatformEngineClient()
    try:
        await client.order(
            address=address,
            target="t",
            order=engine_client.Order(
                load=True,
                model="m",
                adapter="",
                holder="h",
                fencing=1,
                expected_order_count=0,
            ),
            timeout_s=_DEADLINE_S,
        )
    finally:
        await client.close()


def _check(
    call: Callable[[str], Awaitable[None]],
    error: type[Exception],
    prefix: bytes,
    part: bytes,
) -> None:
    async def run() -> int:
        async with _serve(prefix, part) as target:
            async with asyncio.timeout(_MAX_DURATION_S):
                with pytest.raises(error):
                    await call(target.address)
            return target.sent_bytes

    assert asyncio.run(run()) <= _MAX_SENT_BYTES


@pytest.mark.parametrize("kind", [*_HEADS, *_BODIES])
def test_endless_answer_to_a_request_is_given_up(kind: str) -> None:
    """Guards against a gateway that reads an answer until its memory ends."""
    prefix, part = (_HEADS | _BODIES)[kind]
    _check(_request, forward.AnswerLost, prefix, part)


@pytest.mark.parametrize("kind", ["chunks", "no length"])
def test_endless_event_of_a_stream_is_given_up(kind: str) -> None:
    """Guards against a stream that is buffered until its first event ends."""
    _check(_stream, event_stream.Oversized, *_BODIES[kind])


@pytest.mark.parametrize("kind", [*_HEADS, *_BODIES])
@pytest.mark.parametrize("call", [_report, _order])
def test_endless_answer_of_an_engine_is_given_up(
    call: Callable[[str], Awaitable[None]], kind: str
) -> None:
    """Guards against a control member whose memory an engine fills."""
    prefix, part = (_HEADS | _BODIES)[kind]
    _check(call, engine_client.NoResponseError, prefix, part)
