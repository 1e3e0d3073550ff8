"""Tests of the placement of models and adapters, by load pattern."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from tests.fleet import world

_NOW = 10.0
_STORE = placement_plan.StoreState(
    active_loads=0, available_starts=10, max_concurrency=4
)


def _need(
    *,
    waiting: int = 0,
    rate: float = 0.0,
    deadline_s: float = 3.0,
    queue_timeout_s: float = 3.0,
    adapter_rate: float = 0.0,
    adapters_wanted: dict[str, int] | None = None,
) -> demand.Need:
    return demand.Need(
        waiting=waiting,
        earliest_latency_deadline=_NOW + deadline_s,
        latest_queue_deadline=_NOW + queue_timeout_s,
        priority=1,
        adapters=adapters_wanted or {},
        rate=rate,
        adapter_rate=adapter_rate,
    )


def _plan(
    fleet: list[engines.Engine], needs: dict[str, demand.Need]
) -> list[placement_plan.Swap]:
    return placement.plan(
        service=world.SERVICE,
        fleet=fleet,
        needs={world.key(name): need for name, need in needs.items()},
        store=_STORE,
        now=_NOW,
    ).swaps


def test_busy_model_is_loaded_before_rarely_used_models() -> None:
    """Guards against a busy model that waits behind rarely used ones."""
    fleet = [world.engine(models=("m1", "m2", "m3"), on_disk=("m9",))]
    swaps = _plan(
        fleet,
        {
            "m9": _need(waiting=1, rate=0.05),
            "m5": _need(waiting=9, rate=4.0, deadline_s=0.3),
        },
    )
    assert [swap.model for swap in swaps] == ["m5"]


def test_model_with_running_requests_is_not_evicted() -> None:
    """Guards against an unload that waits seconds for running requests."""
    fleet = [
        world.engine(
            models=("m1", "m2", "m3"),
            on_disk=("m9",),
            running={"m1": 2, "m2": 1},
        )
    ]
    swaps = _plan(fleet, {"m9": _need(waiting=1)})
    assert [swap.evictions for swap in swaps] == [("m3",)]


def test_load_prefers_an_engine_with_a_cached_copy() -> None:
    """Guards against a store load when another engine has a copy on disk."""
    fleet = [
        world.engine("t1", models=("m1", "m2", "m3")),
        world.engine("t2", models=("m1", "m2", "m3"), on_disk=("m9",)),
    ]
    (swap,) = _plan(fleet, {"m9": _need(waiting=1)})
    assert (swap.target, swap.from_store) == ("t2", False)


def _engine_of(
    version: str, target: str, *, models: tuple[str, ...]
) -> engines.Engine:
    engine = world.engine(target, models=models, on_disk=("m9",))
    engine.registration = dataclasses.replace(
        engine.registration, software_version=version
    )
    return engine


def test_model_is_loaded_where_a_stream_can_go_on() -> None:
    """Guards against streams refused as their model serves at other versions.

    The engine that began them has replaced the model or has crashed.
    """
    fleet = [
        _engine_of("v2", "t1", models=("m9",)),
        _engine_of("v2", "t2", models=("m1",)),
        _engine_of("v1", "t3", models=("m1", "m2", "m3")),
    ]
    need = _need(rate=0.1)

    def loads() -> list[tuple[str, str]]:
        swaps = _plan(fleet, {"m9": need})
        return [
            (swap.target, swap.model)
            for swap in swaps
            if swap.reason == "stream"
        ]

    assert not loads()
    need.bound["v1"] = 1
    assert loads() == [("t3", "m9")]
    fleet[2] = _engine_of("v1", "t3", models=("m9",))
    assert not loads()
    # Nobody runs this version, so that no load helps.
    need.bound = {"v3": 1}
    assert not loads()


def test_stream_gets_an_engine_of_its_version_before_other_requests() -> None:
    """Guards against streams that wait behind what any engine may serve."""
    fleet = [
        _engine_of("v2", "t1", models=("m9", "m1", "m2")),
        _engine_of("v1", "t2", models=("m1", "m2", "m3")),
        _engine_of("v2", "t3", models=("m1", "m2", "m3")),
    ]
    for engine in fleet:
        engine.on_disk.add("m8")
    fleet[0].update_usage({("m9", ""): 1, ("m1", ""): 1, ("m2", ""): 1}, _NOW)
    stream = _need(rate=0.1)
    stream.bound["v1"] = 1
    swaps = _plan(fleet, {"m8": _need(waiting=5, rate=0.1), "m9": stream})
    assert {(swap.target, swap.model) for swap in swaps} == {
        ("t2", "m9"),
        ("t3", "m8"),
    }


def test_stream_at_the_only_version_waits_like_any_request() -> None:
    """Guards against streams whose model nobody reads from the store."""
    engine = _engine_of("v1", "t1", models=("m1",))
    engine.on_disk.clear()
    need = _need(rate=0.5, queue_timeout_s=9.0)
    need.bound["v1"] = 3
    (swap,) = _plan([engine], {"m9": need})
    assert (swap.model, swap.from_store) == ("m9", True)


def test_rarely_used_model_does_not_block_an_engine_for_a_store_load() -> None:
    """Guards against occupying an engine for a store load of six seconds.

    The load would serve a single request, after its deadline, while other
    requests wait.
    """
    fleet = [world.engine(models=("m1",), on_disk=("m1", "m2", "m3"))]
    assert not _plan(fleet, {"m9": _need(waiting=1, rate=0.05)})


def test_new_engine_loads_busy_models_first() -> None:
    """Guards against an empty engine that spends seconds on a rare model."""
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


def test_only_replica_for_busy_adapters_starts_no_store_load() -> None:
    """Guards against adapter requests that wait seconds for a store load."""
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
    loaded: list[set[str]], waiting: dict[str, int]
) -> None:
    """Guards against an order that an engine cannot carry out."""
    fleet = [
        world.engine(f"t{number}", models=tuple(sorted(models)))
        for number, models in enumerate(loaded)
    ]
    by_name = {engine.target: engine for engine in fleet}
    swaps = _plan(
        fleet,
        {name: _need(waiting=count) for name, count in waiting.items()},
    )
    assert len({swap.target for swap in swaps}) == len(swaps)
    for swap in swaps:
        engine = by_name[swap.target]
        freed = sum(engine.size_bytes(name) for name in swap.evictions)
        assert engine.free_bytes() + freed >= engine.size_bytes(swap.model)
        assert swap.model not in engine.replicas


def _plan_adapters(
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


def test_two_adapters_do_not_take_the_same_last_slot() -> None:
    """Guards against more adapters on an engine than its capacity."""
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters = {f"a{n}": 0.0 for n in range(7)}
    loads = _plan_adapters([engine], {"a8": 1, "a9": 1})
    assert len(loads) == 1


def test_adapter_with_running_requests_is_not_evicted() -> None:
    """Guards against an engine that refuses orders until requests finish."""
    engine = _full_engine()
    engine.update_usage({("m1", f"a{n}"): 1 for n in range(7)}, _NOW)
    (load,) = _plan_adapters([engine], {"a9": 1})
    assert load.eviction == ("m1", "a7")


def test_swapping_engine_gets_no_adapter_load() -> None:
    """Guards against orders that an engine refuses while it swaps models."""
    engine = world.engine(models=("m1",))
    engine.swapping = True
    assert not _plan_adapters([engine], {"a9": 1})


def test_full_engine_gets_one_adapter_at_a_time() -> None:
    """Guards against two loads that evict the same adapter."""
    engine = _full_engine()
    assert not _plan_adapters([engine], {"a9": 1}, {("t1", "m1", "a10")})


def test_demand_of_silent_gateways_expires_but_rates_are_kept() -> None:
    """Guards against loads for requests of a gateway that crashed."""
    tracker = demand.DemandTracker()
    message = world.fleet.FleetDemand(
        gateway="g",
        needs=[
            world.fleet.ModelNeed(
                service=world.SERVICE,
                model="m1",
                waiting=2,
                arrived=6,
                rate_per_ks=693,
            )
        ],
    )
    tracker.update(message, 0.0)
    assert tracker.needs(0.0)[world.key("m1")].waiting == 2
    tracker.expire(10.0)
    need = tracker.needs(10.0)[world.key("m1")]
    assert need.waiting == 0
    assert 0 < need.rate < 1
    assert math.isinf(need.earliest_latency_deadline)


def test_model_of_an_unreachable_engine_is_loaded_elsewhere() -> None:
    """Guards against requests that wait for a crashed engine."""
    lost = world.engine("t1", models=("m1",), on_disk=("m1",))
    lost.unreachable = True
    other = world.engine("t2", models=("m2",), on_disk=("m1", "m2"))
    (swap,) = _plan([lost, other], {"m1": _need(waiting=1)})
    assert swap.target == "t2"


def test_busy_model_keeps_its_desired_replicas() -> None:
    """Guards against a busy model that is loaded and evicted repeatedly."""
    fleet = [
        world.engine("t1", models=("m1",), running={"m1": 3}),
        world.engine("t2", models=("m1", "m2", "m3"), on_disk=("m9",)),
    ]
    swaps = _plan(
        fleet,
        {"m1": _need(rate=5.0, adapter_rate=1.0), "m9": _need(waiting=1)},
    )
    assert all("m1" not in swap.evictions for swap in swaps)


def test_idle_engine_loads_a_model_without_a_copy() -> None:
    """Guards against uncached models that are never loaded.

    Engines were kept free for expected loads from disk, so that a request
    waited 15 s for an uncached model and was then refused.
    """
    copies = tuple(f"m{number}" for number in range(4, 12))
    fleet = [
        world.engine(f"t{number}", models=("m1", "m2", "m3"), on_disk=copies)
        for number in range(3)
    ]
    rare = {name: _need(rate=0.3) for name in copies}
    need = _need(waiting=1, queue_timeout_s=12.0)
    (swap,) = _plan(fleet, rare | {"m15": need})
    assert (swap.model, swap.from_store) == ("m15", True)
    # The load would end after the request has been refused.
    assert not _plan(
        fleet, rare | {"m15": _need(waiting=1, queue_timeout_s=2.0)}
    )


def test_store_load_leaves_an_engine_for_loads_from_disk() -> None:
    """Guards against store loads that delay loads from disk.

    Two of three engines were reading from the store for seconds each, while
    requests for models with cached copies waited for an engine.
    """
    copies = tuple(f"m{number}" for number in range(4, 12))
    fleet = [
        world.engine(f"t{number}", models=("m1", "m2", "m3"), on_disk=copies)
        for number in range(2)
    ]
    needs = {
        "m4": _need(waiting=1),
        "m15": _need(waiting=1, queue_timeout_s=12.0),
    }
    rare = {name: _need(rate=0.3) for name in copies[1:]}
    swaps = _plan(fleet, rare | needs)
    assert [swap.model for swap in swaps] == ["m4"]
