"""Plays a load pattern against the placement decisions, with fake engines.

Engines carry out swaps in the time that their configuration states. The weight
store reads a few loads at once at full speed; one that joins more is slower.
A full disk drops the least recently used copy. Engines can be lost with their
disks, and the lease can change hands.
"""

import collections
from collections.abc import Iterator, Sequence
import dataclasses
import random

from monsoonhinge.config import ingress
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import weightstore
from tests.fleet import world

# Time of the engines at which the first request arrives.
_EPOCH_S = 100.0

_STEP_S = 0.1
_UNLOAD_S = 0.1
_MEAN_RUN_S = 1.8

# Time in which bursts of requests arrive.
_BURST_FROM_S, _BURST_UNTIL_S = 9.0, 15.0

# Time in which a new lease holder reads the state of an idle engine.
_SYNC_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Requests for one model.

    Attributes:
        model: Requested model.
        per_s: Mean request rate.
        latency_s: Target latency.
        patience_s: Time after which a request stops waiting.
        burst: Factor of the rate during the burst.
    """

    model: str
    per_s: float
    latency_s: float
    patience_s: float
    burst: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Engines that are lost, and as many that come in their place.

    Attributes:
        at: Time of the loss.
        count: Number of engines.
        for_s: Time until the others arrive, without any model in memory.
        keeps_disks: Whether they have the disks of the lost ones.
    """

    at: float
    count: int
    for_s: float
    keeps_disks: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """A change of the lease holder, which knows nothing but announcements.

    Attributes:
        at: Time at which the holder is lost.
        for_s: Time without a holder.
        slow_engines: Engines that the next holder takes for busy for longer.
        slow_s: That time.
    """

    at: float
    for_s: float
    slow_engines: int = 0
    slow_s: float = 0.0


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
        unserved: Requests by model that ended while they waited.
        max_store_loads: Highest number of concurrent store loads.
        store_loads: Models that were loaded from the store, in order.
    """

    def __init__(
        self,
        *,
        fleet: list[engines.Engine],
        traffic: list[Traffic],
        limits: ingress.IngressEngine,
        store_concurrency: int,
        disk_copies: int | None = None,
        losses: Sequence[Loss] = (),
        handovers: Sequence[Handover] = (),
        seed: int = 19,
    ) -> None:
        """Initializes the simulation.

        Args:
            fleet: Engines at the start.
            traffic: Requests by model.
            limits: Configuration of the engines.
            store_concurrency: Loads that the store reads at full speed.
            disk_copies: Copies that fit on a disk; None if any number does.
            losses: Engines that are lost.
            handovers: Changes of the lease holder.
            seed: Seed of all random numbers.
        """
        self.fleet = fleet
        self.asked: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.unserved: collections.Counter[str] = collections.Counter()
        self.max_store_loads = 0
        self.store_loads: list[str] = []
        self._disk_copies = disk_copies
        self._losses = losses
        self._handovers = handovers
        self._lost: dict[Loss, list[str]] = {}
        self._synchronized_at: dict[str, float] = {}
        self._by_target = {engine.target: engine for engine in fleet}
        self._traffic = traffic
        self._limits = limits
        self._store_concurrency = store_concurrency
        self._store = weightstore.StoreLimiter(window_s=5.0)
        self._waiting: dict[str, list[_Waiting]] = {}
        self._running: list[tuple[float, str, str]] = []
        self._loads: list[_Loading] = []
        self._needs: dict[demand.ModelKey, demand.Need] = {}
        self._rng = random.Random(seed)
        # Requests arrive at the same times, whatever is decided.
        self._arrival_rng = random.Random(seed)
        # Copies on each disk, least recently used first.
        self._disks: dict[str, list[str]] = {}
        for engine in fleet:
            copies = sorted(engine.on_disk)
            self._rng.shuffle(copies)
            # Models with few copies were placed before the others.
            copies.sort(key=lambda name: self._copies(name))
            self._disks[engine.target] = copies

    def run(
        self, duration_s: float, *, lead_s: float = 0.0, tail_s: float = 0.0
    ) -> None:
        """Plays the load pattern.

        Args:
            duration_s: Time in which requests arrive.
            lead_s: Time before the first request.
            tail_s: Time after the last request, in which others still wait.
        """
        first = -round(lead_s / _STEP_S)
        for step in range(first, round((duration_s + tail_s) / _STEP_S)):
            at = step * _STEP_S
            now = _EPOCH_S + at
            self._change_fleet(step)
            self._advance_loads(now)
            if 0 <= at < duration_s:
                self._arrive(at, now)
            self._serve(now)
            if not any(h.at <= at < h.at + h.for_s for h in self._handovers):
                self._plan(now)

    def _copies(self, model: str) -> int:
        return sum(model in engine.on_disk for engine in self.fleet)

    def _change_fleet(self, step: int) -> None:
        now = _EPOCH_S + step * _STEP_S
        for loss in self._losses:
            if step == round(loss.at / _STEP_S):
                lost = self.fleet[: loss.count]
                self._lost[loss] = [engine.target for engine in lost]
                for engine in lost:
                    self._lose(engine)
            if step == round((loss.at + loss.for_s) / _STEP_S):
                for target in self._lost.pop(loss):
                    disk = self._disks.pop(target)
                    self._add(
                        world.empty_engine(f"{target}+", self._limits, now),
                        disk if loss.keeps_disks else [],
                    )
        for handover in self._handovers:
            if step == round((handover.at + handover.for_s) / _STEP_S):
                self._hand_over(handover, now)
        for engine in self.fleet:
            if (
                engine.order_count is None
                and not engine.swapping
                and now >= self._synchronized_at[engine.target]
            ):
                engine.order_count = 0
                engine.busy_while_unknown = False

    def _lose(self, engine: engines.Engine) -> None:
        self.fleet.remove(engine)
        self._running = [
            run for run in self._running if run[1] != engine.target
        ]
        for load in list(self._loads):
            if load.swap.target == engine.target:
                self._loads.remove(load)
                self._store.record_finish(
                    engine.target, load.swap.model, loaded=False, now=0.0
                )

    def _add(self, engine: engines.Engine, disk: list[str]) -> None:
        self.fleet.append(engine)
        self._by_target[engine.target] = engine
        self._disks[engine.target] = disk
        engine.on_disk = set(disk)

    def _hand_over(self, handover: Handover, now: float) -> None:
        """Forgets all that the new holder cannot read in announcements."""
        self._store = weightstore.StoreLimiter(window_s=5.0)
        for number, engine in enumerate(self.fleet):
            slow = number < handover.slow_engines
            engine.order_count = None
            engine.unknown_since = now
            engine.busy_while_unknown = engine.swapping or slow
            self._synchronized_at[engine.target] = now + (
                handover.slow_s if slow else _SYNC_S
            )
            for model, replica in list(engine.replicas.items()):
                if replica.state == engines.LOADING:
                    del engine.replicas[model]
                else:
                    replica.state = engines.LOADED

    def never_served(self, *, min_requests: int) -> list[str]:
        """Returns the models asked for that often and never served."""
        return [
            model
            for model, count in self.asked.items()
            if count >= min_requests and not self.served[model]
        ]

    def _arrive(self, at: float, now: float) -> None:
        for traffic in self._traffic:
            per_s = traffic.per_s
            if _BURST_FROM_S <= at < _BURST_UNTIL_S:
                per_s *= traffic.burst
            count = _poisson(self._arrival_rng, per_s * _STEP_S)
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
                run_s = self._rng.expovariate(1 / _MEAN_RUN_S)
                self._running.append((now + run_s, chosen.target, model))
                assert waiting.traffic.model == model
            waiting_before = 0 if holders else len(queue)
            queue[:] = [
                waiting
                for waiting in ([] if holders else queue)
                if now < waiting.arrived_at + waiting.traffic.patience_s
            ]
            self.unserved[model] += waiting_before - len(queue)
            need = _need(queue, self._needs, model)
            need.served = self.served[model]
            need.unserved = self.unserved[model]
            self._needs[world.key(model)] = need

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
            active_loads=len(self._store.active_loads)
            + sum(engine.busy_while_unknown for engine in self.fleet),
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
            self.store_loads.append(swap.model)
            self._store.record_start(
                swap.target, swap.model, full_speed_s=swap.load_s, now=now
            )
            self.max_store_loads = max(
                self.max_store_loads, len(self._store.active_loads)
            )
        slowdown = 1.0
        if swap.from_store:
            reading = 1 + sum(load.swap.from_store for load in self._loads)
            slowdown = max(1.0, reading / self._store_concurrency)
        load_s = engine.load_s(swap.model) * slowdown
        self._loads.append(_Loading(swap, now, load_s + _UNLOAD_S))

    def _advance_loads(self, now: float) -> None:
        for load in list(self._loads):
            load.left_s -= _STEP_S
            if load.left_s <= 1e-9:
                self._loads.remove(load)
                self._finish(load, now)

    def _finish(self, load: _Loading, now: float) -> None:
        engine = self._by_target[load.swap.target]
        model = load.swap.model
        if model not in engine.replicas:
            engine.replicas[model] = engines.ModelReplica(
                state=engines.LOADED, state_since=now
            )
        engine.finish_load(model, now)
        engine.swapping = False
        self._keep_copy(engine, model)
        self._store.record_finish(
            load.swap.target, load.swap.model, loaded=True, now=now
        )

    def _keep_copy(self, engine: engines.Engine, model: str) -> None:
        disk = self._disks[engine.target]
        if model in disk:
            disk.remove(model)
        disk.append(model)
        while self._disk_copies is not None and len(disk) > self._disk_copies:
            engine.on_disk.discard(disk.pop(0))
        engine.in_memory &= engine.on_disk


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
