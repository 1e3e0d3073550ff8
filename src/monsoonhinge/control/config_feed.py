"""Sends the configuration to the processes that watch it.

A watcher is sent what it lacks: the changes since the version that it has, or
the whole configuration if these are not known or larger. What does not fit one
message is sent in parts, each only once the watcher has read most of the
earlier ones. The size of a message and the unsent bytes of a watcher are
therefore independent of the size of the configuration, and a watcher that is
behind catches up although the configuration keeps changing.
"""

import asyncio
import dataclasses
import logging

from monsoonhinge.config import delta
from monsoonhinge.control import config_history
from monsoonhinge.control import config_updates
from monsoonhinge.control import metrics
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import supervision

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Watcher:
    """A process that watches the configuration.

    Attributes:
        in_effect: Version that it has reported to be in effect.
        sent: Latest version that was sent to it completely.
        reads_packed_parts: Whether its build reads deltas in several parts
            and compressed objects.
        task: Sends it an update in parts, or None.
    """

    in_effect: int
    sent: int
    reads_packed_parts: bool
    task: asyncio.Task[None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _UpdateKey:
    """What the parts of an update to the version in effect depend on.

    Attributes:
        base: Version that the watcher has, or None for a snapshot.
        packed: Whether objects are compressed.
    """

    base: int | None
    packed: bool


class ConfigFeed:
    """Sends the configuration and its changes to watchers.

    Attributes:
        watchers: Watchers by connection.
    """

    def __init__(self, state: state_machine.StateMachine) -> None:
        self.watchers: dict[connection.Connection, _Watcher] = {}
        self._state = state
        self._history = config_history.ConfigHistory()
        # Updates to the version in effect.
        self._updates: dict[_UpdateKey, config_updates.SharedParts] = {}
        self._supervisor = supervision.Supervisor()

    def watch(
        self, link: connection.Connection, message: messages.Watch
    ) -> None:
        """Adds a watcher and sends it what it lacks.

        Args:
            link: Connection to the watching process.
            message: The subscription, with the version in effect there.
        """
        self.unwatch(link)
        watcher = _Watcher(
            in_effect=message.version,
            sent=message.version,
            reads_packed_parts=message.reads_packed_parts,
        )
        self.watchers[link] = watcher
        self._update(link, watcher)

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
        self, old_version: int, old_objects: dict[str, bytes]
    ) -> None:
        """Sends a change of the configuration to all watchers.

        Args:
            old_version: Version before the change.
            old_objects: Objects of that version.
        """
        change = delta.Delta.between(old_objects, self._state.objects)
        self._history.append(old_version, self._state.version, change)
        self._update_all()

    def push_snapshots(self) -> None:
        """Sends a configuration that replaces all to all watchers."""
        self._history.clear()
        self._update_all()

    def _update_all(self) -> None:
        self._updates.clear()
        for link, watcher in list(self.watchers.items()):
            self._update(link, watcher)

    def _update(self, link: connection.Connection, watcher: _Watcher) -> None:
        """Sends a watcher what it lacks, unless that is in progress."""
        if watcher.task is not None or watcher.sent >= self._state.version:
            return
        change = self._history.since(watcher.sent)
        if change is None or change.size_bytes > config_updates.PART_BYTES:
            watcher.task = self._supervisor.spawn(
                "send_configuration", self._send_updates(link, watcher)
            )
            return
        message = config_updates.delta_message(
            change,
            base=watcher.sent,
            version=self._state.version,
            index=self._state.index,
        )
        if self._send(link, message):
            watcher.sent = message.version

    async def _send_updates(
        self, link: connection.Connection, watcher: _Watcher
    ) -> None:
        """Sends updates in parts until the watcher lacks nothing."""
        try:
            while watcher.sent < self._state.version:
                update = self._next_update(watcher)
                if not await self._send_parts(link, watcher, update):
                    break
                watcher.sent = update.version
        finally:
            watcher.task = None

    async def _send_parts(
        self,
        link: connection.Connection,
        watcher: _Watcher,
        update: config_updates.SharedParts,
    ) -> bool:
        """Sends the parts of an update; returns whether all were sent."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        size_bytes = 0
        number = 0
        while (part := update.part(number)) is not None:
            if not self._send(link, part):
                return False
            size_bytes += config_updates.part_size_bytes(part)
            number += 1
            await link.drain()
            # Encoding the next part takes milliseconds.
            await asyncio.sleep(0)
        events.emit(
            events.CONFIG_SENT,
            subscriber=link.peer_hello.node,
            update=update.kind,
            base=watcher.sent,
            version=update.version,
            newest=self._state.version,
            bytes=size_bytes,
            seconds=round(loop.time() - started_at, 3),
        )
        return True

    def _next_update(self, watcher: _Watcher) -> config_updates.SharedParts:
        """Returns the changes that a watcher lacks, or a snapshot."""
        change = self._history.since(watcher.sent)
        if change is not None and not self._suits(change, watcher):
            change = None
        base = None if change is None else watcher.sent
        key = _UpdateKey(base=base, packed=watcher.reads_packed_parts)
        update = self._updates.get(key)
        if update is None:
            update = self._updates[key] = self._encode(key, change)
        return update

    def _suits(self, change: delta.Delta, watcher: _Watcher) -> bool:
        """Returns whether a change is sent rather than a snapshot."""
        if change.size_bytes <= config_updates.PART_BYTES:
            return True
        snapshot_bytes = sum(map(len, self._state.objects.values()))
        return watcher.reads_packed_parts and change.size_bytes < snapshot_bytes

    def _encode(
        self, key: _UpdateKey, change: delta.Delta | None
    ) -> config_updates.SharedParts:
        """Returns an update to the version in effect."""
        version, index = self._state.version, self._state.index
        if change is None or key.base is None:
            return config_updates.SharedParts(
                kind="snapshot",
                version=version,
                parts=config_updates.snapshot_parts(
                    self._state.objects.values(),
                    version=version,
                    index=index,
                    packed=key.packed,
                ),
            )
        if not key.packed:
            message = config_updates.delta_message(
                change, base=key.base, version=version, index=index
            )
            return config_updates.SharedParts(
                kind="delta", version=version, parts=iter([message])
            )
        return config_updates.SharedParts(
            kind="delta",
            version=version,
            parts=config_updates.delta_parts(
                change, base=key.base, version=version, index=index
            ),
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
