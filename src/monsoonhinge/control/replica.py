"""The state machine as the replicated log sees it."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.config import delta
from monsoonhinge.control import machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Keeps each part of a snapshot well below the largest frame.
_SNAPSHOT_PART_BYTES = 1024 * 1024


class Replica:
    """Applies the log and pushes new configurations to the watchers.

    Attributes:
        machine: The state machine.
        index: Index of the last applied command.
        watchers: Version in effect at each watching process.
    """

    def __init__(self) -> None:
        self.machine = machine.Machine()
        self.index = 0
        self.watchers: dict[connection.Connection, int] = {}
        self._changed = asyncio.Event()

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies one committed command and returns its result."""
        old_version, old = self.machine.version, self.machine.objects
        result = self.machine.apply(index, codec.decode_command(data))
        self.index = index
        if self.machine.version != old_version:
            self._push(old_version, old)
        self._notify()
        return codec.encode_result(result)

    def capture(self) -> Callable[[], bytes]:
        """Captures the whole state; the result encodes it in any thread."""
        return self.machine.capture()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by a snapshot."""
        self.machine.restore(data)
        self.index = self.machine.index
        for link in list(self.watchers):
            self._send_snapshot(link)
        self._notify()

    def watch(self, link: connection.Connection, version: int) -> None:
        """Subscribes a process that has a version of the configuration."""
        self.watchers[link] = version
        if version != self.machine.version:
            self._send_snapshot(link)

    def unwatch(self, link: connection.Connection) -> None:
        """Ends a subscription."""
        self.watchers.pop(link, None)

    async def changed(self) -> None:
        """Waits until the next command is applied."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _push(self, old_version: int, old: dict[str, bytes]) -> None:
        change = delta.Delta.between(old, self.machine.objects)
        message = messages.ConfigDelta(
            base=old_version,
            version=self.machine.version,
            index=self.index,
            upserts=list(change.upserts.values()),
            deletes=change.deletes,
        )
        for link in list(self.watchers):
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(message)

    def _send_snapshot(self, link: connection.Connection) -> None:
        parts: list[list[bytes]] = [[]]
        size = 0
        for data in self.machine.objects.values():
            if size + len(data) > _SNAPSHOT_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(data)
            size += len(data)
        for number, objects in enumerate(parts):
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(
                    messages.ConfigSnapshot(
                        version=self.machine.version,
                        index=self.index,
                        part=number,
                        parts=len(parts),
                        objects=objects,
                    )
                )
