"""Tests of the placement on a fleet with many engines and busy models."""

from monsoonhinge.config import ingress
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from monsoonhinge.protocol import fleet as messages
from tests.fleet import simulation
from tests.fleet import world

_ENGINES = 30
_PLACES_PER_ENGINE = 3
_BUSY_MODELS = [f"busy{number}" for number in range(12)]
_RARE_MODELS = [f"rare{number}" for number in range(300)]

# Loads that the weight store reads at once at full speed.
_STORE_CONCURRENCY = 2

_LIMITS = ingress.IngressEngine(
    slots=64,
    kv_tokens=120_000,
    weights_bytes=220 * world.GIGABYTE,
    adapter_capacity=8,
    loads_per_s=34.0,
    models=[world.model(name) for name in (*_BUSY_MODELS, *_RARE_MODELS)],
)


def _fleet(*, busy_replicas: int) -> list[engines.Engine]:
    """Returns a full fleet; each rarely used model has one copy on disk."""
    models = [*_BUSY_MODELS * busy_replicas, *_RARE_MODELS]
    fleet = []
    for number in range(_ENGINES):
        first = number * _PLACES_PER_ENGINE
        loaded = models[first : first + _PLACES_PER_ENGINE]
        registration = messages.Registration(
            target=f"t{number}",
            incarnation=1,
            sequence=1,
            service=world.SERVICE,
            address=f"10.0.0.{number}:80",
            availability_zone="a",
            slots=64,
            state="ready",
            models=[
                messages.HeldModel(name=name, version=1) for name in loaded
            ],
            on_disk=[*loaded, *_RARE_MODELS[number::_ENGINES]],
        )
        engine = engines.Engine(
            registration=registration, limits=_LIMITS, now=-10.0
        )
        engine.order_count = 0
        fleet.append(engine)
    return fleet


def _plan(
    fleet: list[engines.Engine], needs: dict[str, demand.Need]
) -> placement_plan.Plan:
    return placement.plan(
        service=world.SERVICE,
        fleet=fleet,
        needs={world.key(name): need for name, need in needs.items()},
        store=placement_plan.StoreState(
            active_loads=0, available_starts=170, max_concurrency=2
        ),
        now=0.0,
    )


def test_models_that_are_asked_for_all_day_are_served() -> None:
    """Guards against models that are never served on a large fleet.

    Few models are busy and each of the others is asked for a few times. The
    users' bound is 1 and 10 in 100 of the models that are asked for four times
    or more.
    """
    busy = [
        simulation.Traffic(name, 6.5, latency_s=0.8, patience_s=3.0)
        for name in _BUSY_MODELS
    ]
    rare = [
        simulation.Traffic(name, 0.069, latency_s=3.0, patience_s=11.75)
        for name in _RARE_MODELS
    ]
    day = simulation.Simulation(
        fleet=_fleet(busy_replicas=3),
        traffic=busy + rare,
        limits=_LIMITS,
        store_concurrency=_STORE_CONCURRENCY,
    )
    day.run(34.0)
    asked_often = sum(count >= 4 for count in day.asked.values())
    never_served = day.never_served(min_requests=4)
    assert len(never_served) <= 1 + 0.1 * asked_often


def _small_fleet(engine_count: int) -> list[engines.Engine]:
    """Returns a full fleet without copies of further models."""
    return [
        world.engine(
            f"t{number}", models=tuple(f"m{3 * number + n}" for n in range(3))
        )
        for number in range(engine_count)
    ]


def test_store_is_read_at_its_full_speed_for_models_that_callers_wait_for() -> (
    None
):
    """Guards against one store load at a time beside six idle engines.

    The number of store loads was a fraction of the engines, whatever the store
    could read, while the requests for models without a copy died.
    """
    fleet = _small_fleet(6)
    need = demand.Need(
        rate=0.05,
        waiting=1,
        earliest_latency_deadline=3.0,
        latest_queue_deadline=19.0,
    )
    names = ("m18", "m19")
    plan = _plan(fleet, dict.fromkeys(names, need))
    assert {swap.model for swap in plan.swaps} == set(names)
    assert not plan.obstacles


def test_store_loads_leave_engines_for_loads_from_copies() -> None:
    """Guards against store loads that block the loads of several requests."""
    fleet = _small_fleet(3)
    for engine in fleet:
        engine.on_disk.update(("m10", "m11", "m12", "m13"))
    needs = {
        name: demand.Need(rate=0.4) for name in ("m10", "m11", "m12", "m13")
    }
    for name in ("m18", "m19"):
        needs[name] = demand.Need(
            rate=0.05, waiting=1, latest_queue_deadline=19.0
        )
    plan = _plan(fleet, needs)
    assert [swap.model for swap in plan.swaps] == ["m18"]
    assert plan.obstacles == {"m19": placement_plan.Obstacle.RESERVED}


def test_first_store_load_needs_only_one_other_free_engine() -> None:
    """Guards against models without a copy that wait for a calm fleet.

    The engines that loads from copies were expected to occupy were kept free
    before any store load, which a small fleet under load never had.
    """
    fleet = _small_fleet(5)
    for engine in fleet:
        engine.on_disk.update(("m15", "m16", "m17"))
    for engine in fleet[2:]:
        engine.swapping = True
    needs = {name: demand.Need(rate=0.7) for name in ("m15", "m16", "m17")}
    needs["m18"] = demand.Need(rate=0.05, waiting=1, latest_queue_deadline=19.0)
    plan = _plan(fleet, needs)
    assert [swap.model for swap in plan.swaps if swap.from_store] == ["m18"]


def test_model_that_is_not_loaded_has_an_obstacle() -> None:
    """Guards against requests that wait while no line says why."""
    fleet = _small_fleet(6)
    waiting = demand.Need(rate=0.2, waiting=1, latest_queue_deadline=19.0)
    too_late = demand.Need(rate=0.01, waiting=1, latest_queue_deadline=2.0)
    plan = _plan(
        fleet, {"m17": waiting, "m18": waiting, "m19": waiting, "m0": too_late}
    )
    assert len(plan.swaps) == 2
    fleet = _small_fleet(2)
    fleet[0].swapping = True
    plan = _plan(fleet, {"m18": waiting, "m19": too_late})
    assert plan.obstacles == {
        "m18": placement_plan.Obstacle.RESERVED,
        "m19": placement_plan.Obstacle.TOO_LATE,
    }


def test_busy_replicas_leave_memory_for_rarely_used_models() -> None:
    """Guards against busy models whose replicas may not be evicted anywhere."""
    fleet = _fleet(busy_replicas=8)
    needs = {name: demand.Need(rate=6.5) for name in _BUSY_MODELS}
    rare = {
        name: demand.Need(rate=0.069, waiting=1) for name in _RARE_MODELS[:60]
    }
    plan = _plan(fleet, needs | rare)
    loaded = {swap.model for swap in plan.swaps}
    assert len(loaded & rare.keys()) >= _ENGINES / 2


def test_model_is_loaded_on_one_engine_in_a_plan() -> None:
    """Guards against two loads of a model for the same waiting request."""
    fleet = _fleet(busy_replicas=1)
    for engine in fleet:
        engine.on_disk.discard("rare299")
        engine.replicas.pop("rare299", None)
    need = demand.Need(
        rate=0.069,
        waiting=1,
        earliest_latency_deadline=3.0,
        latest_queue_deadline=12.0,
    )
    plan = _plan(fleet, {"rare299": need})
    assert [swap.model for swap in plan.swaps] == ["rare299"]


def test_engine_full_of_busy_models_makes_room() -> None:
    """Guards against copies that cannot be loaded next to busy replicas.

    A replica that always runs requests is never idle enough to be evicted.
    """
    full = world.engine("t1", models=("m1", "m2", "m3"), on_disk=("m9",))
    other = world.engine("t2", models=("m1", "m2", "m3"))
    fleet = [full, other]
    for engine in fleet:
        engine.update_usage({(name, ""): 2 for name in engine.replicas}, 0.0)
    busy = {name: demand.Need(rate=6.5) for name in ("m1", "m2", "m3")}
    waiting = busy | {"m9": demand.Need(rate=0.069, waiting=1)}
    plan = _plan(fleet, waiting)
    assert plan.obstacles == {"m9": placement_plan.Obstacle.NO_EVICTION}
    ((target, retiring),) = plan.retirements
    assert target == "t1"
    full.retire(retiring, 0.0)
    assert not _plan(fleet, waiting).retirements
    full.update_usage({}, 1.0)
    (swap,) = _plan(fleet, waiting).swaps
    assert (swap.model, swap.evictions) == ("m9", (retiring,))


def test_retiring_replica_serves_again_when_it_is_needed() -> None:
    """Guards against a load of a model that an engine still holds."""
    holder = world.engine("t1", models=("m1", "m2", "m3"))
    holder.retire("m1", 0.0)
    plan = _plan([holder], {"m1": demand.Need(rate=6.5, waiting=1)})
    assert plan.reactivations == [("t1", "m1")]
    assert not plan.swaps


def test_store_load_spares_an_engine_with_the_only_copies() -> None:
    """Guards against models that wait for the engine of their only copy.

    A store load took 13 to 22 s, in which its engine could load nothing else.
    """
    copies = ("m4", "m5", "m6", "m7")
    holder = world.engine("t1", models=("m1", "m2", "m3"), on_disk=copies)
    other = world.engine("t2", models=("m1", "m2", "m3"))
    needs = {name: demand.Need(rate=0.3) for name in copies}
    needs["m9"] = demand.Need(
        rate=0.069,
        waiting=1,
        earliest_latency_deadline=3.0,
        latest_queue_deadline=12.0,
    )
    (swap,) = _plan([holder, other], needs).swaps
    assert (swap.model, swap.target) == ("m9", "t2")


def test_store_serves_models_without_a_copy_before_busy_replicas() -> None:
    """Guards against a model that stays unserved while the store is busy.

    New engines loaded further replicas of busy models, one after the other,
    while a model without any copy was asked for 13 times.
    """
    full = [
        world.engine(f"t{number}", models=("m1", "m2", "m3"), on_disk=("m1",))
        for number in range(2)
    ]
    new = [world.engine("t8"), world.engine("t9")]
    needs = {
        "m4": demand.Need(rate=5.0),
        "m1": demand.Need(rate=4.0),
        # Its requests are refused before a load ends, and others follow.
        "m15": demand.Need(rate=0.4, waiting=2, latest_queue_deadline=2.0),
    }
    full[0].on_disk.add("m4")
    swaps = _plan([*full, *new], needs).swaps
    from_store = [swap.model for swap in swaps if swap.from_store]
    assert from_store == ["m15"]


def test_busy_models_spread_over_the_engines() -> None:
    """Guards against engines that load one model at a time next to two busy.

    They waited for the requests of the only other model on them to end.
    """
    fleet = [
        world.engine("t1", models=("m1", "m2", "m5"), on_disk=("m9",)),
        world.engine("t2", models=("m1", "m2", "m6"), on_disk=("m1", "m2")),
        world.engine("t3", models=("m7", "m8", "m10"), on_disk=("m1", "m2")),
        world.engine("t4", models=("m7", "m8", "m10"), on_disk=("m1", "m2")),
    ]
    for engine in fleet:
        engine.update_usage({(name, ""): 1 for name in engine.replicas}, 0.0)
    needs = {name: demand.Need(rate=6.5) for name in ("m1", "m2")}
    needs["m9"] = demand.Need(rate=0.069, waiting=1)
    ((target, retiring),) = _plan(fleet, needs).retirements
    assert (target, retiring in needs) == ("t1", True)


def test_idle_fleet_loads_models_that_no_engine_has_a_copy_of() -> None:
    """Guards against models that only the store has while it is idle.

    Their first requests were refused after twelve seconds, one after the
    other, since the store reads few models at once.
    """
    fleet = _fleet(busy_replicas=3)
    for engine in fleet:
        engine.on_disk -= {"rare298", "rare299"}
        engine.replicas.pop("rare298", None)
        engine.replicas.pop("rare299", None)
    swaps = _plan(fleet, {}).swaps
    assert {swap.model for swap in swaps} == {"rare298", "rare299"}
    assert all(swap.from_store for swap in swaps)
    waiting = {"rare0": demand.Need(rate=0.069, waiting=1)}
    assert not any(swap.from_store for swap in _plan(fleet, waiting).swaps)
