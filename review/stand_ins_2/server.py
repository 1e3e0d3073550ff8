"""Stand-in for a server of the platform: a model server or a plain service.

It does what PROTOCOL.md says of a sound server, as far as the cases need it:
announcements, reports, orders, streams and plain answers.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import Any
import urllib.parse

HEARTBEAT_S = 1.2
# A report shows the state of some hundred milliseconds earlier.
REPORT_LAG_S = 0.1


@dataclasses.dataclass
class Head:
    """Head of a request."""

    method: str
    path: str
    headers: dict[str, str]


class Server:
    """One incarnation of a server.

    Options: id, host, port, service, zone, slots, control (addresses), events
    (file of records), disk (file that keeps the models on disk), engine
    (whether it loads models), weights_mb, model_mb, load_s, warm_s, disk_s,
    work_s (time of a plain request), event_s and events_n (of a stream).
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.id: str = options["id"]
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beats = 0
        self.orders = 0
        self.fence = -1
        self.busy = False
        self.models: list[str] = []
        self.in_memory: list[str] = []
        self.active = 0
        self._heartbeat_address = ""
        self._report: dict[str, Any] = {}
        self._disk = pathlib.Path(options.get("disk") or os.devnull)
        self.on_disk: list[str] = []
        if options.get("disk") and self._disk.exists():
            self.on_disk = self._disk.read_text().split()
        self._events = open(options["events"], "a")  # noqa: SIM115

    def record(self, kind: str, **fields: Any) -> None:
        """Writes one line to the file of records."""
        line = {"at": time.time(), "server": self.id, "kind": kind, **fields}
        self._events.write(json.dumps(line) + "\n")
        self._events.flush()

    async def run(self) -> None:
        """Serves until the process is killed."""
        listener = await asyncio.start_server(
            self._serve, self.options["host"], self.options["port"]
        )
        self.record("start", address=self._address())
        asyncio.get_running_loop().create_task(self._lag_report())
        async with listener:
            await self._announce_periodically()

    def _address(self) -> str:
        return f"{self.options['host']}:{self.options['port']}"

    async def _lag_report(self) -> None:
        while True:
            current = self._current_report()
            await asyncio.sleep(REPORT_LAG_S)
            self._report = current

    def _held(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": []} for name in self.models
        ]

    def _current_report(self) -> dict[str, Any]:
        return {
            "phase": "both",
            "models": self._held(),
            "busy": self.busy,
            "sequence": self.orders,
            "queued": 0,
            "active": self.active,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self.born,
            "available": {"inMemory": self.in_memory, "onDisk": self.on_disk},
        }

    async def _announce_periodically(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self) -> None:
        """Announces this server to the first daemon that acknowledges it."""
        self.beats += 1
        body: dict[str, Any] = {
            "service": self.options["service"],
            "address": self._address(),
            "zone": self.options["zone"],
            "version": "v1",
            "slots": self.options.get("slots", 16),
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.options.get("engine"):
            body |= {
                "phase": "both",
                "models": self._held(),
                "available": {
                    "inMemory": self.in_memory,
                    "onDisk": self.on_disk,
                },
            }
        addresses = list(self.options["control"])
        if self._heartbeat_address:
            addresses.insert(0, self._heartbeat_address)
        for address in addresses:
            status, reply = await _call(
                address, "PUT", f"/monsoonhinge/instances/{self.id}", body
            )
            if 200 <= status < 300:
                self._heartbeat_address = reply.get("heartbeatAddress", "")
                return
            self._heartbeat_address = ""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await _read_head(reader)
                length = int(head.headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._handle(head, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        expected = head.headers.get("x-expected-instance", self.id)
        path = urllib.parse.urlsplit(head.path).path
        if expected != self.id:
            self._reject(head, writer, 421)
        elif path == "/monsoonhinge/report":
            _answer(writer, 200, json.dumps(self._report).encode())
        elif path == "/monsoonhinge/order":
            status = self._order(json.loads(body))
            _answer(writer, status, b"{}")
        elif self.options.get("engine"):
            await self._stream(head, writer)
        else:
            await self._plain(head, body, writer)

    def _reject(
        self, head: Head, writer: asyncio.StreamWriter, status: int
    ) -> None:
        _answer(
            writer,
            status,
            b"",
            {
                "X-Request-Id": head.headers.get("x-request-id", ""),
                "X-Instance-Id": self.id,
                "X-Not-Executed": "1",
            },
        )

    def _order(self, order: dict[str, Any]) -> int:
        status = self._order_status(order)
        self.record("order", status=status, **order)
        return status

    def _order_status(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fencingToken" not in order:
            return 400
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        model, load = order["model"], order["operation"] == "load"
        if load == (model in self.models):
            return 200
        if self.busy or order.get("expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self._carry_out(model, load))
        return 202

    async def _carry_out(self, model: str, load: bool) -> None:
        if load:
            count = len(self.models) + 1
            if count * self.options["model_mb"] > self.options["weights_mb"]:
                self.record("overload", model=model, models=self.models)
                os._exit(3)
            if model in self.in_memory:
                await asyncio.sleep(self.options["warm_s"])
            elif model in self.on_disk:
                await asyncio.sleep(self.options["disk_s"])
            else:
                self.record("store_load", model=model)
                await asyncio.sleep(self.options["load_s"])
            self.models.append(model)
            self.in_memory = list({*self.in_memory, model})
            self.on_disk = list({*self.on_disk, model})
            if self.options.get("disk"):
                self._disk.write_text(" ".join(self.on_disk))
        else:
            self.models.remove(model)
        self.busy = False
        await self.announce()

    async def _stream(self, head: Head, writer: asyncio.StreamWriter) -> None:
        model = head.headers.get("x-model", "").partition("/")[0]
        request_id = head.headers.get("x-request-id", "")
        if model not in self.models:
            self.record("rejected", id=request_id, model=model)
            self._reject(head, writer, 421)
            return
        self.record("run", id=request_id, model=model)
        self.active += 1
        try:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n"
                + f"X-Request-Id: {request_id}\r\n".encode()
                + f"X-Server-Signature: {self.id}.{request_id}\r\n\r\n".encode()
            )
            for number in range(1, self.options.get("events_n", 5) + 1):
                await asyncio.sleep(self.options.get("event_s", 0.02))
                event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record("end", id=request_id, model=model)
        finally:
            self.active -= 1

    async def _plain(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers.get("x-request-id", "")
        if self.active >= self.options.get("slots", 16):
            self._reject(head, writer, 503)
            return
        self.record(
            "run",
            id=request_id,
            method=head.method,
            path=head.path,
            size=len(body),
            tenant=head.headers.get("x-tenant", ""),
        )
        self.active += 1
        try:
            await asyncio.sleep(self.options.get("work_s", 0.03))
        finally:
            self.active -= 1
        _answer(
            writer,
            200,
            f"done {request_id}".encode(),
            {
                "X-Request-Id": request_id,
                "X-Server-Signature": f"{self.id}.{request_id}",
            },
        )
        self.record("end", id=request_id)


async def _read_head(reader: asyncio.StreamReader) -> Head:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = text.strip().split("\r\n")
    method, path, _ = line.split(" ", 2)
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(method, path, headers)


def _answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    fields = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def _call(
    address: str, method: str, path: str, body: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    host, _, port = address.rpartition(":")
    data = json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            reply = await reader.read(4096)
        return int(head.split()[1]), json.loads(reply or b"{}")
    except (OSError, TimeoutError, EOFError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).run())
