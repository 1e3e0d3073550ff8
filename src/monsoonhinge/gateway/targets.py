"""The gateway's view of the target directory."""

from collections.abc import Iterable

from monsoonhinge.gateway import dispatch
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory


class Targets:
    """Merges announcements, and tells the dispatcher who can take work.

    Attributes:
        directory: Latest announcement of every live target.
    """

    def __init__(self, *, dispatcher: dispatch.Dispatcher) -> None:
        self.directory = directory.Directory()
        self._dispatcher = dispatcher

    def learn(self, states: Iterable[messages.TargetState], now: float) -> None:
        """Takes announcements, each unless a newer one is known."""
        for state in states:
            known = self.directory.entries.get(state.target)
            if not self.directory.update(state, now):
                continue
            if known and known.state.incarnation != state.incarnation:
                self._dispatcher.ejections.forget(state.target)
            for name in self._dispatcher.router.update(state, now):
                self._dispatcher.offered(name)

    def expire(self, now: float) -> None:
        """Drops targets that no longer announce themselves."""
        for name in self.directory.expire(now):
            self._dispatcher.router.remove(name)
            self._dispatcher.ejections.forget(name)
