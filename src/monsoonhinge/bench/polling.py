"""Waiting for a condition with a deadline."""

from collections.abc import Callable
import time

_POLL_S = 0.02


def wait_until(
    condition: Callable[[], bool], *, timeout: float, what: str
) -> None:
    """Polls until a condition holds.

    Raises:
        TimeoutError: It does not hold in time; the message says what.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout} s: {what}")
        time.sleep(_POLL_S)
