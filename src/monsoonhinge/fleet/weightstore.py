"""Rate limit of loads from the weight store; performs no I/O."""

import collections


class StoreRateLimiter:
    """Limits the load starts of all engines within a sliding window.

    Attributes:
        window_s: Length of the window.
        active_loads: Loads in progress, as (target, model).
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.active_loads: set[tuple[str, str]] = set()
        self._starts: collections.deque[float] = collections.deque()

    def available_starts(self, *, loads_per_s: float, now: float) -> int:
        """Returns how many loads may start now within the rate limit."""
        while self._starts and now - self._starts[0] > self.window_s:
            self._starts.popleft()
        return int(loads_per_s * self.window_s) - len(self._starts)

    def record_start(self, target: str, model: str, now: float) -> None:
        """Records a load order; it counts even if the engine never responds."""
        self._starts.append(now)
        self.active_loads.add((target, model))

    def record_finish(self, target: str, model: str) -> None:
        """Records that a load has ended."""
        self.active_loads.discard((target, model))
