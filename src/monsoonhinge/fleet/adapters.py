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
LOAD_S = 0.025

# An adapter with a use this recent is not unloaded: an engine that waits for
# the runs of an adapter refuses all other orders meanwhile.
_KEEP_S = 1.0

# Adapters that may be on their way to one engine.
_IN_TRANSIT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
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
    ordered: Collection[tuple[str, str, str]],
    now: float,
) -> list[Move]:
    """Returns the adapter loads to begin now.

    Args:
        service: Service of the engines.
        fleet: Its engines.
        needs: What waits.
        ordered: Loads under way, as (target, model, adapter).
        now: Current time in seconds.
    """
    moves: list[Move] = []
    in_transit = collections.Counter(target for target, _, _ in ordered)
    # One load for each engine at a time: the next one must see what this one
    # takes.
    busy = {
        target for target, count in in_transit.items() if count >= _IN_TRANSIT
    }
    for key, need in needs.items():
        if key.service != service:
            continue
        for adapter in need.adapters:
            holders = _note_use(fleet, key.model, adapter, now)
            if holders:
                continue
            full = busy | {
                engine.target
                for engine in fleet
                if in_transit[engine.target]
                and engine.adapters_held() >= engine.limits.adapter_capacity
            }
            move = _choose(fleet, key.model, adapter, full, now)
            if move is not None:
                moves.append(move)
                busy.add(move.target)
    return moves


def _note_use(
    fleet: Sequence[engines.Engine], model: str, adapter: str, now: float
) -> bool:
    """Notes a use where the adapter is; returns whether it is anywhere."""
    found = False
    for engine in fleet:
        held = engine.held.get(model)
        if held is not None and adapter in held.adapters:
            held.adapters[adapter] = now
            found = found or held.state == engines.LOADED
    return found


def _choose(
    fleet: Sequence[engines.Engine],
    model: str,
    adapter: str,
    busy: Collection[str],
    now: float,
) -> Move | None:
    candidates = [
        engine
        for engine in fleet
        if model in engine.held
        and engine.held[model].state == engines.LOADED
        and engine.accepted is not None
        and not engine.swapping
        and engine.target not in busy
    ]
    candidates.sort(
        key=lambda engine: (
            engine.adapters_held() >= engine.limits.adapter_capacity,
            sum(engine.running.values()),
        )
    )
    for engine in candidates:
        room = (
            engine.adapters_held() < engine.limits.adapter_capacity
            and engine.free_bytes() >= engine.adapter_bytes(model)
        )
        evict = None if room else _oldest(engine, model, now)
        if room or evict is not None:
            return Move(engine.target, model, adapter, evict)
    return None


def _oldest(
    engine: engines.Engine, model: str, now: float
) -> tuple[str, str] | None:
    """Returns the adapter that frees enough and was unused longest."""
    missing = engine.adapter_bytes(model) - engine.free_bytes()
    unused = sorted(
        (used_at, name, adapter)
        for name, held in engine.held.items()
        if held.state == engines.LOADED
        and engine.adapter_bytes(name) >= missing
        for adapter, used_at in held.adapters.items()
        if now - used_at > _KEEP_S
        and (name, adapter) not in engine.used_adapters
    )
    return (unused[0][1], unused[0][2]) if unused else None
