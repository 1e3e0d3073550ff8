"""Polls for a condition with a deadline."""

from collections.abc import Callable
import time

_POLL_S = 0.02


def wait_until(
    condition: Callable[[], bool], *, timeout: float, description: str
) -> None:
    """Polls until a condition holds.

    Args:
        condition: Returns whether the condition holds.
        timeout: Timeout in seconds.
        description: Description of the condition for the error message.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"condition not met within {timeout} s: {description}"
            )
        time.sleep(_POLL_S)
