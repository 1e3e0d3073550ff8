"""Small clients and servers that speak what PROTOCOL.md says.

They read and write HTTP/1.1 themselves, so that a case can say exactly when
bytes are sent and connections are closed.
"""

import asyncio
from collections.abc import Awaitable, Callable
import json
import time


class Head:
    """Start line and headers of a message, with its body."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        return self.start.split()[0]

    @property
    def path(self) -> str:
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Head:
    """Reads a whole message; raises if the connection ends before."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", "").lower():
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return Head(lines[0], headers, body)


async def request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Head:
    """Sends one request on a new connection and returns the answer.

    Raises:
        OSError, EOFError, TimeoutError: There is no whole answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            for name, value in (
                {"Host": address, "Content-Length": str(len(body))} | headers
            ).items():
                lines.append(f"{name}: {value}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            return await read_message(reader)
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A server of a service; subclasses say how it answers a request.

    Attributes:
        runs: Ids of the requests that it ran, with the time of each run.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        host: str,
        port: int,
        slots: int = 6,
        work_s: float = 0.03,
    ) -> None:
        self.name = name
        self.service = service
        self.address = f"{host}:{port}"
        self.slots = slots
        self.work_s = work_s
        self.runs: list[tuple[str, float]] = []
        self.born = int(time.time() * 1000)
        self._host, self._port = host, port
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, control: Callable[[], list[str]]) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=2**23
        )
        self._tasks.add(asyncio.create_task(self._beat(control)))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def announcement(self) -> dict:
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "lx-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def _beat(self, control: Callable[[], list[str]]) -> None:
        path = f"/monsoonhinge/instances/{self.name}"
        while True:
            for address in control():
                try:
                    answer = await request(
                        address,
                        "PUT",
                        path,
                        {"Content-Type": "application/json"},
                        json.dumps(self.announcement()).encode(),
                        timeout_s=1.0,
                    )
                except (OSError, EOFError, TimeoutError):
                    continue
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(1.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                if not await self.answer(message, writer):
                    return
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(
        self, message: Head, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        expected = message.headers.get("x-expected-instance", self.name)
        if expected != self.name:
            self.reply(writer, message, 421, {"X-Instance-Id": self.name})
            return True
        if message.path == "/healthz":
            self.reply(writer, message, 200, {"X-Instance-Id": self.name})
            return True
        request_id = message.headers.get("x-request-id", "")
        self.runs.append((request_id, time.time()))
        await asyncio.sleep(self.work_s)
        return await self.after_run(message, writer)

    async def after_run(
        self, message: Head, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends the answer of a request that has run."""
        self.reply(
            writer,
            message,
            200,
            {"X-Server-Signature": f"{self.name}.{message.headers['x-request-id']}"},
            b'{"posted": true}',
        )
        return True

    def reply(
        self,
        writer: asyncio.StreamWriter,
        message: Head,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if "x-request-id" in message.headers:
            lines.append(f"X-Request-Id: {message.headers['x-request-id']}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)


async def put_config(
    addresses: list[str],
    document: dict,
    *,
    for_s: float = 30.0,
    timeout_s: float = 1.0,
) -> float:
    """Sends a configuration until it is acknowledged; returns when it was."""
    body = json.dumps(document).encode()
    deadline = time.monotonic() + for_s
    while time.monotonic() < deadline:
        for address in addresses:
            try:
                answer = await request(
                    address,
                    "PUT",
                    "/monsoonhinge/config",
                    {"Content-Type": "application/json"},
                    body,
                    timeout_s=timeout_s,
                )
            except (OSError, EOFError, TimeoutError):
                continue
            if answer.status == 200:
                return time.time()
            if 400 <= answer.status < 500 and answer.status not in (408, 429):
                raise RuntimeError(f"refused: {answer.status} {answer.body!r}")
        await asyncio.sleep(0.2)
    raise TimeoutError("the configuration was not acknowledged")


async def wait_ready(addresses: list[str], *, for_s: float = 30.0) -> None:
    """Waits until every gateway says that it is ready."""
    deadline = time.monotonic() + for_s
    for address in addresses:
        while True:
            try:
                answer = await request(
                    address, "GET", "/monsoonhinge/readyz", {}, timeout_s=1.0
                )
                if answer.status == 200:
                    break
            except (OSError, EOFError, TimeoutError):
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"{address} is not ready")
            await asyncio.sleep(0.2)


Handler = Callable[[Head, asyncio.StreamWriter], Awaitable[bool]]
