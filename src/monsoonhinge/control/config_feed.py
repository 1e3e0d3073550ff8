"""Sends the configuration to the processes that watch it.

A small change is sent as one delta. A large one, and the configuration of a new
watcher, is sent as a snapshot in parts, each only once the watcher has read
most of the earlier ones. The size of a message and the unsent bytes of a
watcher are therefore independent of the size of the configuration.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import logging

from monsoonhinge.config import delta
from monsoonhinge.control import metrics
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

# Small enough that probes between two parts are answered within a second over
# a link of 5 Mbit/s.
_PART_BYTES = 128 * 1024

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Watcher:
    """A process that watches the configuration.

    Attributes:
        in_effect: Version that it has reported to be in effect.
        sent: Latest version that was sent to it completely.
        task: Sends it a snapshot, or None.
    """

    in_effect: int
    sent: int
    task: asyncio.Task[None] | None = None


class ConfigFeed:
    """Sends snapshots and deltas to watchers.

    Attributes:
        watchers: Watchers by connection.
    """

    def __init__(self, state: state_machine.StateMachine) -> None:
        self.watchers: dict[connection.Connection, _Watcher] = {}
        self._state = state

    def watch(self, link: connection.Connection, version: int) -> None:
        """Adds a watcher and sends it the configuration if it is outdated.

        Args:
            link: Connection to the watching process.
            version: Version in effect at the watching process.
        """
        self.unwatch(link)
        self.watchers[link] = _Watcher(in_effect=version, sent=version)
        if version != self._state.version:
            self._start_snapshot(link)

    def unwatch(self, link: connection.Connection) -> None:
        """Removes a watcher; an unknown connection is ignored."""
        watcher = self.watchers.pop(link, None)
        if watcher is not None and watcher.task is not None:
            watcher.task.cancel()

    def record_in_effect(
        self, link: connection.Connection, version: int
    ) -> None:
        """Records the version in effect at a watcher."""
        watcher = self.watchers.get(link)
        if watcher is not None:
            watcher.in_effect = version

    def version_at(self, link: connection.Connection) -> int:
        """Returns the version in effect at a watcher, or 0."""
        watcher = self.watchers.get(link)
        return 0 if watcher is None else watcher.in_effect

    def push_change(
        self, old_version: int, old_objects: dict[str, bytes], *, index: int
    ) -> None:
        """Sends a change of the configuration to all watchers.

        Args:
            old_version: Version before the change.
            old_objects: Objects of that version.
            index: Log index of the change.
        """
        change = delta.Delta.between(old_objects, self._state.objects)
        message = messages.ConfigDelta(
            base=old_version,
            version=self._state.version,
            index=index,
            upserts=list(change.upserts.values()),
            deletes=change.deletes,
        )
        is_small = change.size_bytes <= _PART_BYTES
        for link, watcher in list(self.watchers.items()):
            if watcher.task is not None:
                # It sends the newest version once it has sent its snapshot.
                continue
            if is_small and watcher.sent == old_version:
                if self._send(link, message):
                    watcher.sent = message.version
            else:
                self._start_snapshot(link)

    def push_snapshots(self) -> None:
        """Sends the configuration to all watchers."""
        for link, watcher in list(self.watchers.items()):
            if watcher.task is None:
                self._start_snapshot(link)

    def _start_snapshot(self, link: connection.Connection) -> None:
        watcher = self.watchers[link]
        watcher.task = asyncio.get_running_loop().create_task(
            self._send_snapshots(link, watcher)
        )

    async def _send_snapshots(
        self, link: connection.Connection, watcher: _Watcher
    ) -> None:
        """Sends snapshots until the watcher has been sent the newest one."""
        while watcher.sent != self._state.version:
            version = self._state.version
            started_at = asyncio.get_running_loop().time()
            size_bytes = 0
            for part in self._snapshot_parts():
                if not self._send(link, part):
                    watcher.task = None
                    return
                size_bytes += sum(map(len, part.objects))
                await link.drain()
            events.emit(
                events.CONFIG_SENT,
                subscriber=link.peer_hello.node,
                update="snapshot",
                base=watcher.sent,
                version=version,
                newest=self._state.version,
                bytes=size_bytes,
                seconds=round(
                    asyncio.get_running_loop().time() - started_at, 3
                ),
            )
            watcher.sent = version
        watcher.task = None

    def _snapshot_parts(self) -> Iterator[messages.ConfigSnapshot]:
        """Yields the parts of a snapshot of the present version."""
        version = self._state.version
        index = self._state.index
        parts = _split(self._state.objects)
        for number, objects in enumerate(parts):
            yield messages.ConfigSnapshot(
                version=version,
                index=index,
                part=number,
                parts=len(parts),
                objects=objects,
            )

    def _send(
        self, link: connection.Connection, message: messages.Message
    ) -> bool:
        """Sends a message to a watcher; returns whether it was sent."""
        try:
            link.notify(message)
        except errors.ConnectionLost:
            return False
        except errors.MessageTooLarge as error:
            metrics.UNSENT_CONFIGURATIONS.inc()
            _LOG.error(
                "configuration %d cannot be sent to %s: %s",
                self._state.version,
                link.peer_hello.node,
                error,
                extra={"step": error.step, "peer": link.peer},
            )
            return False
        return True


def _split(objects: dict[str, bytes]) -> list[list[bytes]]:
    """Splits objects into parts of about ``_PART_BYTES``; at least one."""
    parts: list[list[bytes]] = [[]]
    size_bytes = 0
    for data in objects.values():
        if parts[-1] and size_bytes + len(data) > _PART_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(data)
        size_bytes += len(data)
    return parts
