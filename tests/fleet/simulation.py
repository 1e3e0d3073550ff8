"""Plays a load pattern against the placement decisions, with fake engines.

Engines carry out swaps in the time that their configuration states. The weight
store reads a few loads at once at full speed and shares its speed beyond that.
"""

import collections
from collections.abc import Iterator
import dataclasses
import random

from monsoonhinge.config import ingress
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import weightstore
from tests.fleet import world

_STEP_S = 0.1
_UNLOAD_S = 0.1
_RUN_S = 1.7


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Requests for one model.

    Attributes:
        model: Requested model.
        per_s: Mean request rate.
        latency_s: Target latency.
        patience_s: Time after which a request stops waiting.
    """

    model: str
    per_s: float
    latency_s: float
    patience_s: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    arrived_at: float
    traffic: Traffic


@dataclasses.dataclass(slots=True)
class _Loading:
    swap: placement_plan.Swap
    started_at: float
    left_s: float


class Simulation:
    """A fleet of engines that serves requests.

    Attributes:
        fleet: State of the engines.
        asked: Requests by model.
        served: Served requests by model.
        max_store_loads: Highest number of concurrent store loads.
    """

    def __init__(
        self,
        *,
        fleet: list[engines.Engine],
        traffic: list[Traffic],
        limits: ingress.IngressEngine,
        store_concurrency: int,
    ) -> None:
        self.fleet = fleet
        self.asked: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.max_store_loads = 0
        self._by_target = {engine.target: engine for engine in fleet}
        self._traffic = traffic
        self._limits = limits
        self._store_concurrency = store_concurrency
        self._store = weightstore.StoreLimiter(window_s=5.0)
        self._waiting: dict[str, list[_Waiting]] = {}
        self._running: list[tuple[float, str, str]] = []
        self._loads: list[_Loading] = []
        self._needs: dict[demand.ModelKey, demand.Need] = {}
        self._rng = random.Random(19)

    def run(self, duration_s: float) -> None:
        """Plays the load pattern; requests arrive for ``duration_s``."""
        for step in range(round(duration_s / _STEP_S)):
            now = step * _STEP_S
            self._advance_loads(now)
            self._arrive(now)
            self._serve(now)
            self._plan(now)

    def never_served(self, *, min_requests: int) -> list[str]:
        """Returns the models asked for that often and never served."""
        return [
            model
            for model, count in self.asked.items()
            if count >= min_requests and not self.served[model]
        ]

    def _arrive(self, now: float) -> None:
        for traffic in self._traffic:
            count = _poisson(self._rng, traffic.per_s * _STEP_S)
            self.asked[traffic.model] += count
            self._waiting.setdefault(traffic.model, []).extend(
                _Waiting(now, traffic) for _ in range(count)
            )
            need = self._needs.setdefault(
                world.key(traffic.model), demand.Need(rate=traffic.per_s)
            )
            need.priority = 1 if traffic.per_s > 1 else 2

    def _serve(self, now: float) -> None:
        self._running = [run for run in self._running if run[0] > now]
        for model, queue in self._waiting.items():
            holders = [
                engine
                for engine in self.fleet
                if model in engine.replicas
                and engine.replicas[model].state == engines.LOADED
            ]
            for waiting in queue if holders else ():
                chosen = self._rng.choice(holders)
                self.served[model] += 1
                self._running.append((now + _RUN_S, chosen.target, model))
                assert waiting.traffic.model == model
            queue[:] = [
                waiting
                for waiting in ([] if holders else queue)
                if now < waiting.arrived_at + waiting.traffic.patience_s
            ]
            self._needs[world.key(model)] = _need(queue, self._needs, model)

    def _plan(self, now: float) -> None:
        running: dict[str, dict[tuple[str, str], int]] = {}
        for _, target, model in self._running:
            uses = running.setdefault(target, {})
            uses[model, ""] = uses.get((model, ""), 0) + 1
        for engine in self.fleet:
            engine.update_usage(running.get(engine.target, {}), now)
        plan = placement.plan(
            service=world.SERVICE,
            fleet=self.fleet,
            needs=self._needs,
            store=self._store_state(now),
            now=now,
        )
        for target, model in plan.reactivations:
            self._by_target[target].reactivate(model, now)
        for target, model in plan.retirements:
            self._by_target[target].retire(model, now)
        for swap in plan.swaps:
            self._start(swap, now)

    def _store_state(self, now: float) -> placement_plan.StoreState:
        return placement_plan.StoreState(
            active_loads=len(self._store.active_loads),
            available_starts=self._store.available_starts(
                loads_per_s=self._limits.loads_per_s, now=now
            ),
            max_concurrency=self._store.max_concurrency,
        )

    def _start(self, swap: placement_plan.Swap, now: float) -> None:
        engine = self._by_target[swap.target]
        engine.swapping = True
        for name in swap.evictions:
            engine.finish_unload(name, now)
        engine.begin_load(swap.model, ready_at=now + swap.load_s, now=now)
        if swap.from_store:
            self._store.record_start(
                swap.target, swap.model, full_speed_s=swap.load_s, now=now
            )
            self.max_store_loads = max(
                self.max_store_loads, len(self._store.active_loads)
            )
        self._loads.append(
            _Loading(swap, now, engine.load_s(swap.model) + _UNLOAD_S)
        )

    def _advance_loads(self, now: float) -> None:
        store_loads = sum(load.swap.from_store for load in self._loads)
        speed = min(1.0, self._store_concurrency / max(1, store_loads))
        for load in list(self._loads):
            load.left_s -= _STEP_S * (speed if load.swap.from_store else 1.0)
            if load.left_s <= 1e-9:
                self._loads.remove(load)
                self._finish(load, now)

    def _finish(self, load: _Loading, now: float) -> None:
        engine = self._by_target[load.swap.target]
        engine.finish_load(load.swap.model, now)
        engine.swapping = False
        self._store.record_finish(
            load.swap.target, load.swap.model, loaded=True, now=now
        )


def _need(
    queue: list[_Waiting],
    needs: dict[demand.ModelKey, demand.Need],
    model: str,
) -> demand.Need:
    known = needs[world.key(model)]
    need = demand.Need(
        rate=known.rate, priority=known.priority, waiting=len(queue)
    )
    for waiting in queue:
        traffic = waiting.traffic
        need.earliest_latency_deadline = min(
            need.earliest_latency_deadline,
            waiting.arrived_at + traffic.latency_s,
        )
        need.latest_queue_deadline = max(
            need.latest_queue_deadline, waiting.arrived_at + traffic.patience_s
        )
    return need


def _poisson(rng: random.Random, mean: float) -> int:
    return sum(1 for _ in _arrivals(rng, mean))


def _arrivals(rng: random.Random, mean: float) -> Iterator[float]:
    at = rng.expovariate(mean)
    while at < 1.0:
        yield at
        at += rng.expovariate(mean)
