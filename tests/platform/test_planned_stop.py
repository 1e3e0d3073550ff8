"""Tests of a planned stop while callers keep sending requests."""

import asyncio
import contextlib
import dataclasses
import pathlib

from aiohttp import web_protocol
import pytest
import uvloop

from tests.platform import test_path

_CALLERS = 24
_EVENT_INTERVAL_S = 0.08

_PAUSE_CHECK_S = 0.01

# A request that was sent this long before its connection ends is not in flight
# any more.
_IN_FLIGHT_S = 0.2

_REQUEST = (
    "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\n"
    "X-Model: m1\r\nX-Token-Count: 10,20\r\nX-Deadline-Ms: 5000\r\n"
    "Authorization: Bearer k1\r\nConnection: close\r\n"
    "Content-Length: 4\r\n\r\nbody"
)


@dataclasses.dataclass(frozen=True)
class _Unanswered:
    """A connection that ended without an answer.

    Attributes:
        port: Its local port, which later connections may use again.
        opened_at: When it was opened.
        age_s: Time from its request to its end.
    """

    port: int
    opened_at: float
    age_s: float


class _Caller:
    """Sends requests one after the other until nothing listens any more.

    Attributes:
        answered: Status of each request with a complete answer.
        unanswered: Connections that ended without an answer.
    """

    def __init__(self, name: str, port: int) -> None:
        self.answered: dict[str, int] = {}
        self.unanswered: list[_Unanswered] = []
        self._name = name
        self._port = port

    async def run(self) -> None:
        number = 0
        while True:
            number += 1
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port
                )
            except ConnectionError:
                return
            await self._send(reader, writer, f"{self._name}-{number}")

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        writer.write(_REQUEST.format(request_id).encode())
        sent_at = loop.time()
        answer = b""
        with contextlib.suppress(ConnectionError):
            answer = await reader.read(-1)
        port = writer.get_extra_info("sockname")[1]
        writer.close()
        if answer.endswith((b"\r\n0\r\n\r\n", b"}\n")):
            self.answered[request_id] = int(answer.split(b" ", 2)[1])
        else:
            age_s = loop.time() - sent_at
            self.unanswered.append(_Unanswered(port, opened_at, age_s))


class _PauseMeter:
    """Measures how long the event loop of the test stood still at most.

    Callers, gateway, members and servers share it, so that a request that is
    held up by it seems to wait at the gateway.

    Attributes:
        longest_s: The longest pause.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await asyncio.sleep(_PAUSE_CHECK_S)
            pause_s = loop.time() - started_at - _PAUSE_CHECK_S
            self.longest_s = max(self.longest_s, pause_s)


def _record_accepted(monkeypatch: pytest.MonkeyPatch) -> dict[int, float]:
    """Returns the remote ports that servers accept, with the last times."""
    accepted: dict[int, float] = {}
    connection_made = web_protocol.RequestHandler.connection_made

    def record(
        self: web_protocol.RequestHandler, transport: asyncio.BaseTransport
    ) -> None:
        port = transport.get_extra_info("peername")[1]
        accepted[port] = asyncio.get_running_loop().time()
        connection_made(self, transport)

    monkeypatch.setattr(web_protocol.RequestHandler, "connection_made", record)
    return accepted


def test_no_accepted_request_is_cut_off_by_a_planned_stop(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that end without an answer as a gateway stops.

    Callers open new connections until nothing listens any more.
    """
    accepted = _record_accepted(monkeypatch)

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            await deployment.remove_rates()
            for server in deployment.servers:
                server.event_interval_s = _EVENT_INTERVAL_S
            callers = [
                _Caller(f"c{number}", deployment.ingress_port)
                for number in range(_CALLERS)
            ]
            meter = _PauseMeter()
            metering = asyncio.create_task(meter.run())
            async with asyncio.TaskGroup() as tasks:
                for caller in callers:
                    tasks.create_task(caller.run())
                await asyncio.sleep(0.5)
                deployment.gateway.drain()
                await deployment.gateway.finish()
                await deployment.gateway.stop()
            metering.cancel()
            runs = {name for s in deployment.servers for name in s.runs}
            answered = {k: v for c in callers for k, v in c.answered.items()}
            unanswered = [item for c in callers for item in c.unanswered]
            assert set(answered.values()) <= {200, 503}
            assert runs == {k for k, v in answered.items() if v == 200}
            cut = [
                item
                for item in unanswered
                if accepted.get(item.port, 0.0) >= item.opened_at
            ]
            assert not cut
            longest_s = _IN_FLIGHT_S + meter.longest_s
            assert all(item.age_s < longest_s for item in unanswered)

    # As the processes do; the loop of the standard library loses connections
    # that it accepts while it closes the listener.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_request_on_a_connection_accepted_last_is_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against closing a connection while its request is on the way."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            gateway = deployment.gateway
            gateway.drain()
            await gateway.finish()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", deployment.ingress_port
            )
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(gateway.stop())
            await asyncio.sleep(0.05)
            writer.write(_REQUEST.format("r1").encode())
            answer = await reader.read(-1)
            writer.close()
            await stopping
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
