"""State of an engine as operators see it in the state dump."""

from collections.abc import Mapping
from typing import Any

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines


def dump(engine: engines.Engine, now: float) -> dict[str, Any]:
    """Returns the state of an engine, with times relative to ``now``."""
    return {
        "service": engine.registration.service,
        "held": {
            name: {
                "state": replica.state,
                "for_s": round(now - replica.state_since, 3),
                "ready_in_s": round(max(0.0, replica.ready_at - now), 3),
                "adapters": sorted(replica.adapters),
                "running": engine.running_by_model.get(name, 0),
            }
            for name, replica in engine.replicas.items()
        },
        "on_disk": sorted(engine.on_disk),
        "in_memory": sorted(engine.in_memory),
        "known": engine.order_count is not None,
        "swapping": engine.swapping,
        "unreachable": engine.unreachable,
        "retry_in_s": round(max(0.0, engine.retry_at - now), 3),
    }


def dump_needs(needs: Mapping[demand.ModelKey, demand.Need]) -> dict[str, Any]:
    """Returns the demand by model."""
    return {
        key.model: {
            "service": key.service,
            "waiting": need.waiting,
            "rate": round(need.rate, 3),
        }
        for key, need in needs.items()
    }
