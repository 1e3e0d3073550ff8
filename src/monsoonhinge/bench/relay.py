"""TCP relays that inject network faults between processes in tests."""

import asyncio
from collections.abc import Coroutine
import contextlib
import socket
import struct
import threading
from typing import Any, Literal

_HOST = "127.0.0.1"
_CHUNK_BYTES = 64 * 1024
_CALL_TIMEOUT_S = 10.0

Direction = Literal["forward", "backward"]
Mode = Literal["pass", "frozen", "cut"]


class Relay:
    """Relays connections to one address.

    ``forward`` is the direction from the side that connects. A ``frozen``
    direction holds bytes back and delivers them once it passes again, as TCP
    does after a short partition. A ``cut`` direction silently drops bytes; a
    connection that has lost bytes is reset once the direction passes again.

    The relay runs in the event loop of a ``RelayThread``. Its public methods
    and attributes may be used from other threads without a lock, except that
    ``open`` and ``close`` must run in the event loop.

    Attributes:
        host: Host that the relay listens on.
        port: Port that the relay listens on.
        connections: Number of open connections.
    """

    def __init__(self, *, host: str, port: int, thread: "RelayThread") -> None:
        self.host = _HOST
        self.port = 0
        self.connections = 0
        self._address = (host, port)
        self._thread = thread
        self._modes: dict[str, Mode] = {"forward": "pass", "backward": "pass"}
        self._delay_s = 0.0
        self._mode_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(self._accept, _HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def set_mode(self, mode: Mode, *directions: Direction) -> None:
        """Sets the mode of one or more directions, by default of both."""
        self._thread.run(
            self._set_modes(mode, directions or ("forward", "backward"))
        )

    def set_delay(self, seconds: float) -> None:
        """Sets the delay, in seconds, of each chunk in both directions."""
        self._delay_s = seconds

    def reset_connections(self) -> None:
        """Resets all open connections."""
        self._thread.run(self._reset())

    async def close(self) -> None:
        """Stops listening and resets all open connections."""
        if self._server is not None:
            self._server.close()
        await self._reset()

    async def _set_modes(self, mode: Mode, directions: tuple[str, ...]) -> None:
        for direction in directions:
            self._modes[direction] = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

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
            # No connection may reach the peer over a cut or frozen link.
            while self._modes["forward"] != "pass":
                await self._mode_changed.wait()
            peer_reader, peer_writer = await asyncio.open_connection(
                *self._address
            )
            writers.append(peer_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump("forward", reader, peer_writer))
                group.create_task(self._pump("backward", peer_reader, writer))
            for stream in writers:
                stream.close()
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            for stream in writers:
                _reset_connection(stream)
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
                await self._mode_changed.wait()
            if self._modes[direction] == "cut":
                lost = True
                continue
            if lost:
                raise ConnectionResetError(
                    "bytes were dropped while the link was cut"
                )
            writer.write(data)
            await writer.drain()
        # The end of the stream is also held back until the direction passes.
        while self._modes[direction] != "pass":
            await self._mode_changed.wait()
        if lost:
            raise ConnectionResetError(
                "bytes were dropped while the link was cut"
            )
        if writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    async def _read(
        self, direction: Direction, reader: asyncio.StreamReader, lost: bool
    ) -> bytes:
        """Reads the next bytes.

        Raises:
            ConnectionResetError: Bytes were lost and the direction passes
                again.
        """
        if not lost:
            return await reader.read(_CHUNK_BYTES)
        read = asyncio.ensure_future(reader.read(_CHUNK_BYTES))
        try:
            while not read.done():
                changed = asyncio.ensure_future(self._mode_changed.wait())
                try:
                    await asyncio.wait(
                        {read, changed},
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    changed.cancel()
                if self._modes[direction] == "pass":
                    raise ConnectionResetError(
                        "bytes were dropped while the link was cut"
                    )
            return read.result()
        finally:
            read.cancel()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    # With a linger time of 0, closing sends RST instead of FIN.
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class RelayThread:
    """Runs relays on an event loop in a thread.

    Attributes:
        relays: All relays that were added.
    """

    def __init__(self) -> None:
        self.relays: list[Relay] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="relays", daemon=True
        )
        self._thread.start()

    def add_relay(self, *, host: str, port: int) -> Relay:
        """Starts a relay to an address."""
        relay = Relay(host=host, port=port, thread=self)
        self.run(relay.open())
        self.relays.append(relay)
        return relay

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the thread and waits for its completion."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            _CALL_TIMEOUT_S
        )

    def stop(self) -> None:
        """Closes all relays and stops the thread."""
        for relay in self.relays:
            self.run(relay.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_S)
        self._loop.close()
