"""Reports of waiting and running requests to the schedulers."""

import asyncio
import collections
from collections.abc import Callable, Iterable

from monsoonhinge.gateway import dispatch
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import supervision

COALESCE_S = 0.05
FULL_INTERVAL_S = 1.0

# Load updates for a model are subscribed for this long after its last request.
RECENT_MODEL_S = 60.0
MAX_RECENT_MODELS = 400

_Key = tuple[str, str, str]


class DemandReporter:
    """Reports changes of demand at once, and the whole demand every second.

    Attributes:
        running: Number of running requests by model, adapter and team.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        send: Callable[[messages.Message], None],
        gateway: str,
    ) -> None:
        self.running: collections.Counter[_Key] = collections.Counter()
        self._dispatcher = dispatcher
        self._send = send
        self._gateway = gateway
        self._changed_resources: set[str] = set()
        self._requested_at: dict[str, float] = {}
        self._reported: dict[str, set[str]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._supervisor = supervision.Supervisor()

    def start(self) -> None:
        """Starts reporting."""
        self._dispatcher.on_demand_changed = self.demand_changed
        self._supervisor.start("report_demand", self._report)

    async def stop(self) -> None:
        """Stops reporting."""
        if self._timer is not None:
            self._timer.cancel()
        await self._supervisor.stop()

    def demand_changed(self, resource: str) -> None:
        """Schedules a report of a resource's demand within ``COALESCE_S``.

        Its model becomes the most recently requested one.
        """
        if not resource.startswith("model:"):
            return
        self._changed_resources.add(resource)
        loop = asyncio.get_running_loop()
        model = resource.split(":")[1]
        self._requested_at.pop(model, None)
        self._requested_at[model] = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(COALESCE_S, self._flush)

    def request_started(self, job: dispatch.Job) -> None:
        """Counts a request that is being sent to an engine."""
        if not job.requirements.service:
            self.running[
                job.requirements.name, job.requirements.adapter, job.team
            ] += 1
            self.demand_changed(job.resource)

    def request_ended(self, job: dispatch.Job) -> None:
        """Stops counting a request as running."""
        key = (job.requirements.name, job.requirements.adapter, job.team)
        if key in self.running:
            self.running[key] -= 1
            if not self.running[key]:
                del self.running[key]
            self.demand_changed(job.resource)

    def recent_models(self, now: float) -> list[str]:
        """Returns the recently requested models, the latest last."""
        for model, requested_at in list(self._requested_at.items()):
            if (
                now - requested_at <= RECENT_MODEL_S
                and len(self._requested_at) <= MAX_RECENT_MODELS
            ):
                break
            del self._requested_at[model]
        return list(self._requested_at)

    def demand_items(
        self, resources: Iterable[str] | None, now: float
    ) -> list[messages.DemandItem]:
        """Returns the demand for some resources, or for all.

        A team whose demand ended since the last report has an item with zero
        requests.

        Args:
            resources: Keys of models and adapters, or None for all.
            now: Current time in seconds.
        """
        names = None if resources is None else set(resources)
        found: dict[_Key, messages.DemandItem] = {}

        def item(resource: str, team: str) -> messages.DemandItem:
            _, model, adapter = resource.split(":")
            return found.setdefault(
                (model, adapter, team),
                messages.DemandItem(model=model, adapter=adapter, team=team),
            )

        for resource in [None] if names is None else names:
            for group in self._dispatcher.queue.waiting_counts(resource):
                if not group.resource.startswith("model:"):
                    continue
                entry = item(group.resource, group.team)
                entry.waiting = group.count
                left = group.earliest_deadline - now
                entry.earliest_deadline_ms = max(1, int(left * 1000))
        for (model, adapter, team), count in self.running.items():
            resource = dispatch.resource_key(model, adapter)
            if names is None or resource in names:
                item(resource, team).running = count
        for resource in names or ():
            for team in self._reported.get(resource, ()):
                item(resource, team)
        return list(found.values())

    def _flush(self) -> None:
        self._timer = None
        if self._changed_resources:
            now = asyncio.get_running_loop().time()
            items = self.demand_items(self._changed_resources, now)
            self._changed_resources.clear()
            self._publish(items, full=False)

    def _publish(self, items: list[messages.DemandItem], *, full: bool) -> None:
        if full:
            self._reported.clear()
        for item in items:
            resource = dispatch.resource_key(item.model, item.adapter)
            teams = self._reported.setdefault(resource, set())
            if item.waiting or item.running:
                teams.add(item.team)
            else:
                teams.discard(item.team)
        self._send(
            messages.Demand(gateway=self._gateway, full=full, items=items)
        )

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(FULL_INTERVAL_S)
            self._publish(self.demand_items(None, loop.time()), full=True)
