"""Retry budget of a gateway; performs no I/O.

Load pattern: targets fail or shed load, and all gateways retry at the same
time. Each gateway uses only its own part of the fleet-wide budget, so that all
of them together stay within it.
"""

import collections

# Fraction of the budget that is used. The rest is a margin, since gateways do
# not see the retries of each other.
_USABLE_FRACTION = 0.7


class RetryBudget:
    """Limits the retries of one gateway in a sliding window, by service.

    Attributes:
        ratio: Retries per request.
        extra: Retries of the whole fleet beyond the ratio.
        window_s: Length of the window.
        gateway_count: Number of gateways that share the extra retries.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.gateway_count = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Counts a new request; each one permits ``ratio`` more retries."""
        self._recent_times(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if the budget is used up."""
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
