"""Tests of the limits of loads from the weight store."""

from monsoonhinge.fleet import weightstore

_FULL_SPEED_S = 8.0


def _start(limiter: weightstore.StoreLimiter, count: int, now: float) -> None:
    for number in range(count):
        limiter.record_start(
            f"t{number}", "m", full_speed_s=_FULL_SPEED_S, now=now
        )


def _finish(limiter: weightstore.StoreLimiter, count: int, now: float) -> None:
    for number in range(count):
        limiter.record_finish(f"t{number}", "m", loaded=True, now=now)


def test_store_limiter_counts_starts_within_its_window() -> None:
    """Guards against more load starts in a window than the rate allows."""
    limiter = weightstore.StoreLimiter(window_s=5.0)
    _start(limiter, 22, 0.0)
    assert limiter.available_starts(loads_per_s=4.5, now=4.9) == 0
    assert limiter.available_starts(loads_per_s=4.5, now=5.1) == 22


def test_slow_loads_lower_the_limit_to_what_the_store_reads_at_once() -> None:
    """Guards against loads that share the speed of the store for seconds."""
    limiter = weightstore.StoreLimiter(window_s=5.0)
    _start(limiter, 6, 10.0)
    # The store reads two at once, so that six take three times as long.
    _finish(limiter, 6, 10.0 + 3 * _FULL_SPEED_S)
    assert limiter.max_concurrency == 2


def test_loads_at_full_speed_raise_the_limit() -> None:
    """Guards against a fast store that is used for two loads only."""
    limiter = weightstore.StoreLimiter(window_s=5.0)
    now = 0.0
    for _ in range(3):
        count = limiter.max_concurrency
        _start(limiter, count, now)
        now += _FULL_SPEED_S
        _finish(limiter, count, now)
    assert limiter.max_concurrency >= 4


def test_single_loads_leave_the_limit_unchanged() -> None:
    """Guards against a limit that grows without any concurrent loads."""
    limiter = weightstore.StoreLimiter(window_s=5.0)
    for number in range(5):
        _start(limiter, 1, number * 10.0)
        _finish(limiter, 1, number * 10.0 + _FULL_SPEED_S)
    assert limiter.max_concurrency == 2


def test_planned_load_counts_before_its_order_is_sent() -> None:
    """Guards against more loads while an engine still unloads for one."""
    limiter = weightstore.StoreLimiter(window_s=5.0)
    limiter.reserve("t0", "m")
    assert limiter.active_loads == {("t0", "m")}
    _start(limiter, 1, 1.0)
    assert limiter.active_loads == {("t0", "m")}
    _finish(limiter, 1, 9.0)
    assert not limiter.active_loads


def test_loads_that_started_first_do_not_raise_the_limit() -> None:
    """Guards against a limit that grows beyond what the store reads at once.

    The store may slow down only the loads that start while it is in use.
    """
    limiter = weightstore.StoreLimiter(window_s=5.0)
    _start(limiter, 2, 0.0)
    _finish(limiter, 2, _FULL_SPEED_S)
    assert limiter.max_concurrency == 3
    _start(limiter, 3, 10.0)
    for number in range(2):
        limiter.record_finish(
            f"t{number}", "m", loaded=True, now=10.0 + _FULL_SPEED_S
        )
    assert limiter.max_concurrency == 3
    limiter.record_finish(
        "t2", "m", loaded=True, now=10.0 + 1.5 * _FULL_SPEED_S
    )
    assert limiter.max_concurrency == 2
