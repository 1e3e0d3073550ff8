"""Tests of the durations in messages."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from monsoonhinge.protocol import durations


@given(st.floats(allow_nan=False))
def test_duration_beyond_its_field(seconds: float) -> None:
    """Guards against durations that end the task that sends them."""
    assert 0 <= durations.to_ms(seconds) <= durations.MAX_MS
    assert 0 <= durations.to_us(seconds) <= durations.MAX_US


def test_duration_that_is_not_a_number_is_sent() -> None:
    """Guards against a fault that passes as no time at all."""
    with pytest.raises(ValueError):
        durations.to_ms(float("nan"))
