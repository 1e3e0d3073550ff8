"""Requests that wait for a target, and what they need meanwhile.

Load pattern: requests for models that no target holds. They wait here while
the placing member loads the model, in order of rank and arrival.
"""

import asyncio
import dataclasses
import math

from monsoonhinge.ingress import balance
from monsoonhinge.ingress import targets as target_table
from monsoonhinge.protocol import fleet


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes:
        need: What it needs.
        priority: Rank, 0 first.
        timely_until: Until when its answer may begin to be in time.
        arrived_at: When it came.
        gives_up_at: Until when it waits.
        avoid: Targets that failed it.
        future: Gets the target.
    """

    need: balance.Need
    priority: int
    timely_until: float
    arrived_at: float
    gives_up_at: float
    avoid: set[str]
    future: asyncio.Future[target_table.Target]


class WaitingRoom:
    """Waiting requests by what they need.

    Attributes:
        balancer: Chooses targets.
    """

    def __init__(self, *, balancer: balance.Balancer) -> None:
        self.balancer = balancer
        self._waiters: dict[balance.Need, list[Waiter]] = {}
        self._arrived: dict[tuple[str, str, str], int] = {}

    def arrive(self, need: balance.Need) -> None:
        """Counts a request for a model."""
        if need.model:
            key = (need.service, need.model, need.adapter)
            self._arrived[key] = self._arrived.get(key, 0) + 1

    def add(self, waiter: Waiter) -> None:
        """Adds a request that no target can serve now."""
        self._waiters.setdefault(waiter.need, []).append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Takes a request out."""
        waiters = self._waiters.get(waiter.need, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(waiter.need, None)

    def wake(self, now: float) -> None:
        """Gives targets to the requests that can be served now."""
        for need, waiters in list(self._waiters.items()):
            if not self.balancer.able(need, now):
                continue
            for waiter in sorted(
                waiters, key=lambda w: (w.priority, w.arrived_at)
            ):
                target = self.balancer.choose(need, avoid=waiter.avoid, now=now)
                if target is None:
                    break
                self.remove(waiter)
                if not waiter.future.done():
                    waiter.future.set_result(target)

    def refuse_all(self, error: Exception) -> None:
        """Ends the wait of all requests with an error."""
        for waiters in list(self._waiters.values()):
            for waiter in list(waiters):
                self.remove(waiter)
                if not waiter.future.done():
                    waiter.future.set_exception(error)

    def count(self) -> int:
        """Returns how many requests wait."""
        return sum(len(waiters) for waiters in self._waiters.values())

    def needs(self, now: float) -> list[fleet.ModelNeed]:
        """Returns what waits and what came, by model and adapter."""
        items = {
            key: fleet.ModelNeed(
                service=key[0], model=key[1], adapter=key[2], arrived=count
            )
            for key, count in self._arrived.items()
        }
        for need, waiters in self._waiters.items():
            if not need.model:
                continue
            key = (need.service, need.model, need.adapter)
            item = items.setdefault(
                key,
                fleet.ModelNeed(
                    service=need.service, model=need.model, adapter=need.adapter
                ),
            )
            timely = min(waiter.timely_until for waiter in waiters) - now
            patient = max(waiter.gives_up_at for waiter in waiters) - now
            priority = min(waiter.priority for waiter in waiters)
            if item.waiting:
                timely = min(timely, item.timely_for_ms / 1000)
                patient = max(patient, item.patient_for_ms / 1000)
                priority = min(priority, item.priority)
            item.waiting += len(waiters)
            item.timely_for_ms = math.floor(timely * 1000)
            item.patient_for_ms = math.floor(patient * 1000)
            item.priority = priority
        return list(items.values())
