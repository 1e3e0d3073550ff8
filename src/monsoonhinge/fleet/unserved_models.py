"""Reports the models that are asked for and that no engine serves.

One line for each of them tells what keeps it from being served and for how
long. The number of lines per second is limited, so that their volume does not
grow with the load; models without a recent line come first, and of these the
ones that are asked for most.
"""

from collections.abc import Iterable, Mapping
import dataclasses

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement_plan
from monsoonhinge.runtime import events

# Lines at once, which is at most once a second.
_MAX_LINES = 10

# Time after which the line of a model is repeated although nothing changed.
_REPEAT_S = 5.0

# Unserved requests fall slowly with time, and rise by whole requests.
_HALF_REQUEST = 0.5

# A model that nobody has asked for during this time is forgotten.
_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class _Unserved:
    """A model that has had no running request since it was asked for.

    Attributes:
        since: Time of the first request that had to wait.
        arrived_before: Requests for the model until then.
        asked_at: Time at which a request last waited for it, or was refused.
        reported_at: Time of its last line.
        reported_obstacle: Obstacle in its last line.
    """

    since: float
    arrived_before: int
    asked_at: float
    reported_at: float = float("-inf")
    reported_obstacle: str = ""


class UnservedModels:
    """Models of one service that wait, and since when."""

    def __init__(self, *, service: str) -> None:
        self.service = service
        self._unserved: dict[str, _Unserved] = {}
        # Unserved requests by model, as last seen.
        self._refused: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._unserved)

    def update(
        self,
        *,
        fleet: Iterable[engines.Engine],
        needs: Mapping[demand.ModelKey, demand.Need],
        now: float,
    ) -> None:
        """Records which models wait and which are served.

        Args:
            fleet: Engines of the service.
            needs: Demand by model.
            now: Current time in seconds.
        """
        for engine in fleet:
            for model, running in engine.running_by_model.items():
                if running:
                    self._unserved.pop(model, None)
        for key, need in needs.items():
            if key.service == self.service and self._is_asked_for(key, need):
                unserved = self._unserved.setdefault(
                    key.model, _Unserved(now, need.arrived - 1, now)
                )
                unserved.asked_at = now
        for model, unserved in list(self._unserved.items()):
            if now - unserved.asked_at > _RETENTION_S:
                del self._unserved[model]

    def _is_asked_for(self, key: demand.ModelKey, need: demand.Need) -> bool:
        """Returns whether a request waits, or was refused since the last step.

        Requests that cannot be served in time are refused without waiting.
        """
        refused = need.unserved - self._refused.get(key.model, 0.0)
        self._refused[key.model] = need.unserved
        return need.waiting > 0 or refused > _HALF_REQUEST

    def report(
        self,
        *,
        fleet: Iterable[engines.Engine],
        plan: placement_plan.Plan,
        needs: Mapping[demand.ModelKey, demand.Need],
        now: float,
    ) -> None:
        """Emits the lines that are due.

        Args:
            fleet: Engines of the service.
            plan: Result of the planning step.
            needs: Demand by model.
            now: Current time in seconds.
        """
        fleet = list(fleet)
        due = []
        for model, unserved in self._unserved.items():
            obstacle = _obstacle(model, fleet, plan)
            if (
                obstacle != unserved.reported_obstacle
                or now - unserved.reported_at >= _REPEAT_S
            ):
                need = needs.get(demand.ModelKey(self.service, model))
                due.append((model, unserved, obstacle, need or demand.Need()))
        due.sort(
            key=lambda item: (
                item[1].reported_at,
                item[1].arrived_before - item[3].arrived,
            )
        )
        queue = [load.model for load in plan.queued_loads]
        for model, unserved, obstacle, need in due[:_MAX_LINES]:
            unserved.reported_at = now
            unserved.reported_obstacle = obstacle
            events.emit(
                events.MODEL_UNSERVED,
                service=self.service,
                model=model,
                obstacle=obstacle,
                unserved_s=round(now - unserved.since, 3),
                arrived=need.arrived - unserved.arrived_before,
                waiting=need.waiting,
                rate=round(need.rate, 3),
                unserved=round(need.unserved, 1),
                served=round(need.served, 1),
                store_queue=queue.index(model) + 1 if model in queue else None,
                copies=sum(e.has_copy(model) for e in fleet),
                usable_copies=sum(
                    e.has_copy(model)
                    and e.order_count is not None
                    and not e.unreachable
                    for e in fleet
                ),
            )


def _obstacle(
    model: str, fleet: Iterable[engines.Engine], plan: placement_plan.Plan
) -> str:
    """Returns what keeps a model from being served, for the event log."""
    states = {
        engine.replicas[model].state
        for engine in fleet
        if model in engine.replicas
    }
    for state in (engines.LOADED, engines.LOADING, engines.RETIRING):
        if state in states:
            return state
    obstacle = plan.obstacles.get(model)
    return "not_waiting" if obstacle is None else obstacle.value
