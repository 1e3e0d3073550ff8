"""Sum of events that loses half of its value in a fixed time."""

import math


class DecayingSum:
    """Counts events, of which recent ones weigh more.

    Attributes:
        half_life_s: Time after which an event counts for half.
    """

    __slots__ = ("_updated_at", "_value", "half_life_s")

    def __init__(self, *, half_life_s: float) -> None:
        self.half_life_s = half_life_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds events that happen now."""
        self._value = self.current(now) + amount
        self._updated_at = now

    def current(self, now: float) -> float:
        """Returns the sum at a time, which is not before the last event."""
        elapsed_s = max(0.0, now - self._updated_at)
        return self._value * float(0.5 ** (elapsed_s / self.half_life_s))

    def rate_per_s(self, now: float) -> float:
        """Returns the smoothed number of events per second."""
        return self.current(now) * math.log(2) / self.half_life_s
