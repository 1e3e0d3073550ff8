"""Loads from the weight store within its rate, without input or output."""

import collections


class StoreBudget:
    """Starts of loads in a sliding window over all engines.

    Attributes:
        window_s: Length of the window.
        loading: Loads in flight, by (target, model).
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.loading: set[tuple[str, str]] = set()
        self._starts: collections.deque[float] = collections.deque()

    def may_start(self, *, loads_per_s: float, now: float) -> int:
        """Returns how many loads may start now."""
        while self._starts and now - self._starts[0] > self.window_s:
            self._starts.popleft()
        return int(loads_per_s * self.window_s) - len(self._starts)

    def start(self, target: str, model: str, now: float) -> None:
        """Notes an order to load; it counts also if no answer comes."""
        self._starts.append(now)
        self.loading.add((target, model))

    def finish(self, target: str, model: str) -> None:
        """Notes that a load has ended."""
        self.loading.discard((target, model))
