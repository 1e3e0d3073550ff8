"""Time for which the machine was suspended."""

import time

# Two readings of the steady clock this close together enclose one moment.
_MAX_READING_S = 0.001


def suspended_s() -> float:
    """Returns for how long the machine was suspended since it was started.

    The steady clock of the event loop does not count that time, whereas other
    machines do. Added to the time of the event loop, it gives a clock for
    leases and for the age of what other machines confirmed.

    Returns:
        Seconds; 0 where the system cannot tell.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return 0.0
    while True:
        before = time.clock_gettime(time.CLOCK_MONOTONIC)
        since_start = time.clock_gettime(time.CLOCK_BOOTTIME)
        after = time.clock_gettime(time.CLOCK_MONOTONIC)
        if after - before <= _MAX_READING_S:
            return since_start - before
