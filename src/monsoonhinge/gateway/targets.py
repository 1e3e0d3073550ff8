"""The gateway's view of the target directory."""

from collections.abc import Iterable
import dataclasses

from monsoonhinge.gateway import dispatch
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory
from monsoonhinge.scheduler import publisher

# A target that no scheduler publishes any more is dropped this long after its
# last announcement.
_FORGET_S = 30.0


class Targets:
    """Merges announcements, and tells the dispatcher who can take work.

    A target whose announcement expires gets no work, but stays known as long
    as a scheduler publishes it: its structure is not sent again when later
    heartbeats confirm it.

    Attributes:
        directory: Latest announcement of every known target.
    """

    def __init__(self, *, dispatcher: dispatch.Dispatcher) -> None:
        self.directory = directory.Directory()
        self._dispatcher = dispatcher
        self._expired: set[str] = set()
        # Targets in the directory of each scheduler, by connection.
        self._published: dict[object, set[str]] = {}

    def learn(self, states: Iterable[messages.TargetState], now: float) -> None:
        """Takes announcements, each unless a newer one is known."""
        for state in states:
            known = self.directory.entries.get(state.target)
            if not self.directory.update(state, now):
                continue
            if known and known.state.incarnation != state.incarnation:
                self._dispatcher.ejections.forget(state.target)
            self._offer(state, now)

    def publish(
        self, source: object, update: messages.DirectoryUpdate, now: float
    ) -> None:
        """Takes structure that a scheduler published.

        Args:
            source: Connection to the scheduler.
            update: The update.
            now: Current time in seconds.
        """
        names = self._published.setdefault(source, set())
        if update.full:
            names.clear()
        names.difference_update(update.removed)
        names.update(state.target for state in update.targets)
        self.learn(update.targets, now)

    def heartbeat(
        self, source: object, message: messages.Loads, now: float
    ) -> None:
        """Takes ages and loads of the targets that a scheduler publishes."""
        late = {item.target: item.age_ms for item in message.late}
        for name in self._published.get(source, ()):
            entry = self.directory.entries.get(name)
            if entry is not None:
                age_ms = late.get(name, message.bound_ms)
                entry.heard_at = max(entry.heard_at, now - age_ms / 1000)
        for load in message.targets:
            entry = self.directory.entries.get(load.target)
            if entry is not None and load.sequence > entry.state.sequence:
                self.learn([publisher.with_load(entry.state, load)], now)
        self._restore(now)

    def forget_source(self, source: object) -> None:
        """Forgets what a scheduler published; its connection has ended."""
        self._published.pop(source, None)

    def expire(self, now: float) -> None:
        """Gives no more work to targets whose announcement has expired."""
        for name, entry in list(self.directory.entries.items()):
            age = now - entry.heard_at
            if age <= directory.EXPIRY_S:
                continue
            if name not in self._expired:
                self._expired.add(name)
                self._dispatcher.router.remove(name)
                self._dispatcher.ejections.forget(name)
            if age > _FORGET_S and not self._is_published(name):
                del self.directory.entries[name]
                self._expired.discard(name)

    def usable(self) -> list[str]:
        """Returns the targets that may get work."""
        return sorted(self.directory.entries.keys() - self._expired)

    def _restore(self, now: float) -> None:
        for name in list(self._expired):
            entry = self.directory.entries[name]
            if now - entry.heard_at <= directory.EXPIRY_S:
                self._offer(
                    dataclasses.replace(
                        entry.state, age_ms=int((now - entry.heard_at) * 1000)
                    ),
                    now,
                )

    def _offer(self, state: messages.TargetState, now: float) -> None:
        self._expired.discard(state.target)
        for name in self._dispatcher.router.update(state, now):
            self._dispatcher.capacity_changed(name)

    def _is_published(self, name: str) -> bool:
        return any(name in names for names in self._published.values())
