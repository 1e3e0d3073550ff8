"""Which prompt prefixes targets hold in their cache."""

from collections.abc import Iterable, Sequence

from monsoonhinge.protocol import messages

_MAX_PREFIXES = 65_536


class Cache:
    """Prefixes that one target is known to hold."""

    def __init__(self) -> None:
        self._batch: int | None = None
        self._known: dict[int, None] = {}

    def update(self, batch: int, events: Iterable[messages.CacheEvent]) -> None:
        """Applies a batch of events; forgets all after a gap."""
        if batch == self._batch:
            return
        if self._batch is None or batch != self._batch + 1:
            self._known.clear()
        self._batch = batch
        for event in events:
            if event.stored:
                self._known[event.prefix] = None
            else:
                self._known.pop(event.prefix, None)
        while len(self._known) > _MAX_PREFIXES:
            del self._known[next(iter(self._known))]

    def matched(self, names: Sequence[int]) -> float:
        """Returns which part of a prompt's blocks is cached, from 0 to 1."""
        for length in range(len(names), 0, -1):
            if names[length - 1] in self._known:
                return length / len(names)
        return 0.0
