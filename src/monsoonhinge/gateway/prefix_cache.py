"""Prompt prefixes that a target is known to have cached."""

from collections.abc import Iterable, Sequence

from monsoonhinge.protocol import messages

_MAX_PREFIXES = 65_536


class PrefixCache:
    """Cached prefixes of one target, by the events that it announced."""

    def __init__(self) -> None:
        self._batch: int | None = None
        self._prefixes: dict[int, None] = {}

    def update(self, batch: int, events: Iterable[messages.CacheEvent]) -> None:
        """Applies a batch of cache events.

        After a gap in the batch numbers all prefixes are dropped, because the
        target may have evicted them. A repeated batch is ignored.

        Args:
            batch: Number of the batch; consecutive batches count up by one.
            events: Prefixes stored and evicted.
        """
        if batch == self._batch:
            return
        if self._batch is None or batch != self._batch + 1:
            self._prefixes.clear()
        self._batch = batch
        for event in events:
            if event.stored:
                self._prefixes[event.prefix] = None
            else:
                self._prefixes.pop(event.prefix, None)
        while len(self._prefixes) > _MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def cached_fraction(self, prefixes: Sequence[int]) -> float:
        """Returns the cached fraction of a prompt's blocks, from 0 to 1.

        Args:
            prefixes: Hashes of the prompt's prefixes, the shortest first.
        """
        for length in range(len(prefixes), 0, -1):
            if prefixes[length - 1] in self._prefixes:
                return length / len(prefixes)
        return 0.0
