"""Share of the fleet-wide retry budget, without input or output.

Load pattern: targets fail or shed while all gateways repeat at once. Each
gateway spends only its own part, so that together they stay within it.
"""

import collections

# Part of the budget that is kept back for what gateways cannot see of
# each other.
_USABLE_FRACTION = 0.7


class RetryBudget:
    """Repeated attempts of one gateway in a sliding window, by service."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.gateway_count = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Counts a request."""
        self._recent_times(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Spends one repeated attempt; returns False if none is left."""
        requests = self._recent_times(self._requests, service, now)
        retries = self._recent_times(self._retries, service, now)
        allowed = _USABLE_FRACTION * (
            self.ratio * len(requests) + self.extra / max(1, self.gateway_count)
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _recent_times(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
