"""Reports what engines do and why models with waiting requests are not loaded.

The event line is limited to one per interval and service, so that its volume
does not grow with the load.
"""

import collections
from collections.abc import Collection, Mapping, Sequence

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import metrics
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import unserved_models
from monsoonhinge.runtime import events

_INTERVAL_S = 1.0

_CONDITIONS = (
    "free",
    "swapping",
    "store_load",
    "unknown",
    "unreachable",
    "backing_off",
)


class PlacementReporter:
    """Sets the metrics and emits the event lines of planning steps."""

    def __init__(self) -> None:
        self._reported_at: dict[str, float] = {}
        self._longest_step_s: dict[str, float] = {}
        self._unserved: dict[str, unserved_models.UnservedModels] = {}

    def record(
        self,
        *,
        service: str,
        fleet: Sequence[engines.Engine],
        plan: placement_plan.Plan,
        needs: Mapping[demand.ModelKey, demand.Need],
        store_loads: Collection[tuple[str, str]],
        step_s: float,
        now: float,
    ) -> None:
        """Records a planning step.

        Args:
            service: Service of the engines.
            fleet: Engines of the service.
            plan: Result of the step.
            needs: Demand by model.
            store_loads: Store loads in progress, as (target, model).
            step_s: Duration of the step.
            now: Current time in seconds.
        """
        metrics.PLANNING_SECONDS.observe(step_s)
        longest_s = max(step_s, self._longest_step_s.get(service, 0.0))
        self._longest_step_s[service] = longest_s
        unserved = self._unserved.setdefault(
            service, unserved_models.UnservedModels(service=service)
        )
        unserved.update(fleet=fleet, needs=needs, now=now)
        if now - self._reported_at.get(service, float("-inf")) < _INTERVAL_S:
            return
        self._reported_at[service] = now
        self._longest_step_s[service] = 0.0
        loading = {target for target, _ in store_loads}
        conditions = collections.Counter(
            _condition(engine, loading, now) for engine in fleet
        )
        obstacles = collections.Counter(
            obstacle.value for obstacle in plan.obstacles.values()
        )
        held_up_requests = sum(
            needs[demand.ModelKey(service, model)].waiting
            for model in plan.obstacles
        )
        for condition in _CONDITIONS:
            metrics.ENGINES.labels(condition).set(conditions[condition])
        for obstacle in placement_plan.Obstacle:
            metrics.WAITING_MODELS.labels(obstacle.value).set(
                obstacles[obstacle.value]
            )
        # An order of an earlier lease holder may be a load from the store.
        inherited = sum(engine.busy_while_unknown for engine in fleet)
        metrics.STORE_LOADS.set(len(store_loads) + inherited)
        metrics.UNSERVED_MODELS.set(len(unserved))
        events.emit(
            events.PLACEMENT_SUMMARY,
            service=service,
            engines=dict(conditions),
            obstacles=dict(obstacles),
            held_up_requests=held_up_requests,
            store_loads=len(store_loads),
            inherited_orders=inherited,
            unserved_models=len(unserved),
            models_without_copy=_models_without_copy(fleet),
            busy_replicas=plan.busy_replicas,
            desired_replicas=plan.desired_replicas,
            longest_step_s=round(longest_s, 4),
        )
        unserved.report(fleet=fleet, plan=plan, needs=needs, now=now)


def _models_without_copy(fleet: Sequence[engines.Engine]) -> int:
    """Returns how many configured models no engine has a copy of."""
    if not fleet:
        return 0
    copies = {name for e in fleet for name in (*e.in_memory, *e.on_disk)}
    return sum(m.name not in copies for m in fleet[0].limits.models)


def _condition(
    engine: engines.Engine, loading_from_store: Collection[str], now: float
) -> str:
    if engine.target in loading_from_store:
        return "store_load"
    if engine.swapping:
        return "swapping"
    if engine.order_count is None:
        return "unknown"
    if engine.unreachable:
        return "unreachable"
    return "free" if now >= engine.retry_at else "backing_off"


def emit_swap(swap: placement_plan.Swap, *, waiting: int, fencing: int) -> None:
    """Emits the event line of a swap that starts."""
    events.emit(
        events.PLACEMENT,
        target=swap.target,
        model=swap.model,
        evict=list(swap.evictions),
        load_s=round(swap.load_s, 3),
        from_store=swap.from_store,
        reason=swap.reason,
        waiting=waiting,
        fencing=fencing,
    )


def emit_change(target: str, model: str, *, reason: str, fencing: int) -> None:
    """Emits the event line of a placement that changes without an order."""
    events.emit(
        events.PLACEMENT,
        target=target,
        model=model,
        reason=reason,
        fencing=fencing,
    )
