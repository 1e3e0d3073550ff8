"""Loads from the weight store within its rate, without input or output."""

import collections


class StoreRateLimiter:
    """Starts of loads in a sliding window over all engines.

    Attributes:
        window_s: Length of the window.
        loading: Loads in flight, by (target, model).
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.active_loads: set[tuple[str, str]] = set()
        self._starts: collections.deque[float] = collections.deque()

    def available_starts(self, *, loads_per_s: float, now: float) -> int:
        """Returns how many loads may start now."""
        while self._starts and now - self._starts[0] > self.window_s:
            self._starts.popleft()
        return int(loads_per_s * self.window_s) - len(self._starts)

    def record_start(self, target: str, model: str, now: float) -> None:
        """Notes an order to load; it counts also if no answer comes."""
        self._starts.append(now)
        self.active_loads.add((target, model))

    def record_finish(self, target: str, model: str) -> None:
        """Notes that a load has ended."""
        self.active_loads.discard((target, model))
