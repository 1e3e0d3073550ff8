"""The state machine as the replicated log sees it."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.config import delta
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Keeps each part of a snapshot well below the largest frame.
_SNAPSHOT_PART_BYTES = 1024 * 1024


class ReplicatedState:
    """Applies the log and pushes new configurations to the watchers.

    Attributes:
        state_machine: The state machine.
        index: Index of the last applied command.
        watchers: Version in effect at each watching process.
    """

    def __init__(self) -> None:
        self.state_machine = state_machine.StateMachine()
        self.index = 0
        self.watchers: dict[connection.Connection, int] = {}
        self._applied = asyncio.Event()

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies one committed command and returns its result."""
        old_version, old = (
            self.state_machine.version,
            self.state_machine.objects,
        )
        result = self.state_machine.apply(index, codec.decode_command(data))
        self.index = index
        if self.state_machine.version != old_version:
            self._push_delta(old_version, old)
        self._notify()
        return codec.encode_result(result)

    def capture(self) -> Callable[[], bytes]:
        """Captures the whole state; the result encodes it in any thread."""
        return self.state_machine.capture()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by a snapshot."""
        self.state_machine.restore(data)
        self.index = self.state_machine.index
        for link in list(self.watchers):
            self._send_snapshot(link)
        self._notify()

    def watch(self, link: connection.Connection, version: int) -> None:
        """Subscribes a process that has a version of the configuration."""
        self.watchers[link] = version
        if version != self.state_machine.version:
            self._send_snapshot(link)

    def unwatch(self, link: connection.Connection) -> None:
        """Ends a subscription."""
        self.watchers.pop(link, None)

    async def wait_for_apply(self) -> None:
        """Waits until the next command is applied."""
        await self._applied.wait()

    def _notify(self) -> None:
        self._applied.set()
        self._applied = asyncio.Event()

    def _push_delta(self, old_version: int, old: dict[str, bytes]) -> None:
        change = delta.Delta.between(old, self.state_machine.objects)
        message = messages.ConfigDelta(
            base=old_version,
            version=self.state_machine.version,
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
        for data in self.state_machine.objects.values():
            if size + len(data) > _SNAPSHOT_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(data)
            size += len(data)
        for number, objects in enumerate(parts):
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(
                    messages.ConfigSnapshot(
                        version=self.state_machine.version,
                        index=self.index,
                        part=number,
                        parts=len(parts),
                        objects=objects,
                    )
                )
