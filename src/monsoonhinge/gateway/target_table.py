"""Targets known to the gateway, merged from announcements and schedulers."""

from collections.abc import Iterable
import dataclasses

from monsoonhinge.gateway import dispatch
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory
from monsoonhinge.scheduler import publisher

# A target that no scheduler publishes is dropped this long after its last
# announcement.
_UNPUBLISHED_RETENTION_S = 30.0


class TargetTable:
    """Merges announcements and keeps the router up to date.

    A target whose announcement expires gets no requests, but its entry is kept
    for as long as a scheduler publishes the target: later heartbeats may
    confirm it, and its structure would not be sent again.

    Attributes:
        directory: Latest announcement of every known target.
    """

    def __init__(self, *, dispatcher: dispatch.Dispatcher) -> None:
        self.directory = directory.Directory()
        self._dispatcher = dispatcher
        self._expired: set[str] = set()
        # Targets in the directory of each scheduler, by connection.
        self._published: dict[object, set[str]] = {}

    def apply_announcements(
        self, states: Iterable[messages.TargetState], now: float
    ) -> None:
        """Applies announcements, except those older than a known one."""
        for state in states:
            known = self.directory.entries.get(state.target)
            if not self.directory.update(state, now):
                continue
            if known and known.state.incarnation != state.incarnation:
                self._dispatcher.ejections.forget(state.target)
                self._dispatcher.pauses.forget(state.target)
            self._make_routable(state, now)

    def apply_directory_update(
        self, source: object, update: messages.DirectoryUpdate, now: float
    ) -> None:
        """Applies a directory update of a scheduler.

        Args:
            source: Connection to the scheduler.
            update: Full directory, or targets added, changed and removed.
            now: Current time in seconds.
        """
        names = self._published.setdefault(source, set())
        if update.full:
            names.clear()
        names.difference_update(update.removed)
        names.update(state.target for state in update.targets)
        self.apply_announcements(update.targets, now)

    def apply_heartbeat(
        self, source: object, message: messages.Loads, now: float
    ) -> None:
        """Applies the ages and loads of the targets of a scheduler.

        Args:
            source: Connection to the scheduler.
            message: Heartbeat of the directory.
            now: Current time in seconds.
        """
        late = {item.target: item.age_ms for item in message.late}
        for name in self._published.get(source, ()):
            entry = self.directory.entries.get(name)
            if entry is not None:
                age_ms = late.get(name, message.bound_ms)
                entry.announced_at = max(
                    entry.announced_at, now - age_ms / 1000
                )
        for load in message.targets:
            entry = self.directory.entries.get(load.target)
            if entry is not None and load.sequence > entry.state.sequence:
                self.apply_announcements(
                    [publisher.apply_load(entry.state, load)], now
                )
        self._restore_confirmed(now)

    def forget_scheduler(self, source: object) -> None:
        """Drops the directory of a scheduler whose connection has ended."""
        self._published.pop(source, None)

    def expire(self, now: float) -> None:
        """Removes targets with expired announcements from the router."""
        for name, entry in list(self.directory.entries.items()):
            age = now - entry.announced_at
            if age <= directory.EXPIRY_S:
                continue
            if name not in self._expired:
                self._expired.add(name)
                self._dispatcher.router.remove(name)
                self._dispatcher.ejections.forget(name)
            if age > _UNPUBLISHED_RETENTION_S and not self._is_published(name):
                del self.directory.entries[name]
                self._expired.discard(name)

    def usable(self) -> list[str]:
        """Returns the ids of the targets that may get requests."""
        return sorted(self.directory.entries.keys() - self._expired)

    def _restore_confirmed(self, now: float) -> None:
        for name in list(self._expired):
            entry = self.directory.entries[name]
            if now - entry.announced_at <= directory.EXPIRY_S:
                self._make_routable(
                    dataclasses.replace(
                        entry.state,
                        age_ms=int((now - entry.announced_at) * 1000),
                    ),
                    now,
                )

    def _make_routable(self, state: messages.TargetState, now: float) -> None:
        self._expired.discard(state.target)
        for name in self._dispatcher.router.update(state, now):
            self._dispatcher.capacity_changed(name)

    def _is_published(self, name: str) -> bool:
        return any(name in names for names in self._published.values())
