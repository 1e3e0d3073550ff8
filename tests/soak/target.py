"""A target that runs requests and loses, delays, repeats or cuts answers."""

import asyncio
from collections.abc import Mapping
import contextlib
import dataclasses
import itertools
import json
import random
import time
import types

from tests.soak import http11
from tests.soak import record as records
from tests.soak import stream_record
from tests.targets import malformed_heads

_SLOTS = 6
_QUEUE = 4
_HEARTBEAT_S = 0.4
_CALL_TIMEOUT_S = 1.0
_DRAIN_S = 2.0
_EVENT_INTERVAL_S = 0.01
_STREAM_INTERVAL_S = 0.03

_numbers = itertools.count()


@dataclasses.dataclass(slots=True)
class Faults:
    """Shares of the requests of a target that meet a fault.

    Attributes:
        reset: Runs, then its connection is reset.
        closed: Runs, then its connection is closed without an answer.
        late: Runs, and the answer comes after the caller's deadline.
        truncated: Runs, and the answer ends early.
        malformed: Runs, and the head of the answer is malformed.
        unstated: Runs, and the answer is a 503 that states nothing of that.
        repeated: Runs, and a second copy of the answer comes at the point at
            which the next one on the connection is due.
        rejected: Is rejected as not run.
        rejected_twice: Is rejected, with a second copy as above.
        dropped: Is not read; its connection is reset.
        idle_close: The connection is closed after the answer, without notice.
        slow_s: Time that a run takes in addition.
    """

    reset: float = 0.0
    closed: float = 0.0
    late: float = 0.0
    truncated: float = 0.0
    malformed: float = 0.0
    unstated: float = 0.0
    repeated: float = 0.0
    rejected: float = 0.0
    rejected_twice: float = 0.0
    dropped: float = 0.0
    idle_close: float = 0.0
    slow_s: float = 0.0

    def draw(self, rng: random.Random, *names: str) -> str:
        """Returns which of the named faults a request meets, or ""."""
        point = rng.random()
        for name in names:
            point -= getattr(self, name)
            if point < 0:
                return name
        return ""


class Target:
    """A target that announces itself to the control members.

    Attributes:
        name: Id of this incarnation.
        address: Its address.
        faults: Faults in force.
    """

    def __init__(
        self,
        *,
        service: str,
        port: int,
        control: list[str],
        record: records.Record,
        rng: random.Random,
        software_version: str,
    ) -> None:
        self.name = f"t-{next(_numbers)}"
        self.address = f"127.0.0.1:{port}"
        self.faults = Faults()
        self._service = service
        self._port = port
        self._control = control
        self._record = record
        self._rng = rng
        self._software_version = software_version
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._waiting = 0
        self._slots = asyncio.Semaphore(_SLOTS)
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen and to announce itself."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self._heartbeats = asyncio.get_running_loop().create_task(
            self._announce_forever()
        )

    def crash(self) -> None:
        """Ends without notice."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self) -> None:
        """Drains, deregisters and ends."""
        self._state = "draining"
        await self._announce()
        await asyncio.sleep(_DRAIN_S)
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self._call_control("DELETE", b"")
        self.crash()

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _announce(self) -> None:
        self._sequence += 1
        announcement = {
            "service": self._service,
            "address": self.address,
            "zone": "a",
            "slots": _SLOTS,
            "state": self._state,
            "sequence": self._sequence,
            "born": self._born,
            "version": self._software_version,
        }
        await self._call_control("PUT", json.dumps(announcement).encode())

    async def _call_control(self, method: str, body: bytes) -> None:
        path = f"/monsoonhinge/instances/{self.name}"
        addresses = self._rng.sample(self._control, len(self._control))
        for address in addresses:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                response = await call(address, method, path, body)
                if response.status < 300:
                    return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        copy = b""
        try:
            while True:
                request = await http11.read_message(reader)
                if copy:
                    writer.write(copy)
                copy = await self._handle(request, writer)
                if self.faults.draw(self._rng, "idle_close"):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: http11.Message, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answers a request; returns what to send before the next answer.

        Raises:
            ConnectionError: The connection is to be closed.
        """
        if request.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(_rejection(request, 421))
            return b""
        match self.faults.draw(
            self._rng, "dropped", "rejected", "rejected_twice"
        ):
            case "dropped":
                writer.transport.abort()
                raise ConnectionResetError
            case "rejected":
                writer.write(_rejection(request, 503))
                return b""
            case "rejected_twice":
                writer.write(_rejection(request, 503))
                return _rejection(request, 503)
        left_s = int(request.headers.get("x-deadline-ms", "1000")) / 1000
        if not await self._take_slot(left_s):
            writer.write(_rejection(request, 503))
            return b""
        try:
            return await self._run(request, writer, left_s)
        finally:
            self._slots.release()

    async def _take_slot(self, left_s: float) -> bool:
        """Waits for a slot; returns whether there was one in time."""
        if self._slots.locked() and self._waiting >= _QUEUE:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._slots.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    async def _run(
        self,
        request: http11.Message,
        writer: asyncio.StreamWriter,
        left_s: float,
    ) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        run = records.Run(
            target=self.name,
            at=asyncio.get_running_loop().time(),
            method=request.method,
            path=request.path,
        )
        self._record.runs[request_id].append(run)
        await asyncio.sleep(self._rng.uniform(0.01, 0.05) + self.faults.slow_s)
        run.ending = self.faults.draw(
            self._rng,
            "reset",
            "closed",
            "late",
            "truncated",
            "malformed",
            "unstated",
            "repeated",
        )
        if request.path.startswith(stream_record.PREFIX):
            return await self._stream(request, writer, run)
        answer = _answer(self.name, request)
        match run.ending:
            case "reset":
                writer.transport.abort()
                raise ConnectionResetError
            case "closed":
                raise ConnectionAbortedError
            case "unstated":
                writer.write(_empty_answer(request, 503))
                return b""
            case "late":
                await asyncio.sleep(left_s + 0.3)
            case "truncated":
                writer.write(answer[: self._rng.randrange(len(answer))])
                raise ConnectionAbortedError
            case "malformed":
                spoil = self._rng.choice(list(malformed_heads.ALL.values()))
                writer.write(spoil(answer))
                return b""
        if request.path.startswith("/stream/"):
            await _write_slowly(writer, answer)
        else:
            writer.write(answer)
        return answer if run.ending == "repeated" else b""

    async def _stream(
        self,
        request: http11.Message,
        writer: asyncio.StreamWriter,
        run: records.Run,
    ) -> bytes:
        """Sends a stream from the event on that the request names.

        Raises:
            ConnectionError: The stream breaks off.
        """
        if run.ending == "unstated":
            writer.write(_empty_answer(request, 503))
            return b""
        request_id = request.headers.get("x-request-id", "")
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Signature": records.signature(self.name, request_id),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        first = int(request.headers.get("last-event-id", "-1")) + 1
        breaks_at = stream_record.EVENT_COUNT
        if run.ending:
            breaks_at = self._rng.randrange(first, stream_record.EVENT_COUNT)
        writer.write(http11.encode("HTTP/1.1 200 OK", headers, b""))
        for number in range(first, stream_record.EVENT_COUNT):
            if number == breaks_at:
                writer.transport.abort()
                raise ConnectionAbortedError
            event = stream_record.event(number, self._software_version)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_STREAM_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return b""


async def call(
    address: str, method: str, path: str, body: bytes
) -> http11.Message:
    """Sends a request on a new connection and returns the response.

    Raises:
        OSError, EOFError, TimeoutError: There is no whole response in time.
    """
    connection = None
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            connection = await http11.Connection.open(address)
            return await connection.send(method, path, {}, body)
    finally:
        if connection is not None:
            connection.close()


def _answer(target: str, request: http11.Message) -> bytes:
    request_id = request.headers.get("x-request-id", "")
    body = records.answer_body(request_id)
    headers = {
        "X-Request-Id": request_id,
        "X-Server-Signature": records.signature(target, request_id),
    }
    if request.path.startswith("/stream/"):
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        events = body.split(b"\n\n")[:-1]
        chunks = [b"%x\r\n%b\n\n\r\n" % (len(e) + 2, e) for e in events]
        body = b"".join([*chunks, b"0\r\n\r\n"])
    else:
        headers["Content-Length"] = str(len(body))
    if request.method == "HEAD":
        body = b""
    return http11.encode("HTTP/1.1 200 OK", headers, body)


def _rejection(request: http11.Message, status: int) -> bytes:
    """Returns an answer that states that the request has not run."""
    return _empty_answer(request, status, {"X-Not-Executed": "1"})


def _empty_answer(
    request: http11.Message,
    status: int,
    headers: Mapping[str, str] = types.MappingProxyType({}),
) -> bytes:
    fields = {
        "X-Request-Id": request.headers.get("x-request-id", ""),
        "Content-Length": "0",
        **headers,
    }
    return http11.encode(f"HTTP/1.1 {status} X", fields, b"")


async def _write_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes an answer in parts that end anywhere."""
    size = max(1, len(data) // 5)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(_EVENT_INTERVAL_S)
