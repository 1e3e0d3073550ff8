"""When a model that no target serves can serve at the earliest.

Load pattern: models that only the weight store holds are asked for by callers
who leave before such a load can end. They learn when to come back.
"""

from monsoonhinge.config import ingress
from monsoonhinge.ingress import balance
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import targets as target_table

# Where nothing tells how long a need takes.
_DEFAULT_S = 1.0
_MIN_S = 0.05


def earliest_s(
    need: balance.Need,
    *,
    engine: ingress.IngressEngine | None,
    targets: target_table.Targets,
    now: float,
) -> float:
    """Returns in how many seconds a need can be met at the earliest.

    Args:
        need: What a request needs.
        engine: What the engines of its service can load, if they do.
        targets: Known targets.
        now: Current time in seconds.
    """
    ready_at = targets.ready_at(
        service=need.service, model=need.model, adapter=need.adapter
    )
    if ready_at is not None:
        return max(_MIN_S, ready_at - now)
    if engine is None:
        return _DEFAULT_S
    found = [model for model in engine.models if model.name == need.model]
    if not found:
        return _DEFAULT_S
    known = targets.of_service(need.service)
    if any(need.model in t.registration.in_memory for t in known):
        return found[0].warm_load_s
    if any(need.model in t.registration.on_disk for t in known):
        return found[0].disk_load_s
    return found[0].load_s


def not_in_time(
    need: balance.Need,
    *,
    engine: ingress.IngressEngine | None,
    targets: target_table.Targets,
    now: float,
) -> refusal.Refusal:
    """Returns the refusal of a request that cannot wait any longer."""
    known = targets.of_service(need.service)
    return refusal.Refusal(
        refusal.Reason.NOT_IN_TIME if known else refusal.Reason.NO_TARGET,
        retry_after_s=earliest_s(need, engine=engine, targets=targets, now=now),
        step="wait",
    )
