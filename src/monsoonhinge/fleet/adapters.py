"""Which engine loads which adapter, without any input or output.

Load pattern: many adapters of a few busy models are each asked for now and
then. An adapter loads in milliseconds where its model is loaded, so it goes
to the engine that runs least of that model, and the one unused longest yields.
An engine that swaps models refuses all other orders meanwhile.
"""

import collections
from collections.abc import Collection, Mapping, Sequence
import dataclasses

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines

# Time from an accepted order until the adapter serves.
LOAD_DURATION_S = 0.025

# An adapter with a use this recent is not unloaded: an engine that waits for
# the runs of an adapter refuses all other orders meanwhile.
_MIN_IDLE_S = 1.0

# Adapters that may be on their way to one engine.
_MAX_LOADS_PER_ENGINE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterLoad:
    """A load of an adapter and the adapter that yields, if any.

    Attributes:
        target: Engine.
        model: Model of the adapter.
        adapter: Adapter to load.
        evict: Model and adapter to unload first, or None.
    """

    target: str
    model: str
    adapter: str
    evict: tuple[str, str] | None


def plan(
    *,
    service: str,
    fleet: Sequence[engines.Engine],
    needs: Mapping[demand.ModelKey, demand.Need],
    in_flight: Collection[tuple[str, str, str]],
    now: float,
) -> list[AdapterLoad]:
    """Returns the adapter loads to begin now.

    Args:
        service: Service of the engines.
        fleet: Its engines.
        needs: What waits.
        in_flight: Loads under way, as (target, model, adapter).
        now: Current time in seconds.
    """
    loads: list[AdapterLoad] = []
    in_flight_counts = collections.Counter(target for target, _, _ in in_flight)
    # One load for each engine at a time: the next one must see what this one
    # takes.
    busy = {
        target
        for target, count in in_flight_counts.items()
        if count >= _MAX_LOADS_PER_ENGINE
    }
    for key, need in needs.items():
        if key.service != service:
            continue
        for adapter in need.adapters:
            loaded = _record_use(fleet, key.model, adapter, now)
            if loaded:
                continue
            unavailable = busy | {
                engine.target
                for engine in fleet
                if in_flight_counts[engine.target]
                and engine.adapter_count() >= engine.limits.adapter_capacity
            }
            load = _plan_load(fleet, key.model, adapter, unavailable, now)
            if load is not None:
                loads.append(load)
                busy.add(load.target)
    return loads


def _record_use(
    fleet: Sequence[engines.Engine], model: str, adapter: str, now: float
) -> bool:
    """Notes a use where the adapter is; returns whether it is anywhere."""
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
    busy: Collection[str],
    now: float,
) -> AdapterLoad | None:
    candidates = [
        engine
        for engine in fleet
        if model in engine.replicas
        and engine.replicas[model].state == engines.LOADED
        and engine.order_count is not None
        and not engine.swapping
        and engine.target not in busy
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
        evict = None if has_room else _least_recently_used(engine, model, now)
        if has_room or evict is not None:
            return AdapterLoad(engine.target, model, adapter, evict)
    return None


def _least_recently_used(
    engine: engines.Engine, model: str, now: float
) -> tuple[str, str] | None:
    """Returns the adapter that frees enough and was unused longest."""
    missing_bytes = engine.adapter_bytes(model) - engine.free_bytes()
    candidates = sorted(
        (last_used_at, name, adapter)
        for name, replica in engine.replicas.items()
        if replica.state == engines.LOADED
        and engine.adapter_bytes(name) >= missing_bytes
        for adapter, last_used_at in replica.adapters.items()
        if now - last_used_at > _MIN_IDLE_S
        and (name, adapter) not in engine.adapters_in_use
    )
    return (candidates[0][1], candidates[0][2]) if candidates else None
