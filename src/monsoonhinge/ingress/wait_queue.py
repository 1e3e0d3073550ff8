"""Queue of requests that wait for a target.

Load pattern: requests for models that no target has loaded. They wait, ordered
by priority and arrival, while the fleet lease holder places the model.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import model_demand
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a target.

    Attributes:
        requirements: What the request requires of a target.
        priority: Priority, 0 is served first.
        latency_deadline: Latest start of a response that meets the target
            latency of the route.
        arrived_at: When the request arrived.
        queue_deadline: When the request stops waiting.
        avoided_targets: Targets that already failed or rejected the request.
        shared_parts: Prompt parts that other requests may have as well.
        future: Receives the target.
        authorization_error: Returns why the request may no longer run, or
            None.
    """

    requirements: load_balancer.Requirements
    priority: int
    latency_deadline: float
    arrived_at: float
    queue_deadline: float
    avoided_targets: set[str]
    shared_parts: list[str]
    future: asyncio.Future[target_table.Target]
    authorization_error: Callable[[], refusal.Refusal | None] = lambda: None


class WaitQueue:
    """Waiting requests, grouped by their requirements.

    Attributes:
        balancer: Chooses targets.
        demand: Counts of the requests by model.
    """

    def __init__(self, *, balancer: load_balancer.LoadBalancer) -> None:
        self.balancer = balancer
        self.demand = model_demand.ModelDemand()
        self._queued: dict[load_balancer.Requirements, list[QueuedRequest]] = {}

    def add(self, queued: QueuedRequest) -> None:
        """Adds a request to the queue."""
        self._queued.setdefault(queued.requirements, []).append(queued)

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request if it is still queued."""
        queue = self._queued.get(queued.requirements, [])
        if queued in queue:
            queue.remove(queued)
        if not queue:
            self._queued.pop(queued.requirements, None)

    def dispatch(self, now: float) -> None:
        """Assigns targets to the requests that can be served now."""
        for requirements, queue in list(self._queued.items()):
            if not self.balancer.eligible(requirements, now):
                continue
            for queued in sorted(
                queue, key=lambda entry: (entry.priority, entry.arrived_at)
            ):
                target = self.balancer.choose(
                    requirements,
                    avoided_targets=queued.avoided_targets,
                    now=now,
                )
                if target is None:
                    break
                self.remove(queued)
                if not queued.future.done():
                    queued.future.set_result(target)

    def fail_all(self, error: Exception) -> None:
        """Removes all requests and fails them with an error."""
        self.fail_each(lambda _: error)

    def fail_each(
        self, error_of: Callable[[QueuedRequest], Exception | None]
    ) -> None:
        """Removes and fails the requests for which there is an error."""
        for queue in list(self._queued.values()):
            for queued in list(queue):
                error = error_of(queued)
                if error is None:
                    continue
                self.remove(queued)
                if not queued.future.done():
                    queued.future.set_exception(error)

    def count(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(queue) for queue in self._queued.values())

    def model_needs(self, now: float) -> list[fleet.ModelNeed]:
        """Returns the demand for the report.

        There is an item for each model and adapter, and for each software
        version that waiting requests are bound to.
        """
        needs_by_key = {
            (*names, ""): need for names, need in self.demand.needs(now).items()
        }
        for requirements, queue in self._queued.items():
            if not requirements.model:
                continue
            key = (
                requirements.service,
                requirements.model,
                requirements.adapter,
                requirements.software_version or "",
            )
            model_need = needs_by_key.setdefault(
                key,
                fleet.ModelNeed(
                    service=requirements.service,
                    model=requirements.model,
                    adapter=requirements.adapter,
                    software_version=requirements.software_version or "",
                ),
            )
            latency_left_s = (
                min(queued.latency_deadline for queued in queue) - now
            )
            queue_left_s = max(queued.queue_deadline for queued in queue) - now
            priority = min(queued.priority for queued in queue)
            if model_need.waiting:
                latency_left_s = min(
                    latency_left_s, model_need.timely_for_ms / 1000
                )
                queue_left_s = max(
                    queue_left_s, model_need.patient_for_ms / 1000
                )
                priority = min(priority, model_need.priority)
            model_need.waiting += len(queue)
            model_need.timely_for_ms = math.floor(latency_left_s * 1000)
            model_need.patient_for_ms = math.floor(queue_left_s * 1000)
            model_need.priority = priority
        return list(needs_by_key.values())
