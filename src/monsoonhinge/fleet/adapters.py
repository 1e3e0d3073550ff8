"""Plans which engine loads which adapter; performs no I/O.

Load pattern: many adapters of a few busy models are each requested now and
then. An adapter loads in milliseconds on an engine that has its model loaded,
so it goes to the engine with the fewest running requests and evicts the least
recently used adapter. An engine refuses other orders while it swaps models.
"""

import collections
from collections.abc import Collection, Mapping, Sequence
import dataclasses

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines

# Time from an accepted order until the adapter is ready.
ADAPTER_LOAD_S = 0.025

# An adapter used more recently is not evicted: an engine refuses other orders
# while it waits for the running requests of an adapter that it unloads.
_MIN_IDLE_S = 1.0

# Concurrent adapter loads on one engine.
_MAX_LOADS_PER_ENGINE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterLoad:
    """A planned load of an adapter, with the adapter to evict, if any.

    Attributes:
        target: Target id of the engine.
        model: Model of the adapter.
        adapter: Adapter to load.
        eviction: Adapter to unload first, as (model, adapter), or None.
    """

    target: str
    model: str
    adapter: str
    eviction: tuple[str, str] | None


def plan(
    *,
    service: str,
    fleet: Sequence[engines.Engine],
    needs: Mapping[demand.ModelKey, demand.Need],
    in_flight: Collection[tuple[str, str, str]],
    now: float,
) -> list[AdapterLoad]:
    """Returns the adapter loads to start now.

    Args:
        service: Service of the engines.
        fleet: Engines of the service.
        needs: Demand by model.
        in_flight: Loads in progress, as (target, model, adapter).
        now: Current time in seconds.
    """
    loads: list[AdapterLoad] = []
    in_flight_counts = collections.Counter(target for target, _, _ in in_flight)
    excluded = {
        target
        for target, count in in_flight_counts.items()
        if count >= _MAX_LOADS_PER_ENGINE
    }
    for key, need in needs.items():
        if key.service != service:
            continue
        for adapter in need.adapters:
            is_loaded = _record_use(fleet, key.model, adapter, now)
            if is_loaded:
                continue
            unavailable = excluded | {
                engine.target
                for engine in fleet
                if in_flight_counts[engine.target]
                and engine.adapter_count() >= engine.limits.adapter_capacity
            }
            load = _plan_load(fleet, key.model, adapter, unavailable, now)
            if load is not None:
                loads.append(load)
                # One load per engine and call: the next one has to see the
                # memory and the adapter slot that this one takes.
                excluded.add(load.target)
    return loads


def _record_use(
    fleet: Sequence[engines.Engine], model: str, adapter: str, now: float
) -> bool:
    """Updates the last use of an adapter; returns whether it is loaded."""
    found = False
    for engine in fleet:
        replica = engine.replicas.get(model)
        if replica is not None and adapter in replica.adapters:
            replica.adapters[adapter] = now
            found = found or replica.state == engines.LOADED
    return found


def _plan_load(
    fleet: Sequence[engines.Engine],
    model: str,
    adapter: str,
    excluded: Collection[str],
    now: float,
) -> AdapterLoad | None:
    candidates = [
        engine
        for engine in fleet
        if model in engine.replicas
        and engine.replicas[model].state == engines.LOADED
        and engine.order_count is not None
        and not engine.swapping
        and engine.target not in excluded
    ]
    candidates.sort(
        key=lambda engine: (
            engine.adapter_count() >= engine.limits.adapter_capacity,
            sum(engine.running_by_model.values()),
        )
    )
    for engine in candidates:
        has_room = (
            engine.adapter_count() < engine.limits.adapter_capacity
            and engine.free_bytes() >= engine.adapter_bytes(model)
        )
        eviction = (
            None if has_room else _least_recently_used(engine, model, now)
        )
        if has_room or eviction is not None:
            return AdapterLoad(engine.target, model, adapter, eviction)
    return None


def _least_recently_used(
    engine: engines.Engine, model: str, now: float
) -> tuple[str, str] | None:
    """Returns the least recently used adapter whose memory is enough.

    An adapter whose load has no response is not evicted: the engine may lack
    it now, count no unload, and load it later.
    """
    missing_bytes = engine.adapter_bytes(model) - engine.free_bytes()
    candidates = sorted(
        (last_used_at, name, adapter)
        for name, replica in engine.replicas.items()
        if replica.state == engines.LOADED
        and engine.adapter_bytes(name) >= missing_bytes
        for adapter, last_used_at in replica.adapters.items()
        if now - last_used_at > _MIN_IDLE_S
        and (name, adapter) not in engine.adapters_in_use
        and (name, adapter) not in engine.unsettled
    )
    return (candidates[0][1], candidates[0][2]) if candidates else None
