"""TCP relays through which tests disturb the links between processes."""

import asyncio
from collections.abc import Coroutine
import contextlib
import socket
import struct
import threading
from typing import Any, Literal

_HOST = "127.0.0.1"
_CHUNK_BYTES = 64 * 1024
_START_TIMEOUT_S = 10.0

Direction = Literal["forward", "backward"]
Mode = Literal["pass", "frozen", "cut"]


class Relay:
    """Relays connections to one address; no attribute needs a lock.

    ``forward`` is the direction from the side that connects. A frozen
    direction holds bytes back and delivers them later, as TCP does after a
    short partition. A cut direction loses bytes without a sign; a connection
    that has lost bytes is reset when the direction passes again.

    Attributes:
        host: Address it listens on.
        port: Port it listens on.
        connections: Connections open now.
    """

    def __init__(self, *, host: str, port: int, loop: "RelayThread") -> None:
        self.host = _HOST
        self.port = 0
        self.connections = 0
        self._target = (host, port)
        self._loop = loop
        self._modes: dict[str, Mode] = {"forward": "pass", "backward": "pass"}
        self._delay_s = 0.0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts listening; called in the loop's thread."""
        self._server = await asyncio.start_server(self._accept, _HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def set_mode(self, mode: Mode, *directions: Direction) -> None:
        """Sets the mode of the directions, by default of both."""
        self._loop.run(self._set(mode, directions or ("forward", "backward")))

    def set_delay(self, seconds: float) -> None:
        """Delays what passes in each direction."""
        self._delay_s = seconds

    def reset_connections(self) -> None:
        """Breaks all connections."""
        self._loop.run(self._reset())

    async def close(self) -> None:
        """Stops listening and breaks all connections."""
        if self._server is not None:
            self._server.close()
        await self._reset()

    async def _set(self, mode: Mode, directions: tuple[str, ...]) -> None:
        for direction in directions:
            self._modes[direction] = mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def _reset(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        writers = [writer]
        try:
            # The target must not see a connection over a cut or frozen link.
            while self._modes["forward"] != "pass":
                await self._changed.wait()
            answers, requests = await asyncio.open_connection(*self._target)
            writers.append(requests)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump("forward", reader, requests))
                group.create_task(self._pump("backward", answers, writer))
            for side in writers:
                side.close()
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            for side in writers:
                _reset(side)
        finally:
            self.connections -= 1
            self._tasks.discard(task)

    async def _pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lost = False
        while data := await self._read(direction, reader, lost):
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            while self._modes[direction] == "frozen":
                await self._changed.wait()
            if self._modes[direction] == "cut":
                lost = True
                continue
            if lost:
                raise ConnectionResetError("bytes were lost")
            writer.write(data)
            await writer.drain()
        # The end of a stream is lost too on a link that does not pass.
        while self._modes[direction] != "pass":
            await self._changed.wait()
        if lost:
            raise ConnectionResetError("bytes were lost")
        if writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    async def _read(
        self, direction: Direction, reader: asyncio.StreamReader, lost: bool
    ) -> bytes:
        """Reads the next bytes; fails once a lossy direction passes again."""
        if not lost:
            return await reader.read(_CHUNK_BYTES)
        reading = asyncio.ensure_future(reader.read(_CHUNK_BYTES))
        try:
            while not reading.done():
                changed = asyncio.ensure_future(self._changed.wait())
                try:
                    await asyncio.wait(
                        {reading, changed},
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    changed.cancel()
                if self._modes[direction] == "pass":
                    raise ConnectionResetError("bytes were lost")
            return reading.result()
        finally:
            reading.cancel()


def _reset(writer: asyncio.StreamWriter) -> None:
    # Without lingering, closing sends a reset and no regular end of stream.
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class RelayThread:
    """Runs relays on an event loop in a thread of its own.

    Attributes:
        relays: All relays made.
    """

    def __init__(self) -> None:
        self.relays: list[Relay] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="relays", daemon=True
        )
        self._thread.start()

    def add_relay(self, *, host: str, port: int) -> Relay:
        """Makes a relay to an address."""
        relay = Relay(host=host, port=port, loop=self)
        self.run(relay.open())
        self.relays.append(relay)
        return relay

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the thread and waits for it."""
        asyncio.run_coroutine_threadsafe(work, self._loop).result(
            _START_TIMEOUT_S
        )

    def stop(self) -> None:
        """Closes all relays and ends the thread."""
        for relay in self.relays:
            self.run(relay.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_START_TIMEOUT_S)
        self._loop.close()
