"""Share of the fleet-wide retry budget, without input or output.

Load pattern: targets fail or shed while all gateways repeat at once. Each
gateway spends only its own part, so that together they stay within it.
"""

import collections

# Part of the budget that is kept back for what gateways cannot see of
# each other.
_MARGIN = 0.7


class RetryBudget:
    """Repeated attempts of one gateway in a sliding window, by service."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.gateways = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def request(self, service: str, now: float) -> None:
        """Counts a request."""
        self._times(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Spends one repeated attempt; returns False if none is left."""
        requests = self._times(self._requests, service, now)
        repeats = self._times(self._repeats, service, now)
        allowed = _MARGIN * (
            self.ratio * len(requests) + self.extra / max(1, self.gateways)
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _times(
        self,
        table: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
