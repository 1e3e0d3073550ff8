"""Tests of the placement, each with the load that it answers."""

import math

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import weightstore
from tests.fleet import world

_NOW = 10.0
_STORE = placement.StoreState(active_loads=0, available_starts=10)


def _need(
    *,
    waiting: int = 0,
    rate: float = 0.0,
    slack_s: float = 3.0,
    patience_s: float = 3.0,
    adapter_rate: float = 0.0,
    adapters_wanted: dict[str, int] | None = None,
) -> demand.Need:
    return demand.Need(
        waiting=waiting,
        earliest_deadline=_NOW + slack_s,
        latest_queue_deadline=_NOW + patience_s,
        priority=1,
        adapters=adapters_wanted or {},
        rate=rate,
        adapter_rate=adapter_rate,
    )


def _plan(
    fleet: list[engines.Engine], needs: dict[str, demand.Need]
) -> list[placement.Swap]:
    return placement.plan(
        service=world.SERVICE,
        fleet=fleet,
        needs={world.key(name): need for name, need in needs.items()},
        store=_STORE,
        now=_NOW,
    )


def test_busy_model_goes_before_single_rare_requests() -> None:
    """Guards against a moved busy model that waits behind rare ones."""
    fleet = [world.engine(models=("m1", "m2", "m3"), on_disk=("m9",))]
    swaps = _plan(
        fleet,
        {
            "m9": _need(waiting=1, rate=0.05),
            "m5": _need(waiting=9, rate=4.0, slack_s=0.3),
        },
    )
    assert [swap.model for swap in swaps] == ["m5"]


def test_model_with_running_requests_does_not_yield() -> None:
    """Guards against an unload that waits for seconds."""
    fleet = [
        world.engine(
            models=("m1", "m2", "m3"),
            on_disk=("m9",),
            running={"m1": 2, "m2": 1},
        )
    ]
    swaps = _plan(fleet, {"m9": _need(waiting=1)})
    assert [swap.evict for swap in swaps] == [("m3",)]


def test_load_goes_where_a_copy_is() -> None:
    """Guards against a load from the store beside a copy on disk."""
    fleet = [
        world.engine("t1", models=("m1", "m2", "m3")),
        world.engine("t2", models=("m1", "m2", "m3"), on_disk=("m9",)),
    ]
    (swap,) = _plan(fleet, {"m9": _need(waiting=1)})
    assert (swap.target, swap.from_store) == ("t2", False)


def test_rare_model_does_not_hold_a_full_engine_for_a_store_load() -> None:
    """Guards against six seconds for one late request while others wait."""
    fleet = [world.engine(models=("m1",), on_disk=("m1", "m2", "m3"))]
    assert not _plan(fleet, {"m9": _need(waiting=1, rate=0.05)})


def test_new_engine_gets_the_busy_models_first() -> None:
    """Guards against an empty engine that loads one rare model for seconds."""
    fleet = [
        world.engine("t1", models=("m1", "m2", "m3"), on_disk=("m1",)),
        world.engine("t2"),
    ]
    swaps = _plan(
        fleet,
        {
            "m1": _need(rate=5.0, adapter_rate=1.0),
            "m9": _need(waiting=1, rate=0.05),
        },
    )
    assert [(swap.target, swap.model) for swap in swaps] == [("t2", "m1")]


def test_only_holder_of_busy_adapters_reads_nothing_from_the_store() -> None:
    """Guards against adapter requests that wait for a load of seconds."""
    fleet = [
        world.engine("t1", models=("m1",)),
        world.engine("t2", models=("m2",)),
    ]
    swaps = _plan(
        fleet,
        {
            "m1": _need(rate=2.0, adapter_rate=1.0),
            "m9": _need(waiting=8, rate=2.0),
        },
    )
    assert [swap.target for swap in swaps if swap.model == "m9"] == ["t2"]


_MODELS = st.sampled_from([f"m{number}" for number in range(20)])


@hypothesis.given(
    st.lists(st.sets(_MODELS, max_size=3), min_size=1, max_size=5),
    st.dictionaries(_MODELS, st.integers(0, 5), max_size=10),
)
def test_no_swap_exceeds_the_memory_of_an_engine(
    held: list[set[str]], waiting: dict[str, int]
) -> None:
    """Guards against an order that an engine cannot carry out."""
    fleet = [
        world.engine(f"t{number}", models=tuple(sorted(models)))
        for number, models in enumerate(held)
    ]
    by_name = {engine.target: engine for engine in fleet}
    swaps = _plan(
        fleet,
        {name: _need(waiting=count) for name, count in waiting.items()},
    )
    assert len({swap.target for swap in swaps}) == len(swaps)
    for swap in swaps:
        engine = by_name[swap.target]
        freed = sum(engine.size_bytes(name) for name in swap.evict)
        assert engine.free_bytes() + freed >= engine.size_bytes(swap.model)
        assert swap.model not in engine.replicas


def _adapters(
    fleet: list[engines.Engine],
    wanted: dict[str, int],
    in_flight: set[tuple[str, str, str]] | None = None,
) -> list[adapters.AdapterLoad]:
    return adapters.plan(
        service=world.SERVICE,
        fleet=fleet,
        needs={world.key("m1"): _need(waiting=1, adapters_wanted=wanted)},
        in_flight=in_flight or set(),
        now=_NOW,
    )


def _full_engine() -> engines.Engine:
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters = {f"a{n}": 0.0 for n in range(8)}
    return engine


def test_two_adapters_do_not_take_the_same_last_place() -> None:
    """Guards against an engine with more adapters than it has places."""
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters = {f"a{n}": 0.0 for n in range(7)}
    loads = _adapters([engine], {"a8": 1, "a9": 1})
    assert len(loads) == 1


def test_adapter_with_running_requests_does_not_yield() -> None:
    """Guards against an engine that refuses orders until runs end."""
    engine = _full_engine()
    engine.update_usage({("m1", f"a{n}"): 1 for n in range(7)}, _NOW)
    (load,) = _adapters([engine], {"a9": 1})
    assert load.evict == ("m1", "a7")


def test_swapping_engine_gets_no_adapter() -> None:
    """Guards against orders that an engine refuses while it loads."""
    engine = world.engine(models=("m1",))
    engine.swapping = True
    assert not _adapters([engine], {"a9": 1})


def test_full_engine_gets_one_adapter_at_a_time() -> None:
    """Guards against one adapter that yields twice."""
    engine = _full_engine()
    assert not _adapters([engine], {"a9": 1}, {("t1", "m1", "a10")})


def test_store_counts_starts_in_its_window() -> None:
    """Guards against more loads in a window than the store allows."""
    limiter = weightstore.StoreRateLimiter(window_s=5.0)
    for number in range(22):
        limiter.record_start("t", f"m{number}", 0.0)
    assert limiter.available_starts(loads_per_s=4.5, now=4.9) == 0
    assert limiter.available_starts(loads_per_s=4.5, now=5.1) == 22


def test_demand_forgets_silent_gateways_and_keeps_rates() -> None:
    """Guards against loads for callers of a gateway that crashed."""
    tracker = demand.DemandTracker()
    message = world.fleet.FleetDemand(
        gateway="g",
        needs=[
            world.fleet.ModelNeed(
                service=world.SERVICE, model="m1", waiting=2, arrived=6
            )
        ],
    )
    tracker.update(message, 0.0)
    assert tracker.needs(0.0)[world.key("m1")].waiting == 2
    tracker.expire(10.0)
    need = tracker.needs(10.0)[world.key("m1")]
    assert need.waiting == 0
    assert 0 < need.rate < 1
    assert math.isinf(need.earliest_deadline)


def test_model_of_an_unreachable_engine_is_loaded_elsewhere() -> None:
    """Guards against requests that wait for an engine that crashed."""
    lost = world.engine("t1", models=("m1",), on_disk=("m1",))
    lost.unreachable = True
    other = world.engine("t2", models=("m2",), on_disk=("m1", "m2"))
    (swap,) = _plan([lost, other], {"m1": _need(waiting=1)})
    assert swap.target == "t2"


def test_busy_model_does_not_yield_right_after_its_load() -> None:
    """Guards against a busy model that is loaded and dropped in turn."""
    fleet = [
        world.engine("t1", models=("m1",), running={"m1": 3}),
        world.engine("t2", models=("m1", "m2", "m3"), on_disk=("m9",)),
    ]
    swaps = _plan(
        fleet,
        {"m1": _need(rate=5.0, adapter_rate=1.0), "m9": _need(waiting=1)},
    )
    assert all("m1" not in swap.evict for swap in swaps)


def test_idle_engine_loads_a_model_without_a_copy() -> None:
    """Guards against rare models that only the store holds and nobody loads.

    Engines were kept free for loads from disk that might be needed, and a
    request that waited 15 s for such a model was refused at the end.
    """
    copies = tuple(f"m{number}" for number in range(4, 12))
    fleet = [
        world.engine(f"t{number}", models=("m1", "m2", "m3"), on_disk=copies)
        for number in range(3)
    ]
    rare = {name: _need(rate=0.3) for name in copies}
    patient = _need(waiting=1, patience_s=12.0)
    (swap,) = _plan(fleet, rare | {"m15": patient})
    assert (swap.model, swap.from_store) == ("m15", True)
    # A request that leaves before the load ends gains nothing by it.
    assert not _plan(fleet, rare | {"m15": _need(waiting=1, patience_s=2.0)})


def test_load_from_the_store_leaves_an_engine_for_the_disks() -> None:
    """Guards against engines that read from the store while disks could serve.

    Two of three engines read from the store for seconds each, and requests
    for models with copies waited behind them.
    """
    copies = tuple(f"m{number}" for number in range(4, 12))
    fleet = [
        world.engine(f"t{number}", models=("m1", "m2", "m3"), on_disk=copies)
        for number in range(2)
    ]
    needs = {"m4": _need(waiting=1), "m15": _need(waiting=1, patience_s=12.0)}
    rare = {name: _need(rate=0.3) for name in copies[1:]}
    swaps = _plan(fleet, rare | needs)
    assert [swap.model for swap in swaps] == ["m4"]
