"""Applies the replicated log to the state machine and notifies watchers."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.config import delta
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Keeps each part of a snapshot well below the maximum frame size.
_SNAPSHOT_PART_BYTES = 1024 * 1024


class ReplicatedState:
    """Applies committed commands and pushes new configurations to watchers.

    Attributes:
        state_machine: Deterministic state machine that holds the state.
        index: Index of the last applied command.
        watchers: Configuration version in effect at each watching process.
    """

    def __init__(self) -> None:
        self.state_machine = state_machine.StateMachine()
        self.index = 0
        self.watchers: dict[connection.Connection, int] = {}
        self._applied = asyncio.Event()

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies one committed command and returns its result."""
        old_version = self.state_machine.version
        old_objects = self.state_machine.objects
        result = self.state_machine.apply(index, codec.decode_command(data))
        self.index = index
        if self.state_machine.version != old_version:
            self._push_delta(old_version, old_objects)
        self._notify()
        return codec.encode_result(result)

    def capture(self) -> Callable[[], bytes]:
        """Captures the state and returns a function that encodes it.

        See ``StateMachine.capture``.
        """
        return self.state_machine.capture()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with a snapshot."""
        self.state_machine.restore(data)
        self.index = self.state_machine.index
        for link in list(self.watchers):
            self._send_snapshot(link)
        self._notify()

    def watch(self, link: connection.Connection, version: int) -> None:
        """Adds a watcher and sends it the configuration if it is outdated.

        Args:
            link: Connection to the watching process.
            version: Version in effect at the watching process.
        """
        self.watchers[link] = version
        if version != self.state_machine.version:
            self._send_snapshot(link)

    def unwatch(self, link: connection.Connection) -> None:
        """Removes a watcher; an unknown connection is ignored."""
        self.watchers.pop(link, None)

    async def wait_for_apply(self) -> None:
        """Waits until a command is applied or a snapshot is restored."""
        await self._applied.wait()

    def _notify(self) -> None:
        self._applied.set()
        self._applied = asyncio.Event()

    def _push_delta(
        self, old_version: int, old_objects: dict[str, bytes]
    ) -> None:
        change = delta.Delta.between(old_objects, self.state_machine.objects)
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
