"""Requests that wait for a target, and what they need meanwhile.

Load pattern: requests for models that no target holds. They wait here while
the placing member loads the model, in order of rank and arrival.
"""

import asyncio
import dataclasses
import math

from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request.

    Attributes:
        need: What it needs.
        priority: Rank, 0 first.
        latency_deadline: Until when its answer may begin to be in time.
        arrived_at: When it came.
        gives_up_at: Until when it waits.
        avoid: Targets that failed it.
        future: Gets the target.
    """

    requirements: load_balancer.Requirements
    priority: int
    latency_deadline: float
    arrived_at: float
    queue_deadline: float
    avoid: set[str]
    future: asyncio.Future[target_table.Target]


class WaitQueue:
    """Waiting requests by what they need.

    Attributes:
        balancer: Chooses targets.
    """

    def __init__(self, *, balancer: load_balancer.LoadBalancer) -> None:
        self.balancer = balancer
        self._queued: dict[load_balancer.Requirements, list[QueuedRequest]] = {}
        self._arrival_counts: dict[tuple[str, str, str], int] = {}

    def count_arrival(self, requirements: load_balancer.Requirements) -> None:
        """Counts a request for a model."""
        if requirements.model:
            key = (
                requirements.service,
                requirements.model,
                requirements.adapter,
            )
            self._arrival_counts[key] = self._arrival_counts.get(key, 0) + 1

    def add(self, queued: QueuedRequest) -> None:
        """Adds a request that no target can serve now."""
        self._queued.setdefault(queued.requirements, []).append(queued)

    def remove(self, queued: QueuedRequest) -> None:
        """Takes a request out."""
        queue = self._queued.get(queued.requirements, [])
        if queued in queue:
            queue.remove(queued)
        if not queue:
            self._queued.pop(queued.requirements, None)

    def dispatch(self, now: float) -> None:
        """Gives targets to the requests that can be served now."""
        for requirements, queue in list(self._queued.items()):
            if not self.balancer.eligible(requirements, now):
                continue
            for queued in sorted(
                queue, key=lambda entry: (entry.priority, entry.arrived_at)
            ):
                target = self.balancer.choose(
                    requirements, avoid=queued.avoid, now=now
                )
                if target is None:
                    break
                self.remove(queued)
                if not queued.future.done():
                    queued.future.set_result(target)

    def fail_all(self, error: Exception) -> None:
        """Ends the wait of all requests with an error."""
        for queue in list(self._queued.values()):
            for queued in list(queue):
                self.remove(queued)
                if not queued.future.done():
                    queued.future.set_exception(error)

    def count(self) -> int:
        """Returns how many requests wait."""
        return sum(len(queue) for queue in self._queued.values())

    def model_needs(self, now: float) -> list[fleet.ModelNeed]:
        """Returns what waits and what came, by model and adapter."""
        needs_by_key = {
            key: fleet.ModelNeed(
                service=key[0], model=key[1], adapter=key[2], arrived=count
            )
            for key, count in self._arrival_counts.items()
        }
        for requirements, queue in self._queued.items():
            if not requirements.model:
                continue
            key = (
                requirements.service,
                requirements.model,
                requirements.adapter,
            )
            model_need = needs_by_key.setdefault(
                key,
                fleet.ModelNeed(
                    service=requirements.service,
                    model=requirements.model,
                    adapter=requirements.adapter,
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
