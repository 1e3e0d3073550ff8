"""Chooses the replicas that get no new requests, so that they can be evicted.

Load pattern: all models of the free engines run requests, while others wait for
a place.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import eviction


def choose(
    *,
    held_up: Mapping[str, float],
    available: Iterable[engines.Engine],
    cached: Collection[str],
    evictions: eviction.EvictionPolicy,
    store_loads: int,
) -> Iterator[tuple[str, str]]:
    """Yields the replicas that retire, as (target, model).

    Each model that waits, the most valuable first, gets an engine on which a
    replica retires. The engine has a copy of the model, if any engine has.

    Args:
        held_up: Value of a load of each model that waits, in requests.
        available: Engines that are free to carry out an order.
        cached: Models with a cached copy.
        evictions: Rules for evictions. They have to know each replica that was
            yielded before the next one is chosen.
        store_loads: Loads from the weight store that may start.
    """
    engines_left = {engine.target: engine for engine in available}
    for model in sorted(held_up, key=lambda name: (-held_up[name], name)):
        if model not in cached:
            store_loads -= 1
            if store_loads < 0:
                continue
        suitable = [
            engine
            for engine in engines_left.values()
            if engine.is_configured(model)
            and (engine.has_copy(model) or model not in cached)
        ]
        prepared = [e for e in suitable if e.has_retiring_replica()]
        if prepared:
            del engines_left[prepared[0].target]
            continue
        choices = [
            (*choice, engine.target)
            for engine in suitable
            if (choice := evictions.choose_retirement(engine, held_up[model]))
        ]
        if choices:
            _, retired, target = min(choices)
            del engines_left[target]
            yield target, retired
