"""Prompt prefix cache of an emulated engine."""

import collections
from typing import Any

# Limits the size of announcements; further events are sent in later batches.
_MAX_BATCH_EVENTS = 256


class PrefixCache:
    """LRU cache of prompt prefixes that reports its changes in batches.

    Attributes:
        size: Number of prefixes kept.
        lag_s: Time after which an event is reported.
        drop_every: Drops every n-th batch; 0 for none.
        batch_number: Number of the latest batch.
        hit_count: Number of prompts of which at least one prefix was cached.
    """

    def __init__(self, *, size: int, lag_s: float, drop_every: int) -> None:
        self.size = size
        self.lag_s = lag_s
        self.drop_every = drop_every
        self.batch_number = 0
        self.hit_count = 0
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._announced_batch = 0
        self._events: collections.deque[tuple[float, int, bool]] = (
            collections.deque()
        )

    def lookup_and_store(self, prefixes: list[int], now: float) -> float:
        """Looks up a prompt and adds it to the cache.

        Args:
            prefixes: Ids of the prompt's prefixes, shortest first.
            now: Current time in seconds.

        Returns:
            Fraction of the prefixes that was cached, from 0 to 1.
        """
        cached_count = 0
        for prefix in prefixes:
            if prefix not in self._prefixes:
                break
            cached_count += 1
        self.hit_count += cached_count > 0
        for prefix in prefixes:
            if prefix not in self._prefixes:
                self._events.append((now, prefix, True))
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self.size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._events.append((now, evicted, False))
        return cached_count / len(prefixes) if prefixes else 0.0

    def clear(self, now: float) -> None:
        """Evicts all prefixes, as when a replica is unloaded."""
        for prefix in self._prefixes:
            self._events.append((now, prefix, False))
        self._prefixes.clear()

    def next_batch(self, now: float) -> tuple[int, list[dict[str, Any]]]:
        """Returns the number and the events of the next batch that is due.

        Without new events, or if the batch is dropped, the number is that of
        the last announced batch and the list is empty. A dropped batch leaves a
        gap in the numbers.
        """
        events: list[dict[str, Any]] = []
        while (
            self._events
            and len(events) < _MAX_BATCH_EVENTS
            and now - self._events[0][0] >= self.lag_s
        ):
            _, prefix, stored = self._events.popleft()
            events.append({"prefix": prefix, "stored": stored})
        if events:
            self.batch_number += 1
            if self.drop_every and self.batch_number % self.drop_every == 0:
                events = []
            else:
                self._announced_batch = self.batch_number
        return self._announced_batch, events
