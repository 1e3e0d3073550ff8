"""Tests of the desired replicas of busy models."""

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import replica_targets
from tests.fleet import world

# Models that an engine of world.LIMITS holds.
_MODELS_PER_ENGINE = 3


@hypothesis.given(
    st.integers(1, 40),
    st.lists(st.floats(0.8, 30.0), min_size=1, max_size=60),
    st.floats(0.0, 60.0),
)
def test_busy_models_never_take_all_memory(
    engine_count: int, rates: list[float], rare_rate: float
) -> None:
    """Guards against desired replicas that add up to all of the memory."""
    fleet = [world.engine(f"t{number}") for number in range(engine_count)]
    needs = {
        f"m{number}": demand.Need(rate=rate, adapter_rate=rate / 2)
        for number, rate in enumerate(rates)
    }
    needs |= {
        f"r{number}": demand.Need(rate=rare_rate / 100) for number in range(100)
    }
    desired = replica_targets.desired_replicas(fleet, needs)
    assert all(needs[model].rate >= 0.8 for model in desired)
    assert all(count >= 1 for count in desired.values())
    half = -(-_MODELS_PER_ENGINE * engine_count // 2)
    assert sum(desired.values()) <= half


def test_busier_models_get_more_replicas() -> None:
    """Guards against equal replicas for models with unequal demand."""
    fleet = [world.engine(f"t{number}") for number in range(30)]
    needs = {
        "m0": demand.Need(rate=16.0),
        "m1": demand.Need(rate=8.0),
        "m2": demand.Need(rate=4.0),
    } | {f"m{number}": demand.Need(rate=2.0) for number in range(3, 15)}
    desired = replica_targets.desired_replicas(fleet, needs)
    assert desired["m0"] > desired["m1"] > desired["m2"] > desired["m3"]


def test_few_busy_models_keep_several_replicas() -> None:
    """Guards against a busy model that stops with a single engine."""
    fleet = [world.engine(f"t{number}") for number in range(5)]
    needs = {f"m{number}": demand.Need(rate=3.0) for number in range(3)}
    desired = replica_targets.desired_replicas(fleet, needs)
    assert min(desired.values()) == 2
