"""Durations as the messages carry them."""

import math

# Beyond these, a duration is as good as unlimited; any message carries them.
MAX_MS = 2**53
MAX_US = 2**53


def to_ms(seconds: float) -> int:
    """Returns a duration in whole milliseconds, from 0 to ``MAX_MS``.

    Raises:
        ValueError: The duration is not a number.
    """
    return round(min(_not_negative(seconds) * 1e3, MAX_MS))


def to_us(seconds: float) -> int:
    """Returns a duration in microseconds, rounded up, from 0 to ``MAX_US``.

    Raises:
        ValueError: The duration is not a number.
    """
    return math.ceil(min(_not_negative(seconds) * 1e6, MAX_US))


def _not_negative(seconds: float) -> float:
    if math.isnan(seconds):
        raise ValueError("a duration is not a number")
    return max(0.0, seconds)
