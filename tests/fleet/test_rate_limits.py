"""Tests of the permits for requests to targets with a rate limit."""

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.fleet import rate_limits
from monsoonhinge.protocol import fleet

# The users' rule for a window of this length.
_WINDOW_S = 4.0
_EXTRA_REQUESTS = 5


def _limit(
    requests_per_s: float, *, incarnation: int = 1, limited: bool = True
) -> fleet.RateLimit:
    return fleet.RateLimit(
        target="i-1",
        incarnation=incarnation,
        limited=limited,
        requests_per_s=requests_per_s,
    )


@hypothesis.given(
    requests_per_s=st.floats(0.1, 50.0),
    pauses_s=st.lists(st.floats(0.0, 1.0), min_size=50, max_size=400),
)
def test_permits_of_any_window_stay_within_the_limit(
    requests_per_s: float, pauses_s: list[float]
) -> None:
    """Guards against bursts of all gateways to a target in need."""
    limits = rate_limits.RateLimits()
    limits.record(_limit(requests_per_s), 0.0)
    now, granted = 0.0, []
    for pause_s in pauses_s:
        now += pause_s
        limits.record(_limit(requests_per_s), now)
        if limits.take("i-1", now) == 0.0:
            granted.append(now)
    for start in granted:
        in_window = sum(start <= at <= start + _WINDOW_S for at in granted)
        assert in_window <= 1.5 * requests_per_s * _WINDOW_S + _EXTRA_REQUESTS


def test_permit_is_there_after_the_wait_that_was_named() -> None:
    """Guards against gateways that ask again and again in vain."""
    limits = rate_limits.RateLimits()
    limits.record(_limit(2.0), 0.0)
    wait_s = limits.take("i-1", 0.1)
    assert 0.0 < wait_s <= 0.5
    assert limits.take("i-1", 0.1 + wait_s + 0.001) == 0.0


def test_limit_of_an_earlier_start_does_not_bind_the_next_one() -> None:
    """Guards against a limit that outlasts the restart of its target."""
    limits = rate_limits.RateLimits()
    limits.record(_limit(1.0), 0.0)
    assert limits.record(_limit(0.0, incarnation=2, limited=False), 1.0)
    assert limits.take("i-1", 1.0) == 0.0
    assert not limits.snapshot(1.0).limits


def test_report_on_an_earlier_start_changes_nothing() -> None:
    """Guards against a late report that lifts the limit of a new start."""
    limits = rate_limits.RateLimits()
    limits.record(_limit(1.0, incarnation=2), 0.0)
    assert not limits.record(_limit(0.0, limited=False), 0.5)
    assert limits.take("i-1", 0.5) > 0.0


def test_limit_that_nobody_confirms_expires() -> None:
    """Guards against a target that is closed for good by one response."""
    limits = rate_limits.RateLimits()
    limits.record(_limit(0.0), 0.0)
    assert limits.take("i-1", 1.0) > 0.0
    assert limits.take("i-1", 1.0 + rate_limits.EXPIRY_S) == 0.0
