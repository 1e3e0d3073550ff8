"""Tests of the retry budget, backoff and ejection."""

import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonhinge.gateway import retry


@hypothesis.given(steps=st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_budget(steps: list[bool]) -> None:
    """Guards against retries that overload targets when many fail."""
    budget = retry.RetryBudget()
    requests = retries = 0
    for is_request in steps:
        if is_request:
            requests += 1
            budget.count_request()
        else:
            retries += budget.take()
        assert retries <= 1 + retry.BUDGET_RATIO * requests + 1e-6


def test_budget_grows_with_requests() -> None:
    """Guards against a budget that never permits a retry."""
    budget = retry.RetryBudget()
    assert budget.take()
    assert not budget.take()
    for _ in range(10):
        budget.count_request()
    assert budget.take()


@pytest.mark.parametrize(
    "case", list(itertools.product([True, False], repeat=4))
)
def test_retry_only_if_safe(case: tuple[bool, bool, bool, bool]) -> None:
    """Guards against a refund that runs twice, or two responses to a caller."""
    retryable, sent, refused, started = case
    may_retry = retry.may_retry(
        retry.Failure(
            retryable=retryable,
            sent=sent,
            refused=refused,
            response_started=started,
        )
    )
    if started or (sent and not retryable):
        assert not may_retry
    else:
        assert may_retry


@hypothesis.given(attempt=st.integers(0, 10_000), seed=st.integers())
def test_backoff_is_jittered_and_bounded(attempt: int, seed: int) -> None:
    """Guards against synchronized retries and unbounded delays."""
    pause = retry.backoff_s(attempt, random.Random(seed))
    assert 0 <= pause <= 1.0


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.integers(0, 6), st.booleans(), st.floats(0, 5)),
        max_size=60,
    ),
    count=st.integers(0, 7),
)
def test_at_most_half_is_ejected(
    steps: list[tuple[int, bool, float]], count: int
) -> None:
    """Guards against ejecting all targets when all fail at once."""
    ejections = retry.Ejections()
    names = [str(number) for number in range(count)]
    now = 0.0
    for number, failed, pause in steps:
        now += pause
        if failed:
            ejections.record_failure(str(number), now)
        else:
            ejections.record_success(str(number), now)
        excluded = ejections.excluded(names, now)
        assert len(excluded) <= count // 2
        assert excluded <= set(names)


def test_ejection_grows_and_ends() -> None:
    """Guards against a target that is never tried again."""
    ejections = retry.Ejections()
    now = 0.0
    lengths: list[float] = []
    for _ in range(8):
        ejections.record_failure("a", now)
        ejections.record_failure("a", now)
        length = ejections.ejected_until()["a"] - now
        assert ejections.excluded(["a", "b"], now) == {"a"}
        now += length
        assert not ejections.excluded(["a", "b"], now)
        lengths.append(length)
    assert lengths == [1, 2, 4, 8, 16, 30, 30, 30]
    ejections.record_success("a", now)
    assert not ejections.ejected_until()
