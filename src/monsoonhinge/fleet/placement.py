"""Plans which engine loads which model and what it evicts; performs no I/O.

Load pattern: many rarely used models are requested at the same time, while a
few busy models receive most requests. An engine carries out one order at a
time. Loads that finish before the deadlines of their requests therefore go
first, and each model goes to the engine where the load is fast and delays
requests for other models least.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import eviction
from monsoonhinge.fleet import load_value
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import replica_targets
from monsoonhinge.fleet import retirement
from monsoonhinge.fleet import service_needs
from monsoonhinge.fleet import store_policy
from monsoonhinge.fleet import store_queue
from monsoonhinge.fleet import swap_cost

# Part of the engines that has to be idle for a load that no request needs yet.
_MIN_IDLE_FRACTION = 0.5

# Reason of the load of a model that only the weight store has.
_UNCOPIED = "uncopied"


def plan(
    *,
    service: str,
    fleet: Sequence[engines.Engine],
    needs: Mapping[demand.ModelKey, demand.Need],
    store: placement_plan.StoreState,
    now: float,
) -> placement_plan.Plan:
    """Plans the swaps to start now, at most one for each engine."""
    selected = service_needs.ServiceNeeds.from_demand(
        needs, service=service, fleet=fleet
    )
    planner = _Planner(fleet, selected, store, now)
    planner.fill_empty_engines(from_store=False)
    planner.load_for_streams()
    planner.load_waiting()
    planner.load_uncached()
    planner.fill_empty_engines(from_store=True)
    planner.replicate_busy()
    planner.preload_uncached()
    planner.retire_replicas()
    return planner.plan


class _Planner:
    """One planning step; its methods are the rules, called in their order."""

    def __init__(
        self,
        fleet: Sequence[engines.Engine],
        needs: service_needs.ServiceNeeds,
        store: placement_plan.StoreState,
        now: float,
    ) -> None:
        self.fleet = fleet
        self.now = now
        self.needs = needs.loadable
        self.available = {
            engine.target: engine
            for engine in fleet
            if not engine.swapping
            and not engine.unreachable
            and engine.order_count is not None
            and now >= engine.retry_at
        }
        self.desired = replica_targets.desired_replicas(fleet, self.needs)
        # Replicas that serve, with the effects of the swaps of this plan.
        self.replica_counts = collections.Counter(
            model
            for engine in fleet
            for model in engine.replicas
            if engine.serves(model)
        )
        self.cached = collections.Counter(
            model
            for engine in fleet
            if engine.offers_copies(now)
            for model in engine.in_memory | engine.on_disk
        )
        # Models that are requested and that no engine has, by value of a load.
        self.uncached_values = {
            model: load_value.load_requests(fleet, model, need, now)
            for model, need in self.needs.items()
            if model not in self.cached and not self.replica_counts[model]
        }
        self.store = store_policy.StorePolicy(
            store=store,
            fleet=fleet,
            available=self.available,
            needs=self.needs,
            desired=self.desired,
            cached=self.cached,
            uncached_values=self.uncached_values,
            now=now,
        )
        self.evictions = eviction.EvictionPolicy(
            needs=self.needs,
            desired=self.desired,
            max_busy_models=math.ceil(
                sum(self.desired.values()) / max(1, len(fleet))
            ),
            replica_counts=self.replica_counts,
            now=now,
        )
        self.swap_costs = swap_cost.SwapCosts(
            needs=self.needs,
            cached=self.cached,
            evictions=self.evictions,
        )
        self.plan = placement_plan.Plan(
            busy_replicas=sum(
                self.replica_counts[model] for model in self.desired
            ),
            desired_replicas=sum(self.desired.values()),
            obstacles=dict.fromkeys(
                needs.waiting_in_vain, placement_plan.Obstacle.NO_ENGINE
            ),
        )

    def load_waiting(self) -> None:
        """Loads models with waiting requests, most valuable load first."""
        candidates = [
            (model, need)
            for model, need in self._unserved()
            if model in self.cached or model in self.desired
        ]
        candidates.sort(
            key=lambda item: load_value.load_order(
                self.fleet, item[0], item[1], self.now
            )
        )
        for model, need in candidates:
            self._plan_load(model, need, "waiting")

    def load_for_streams(self) -> None:
        """Loads models that streams need which go on at one version only.

        Their requests wait although the model serves on engines that run other
        software versions. They go first, since other models may be loaded on
        any engine.
        """
        for model, need in self.needs.items():
            for version in need.bound:
                engines_of_version = [
                    engine
                    for engine in self.fleet
                    if engine.registration.software_version == version
                ]
                if any(model in item.replicas for item in engines_of_version):
                    continue
                among = {
                    engine.target: engine
                    for engine in engines_of_version
                    if engine.target in self.available
                }
                self._plan_load(model, need, "stream", among=among)

    def load_uncached(self) -> None:
        """Loads models without a copy, most valuable first.

        What limits them is what is short: the reads of the store, and the free
        engines beyond those that loads from cached copies need, which serve
        more requests in the same time.
        """
        candidates = sorted(
            self.uncached_values,
            key=lambda model: (-self._uncached_value_per_s(model), model),
        )
        reserved = self.store.reserved_engines(self.replica_counts)
        for model in candidates:
            need = self.needs[model]
            obstacle = self.store.uncached_obstacle(
                self.uncached_values[model], reserved
            )
            if obstacle is None:
                self._plan_load(model, need, _UNCOPIED)
            elif need.waiting:
                self.plan.obstacles[model] = obstacle
        self.plan.queued_loads = self._queued_loads(candidates)

    def _queued_loads(
        self, candidates: Iterable[str]
    ) -> list[store_queue.QueuedLoad]:
        """Returns the candidates that only a later load can serve.

        An engine that cannot be reached now may come back with its copies.
        """
        held = {
            model
            for engine in self.fleet
            for model in (*engine.replicas, *engine.in_memory, *engine.on_disk)
        }
        held.update(swap.model for swap in self.plan.swaps)
        return [
            store_queue.QueuedLoad(
                model, load_value.shortest_load_s(self.fleet, model)
            )
            for model in candidates
            if model not in held
        ]

    def _uncached_value_per_s(self, model: str) -> float:
        load_s = load_value.shortest_load_s(self.fleet, model)
        return self.uncached_values[model] / load_s

    def preload_uncached(self) -> None:
        """Loads models that no engine has a copy of, before they are needed.

        A request for such a model would wait for seconds, or in vain. No
        request may wait, and most engines have to be idle.
        """
        idle = len(self.available) >= _MIN_IDLE_FRACTION * len(self.fleet)
        if not idle or any(need.waiting for need in self.needs.values()):
            return
        copies = {
            model
            for engine in self.fleet
            for model in (*engine.replicas, *engine.in_memory, *engine.on_disk)
        }
        for model in self._configured_models():
            if not self.store.may_preload():
                return
            if model not in copies:
                need = self.needs.get(model, demand.Need())
                self._plan_load(model, need, "preload")

    def _configured_models(self) -> list[str]:
        """Returns the models of the service, most requested first."""
        if not self.fleet:
            return []
        models = [model.name for model in self.fleet[0].limits.models]
        return sorted(models, key=self._request_rate, reverse=True)

    def _request_rate(self, model: str) -> float:
        need = self.needs.get(model)
        return 0.0 if need is None else need.rate

    def _unserved(self) -> Iterator[tuple[str, demand.Need]]:
        """Yields the models with waiting requests that no engine serves."""
        for model, need in self.needs.items():
            if need.waiting and not self.replica_counts[model]:
                yield model, need

    def replicate_busy(self) -> None:
        """Adds replicas of busy models that have too few."""
        for model in self._busiest_first():
            if self.replica_counts[model] < self.desired[model]:
                self._plan_load(model, self.needs[model], "busy")

    def fill_empty_engines(self, *, from_store: bool) -> None:
        """Loads the busiest models on engines without any model.

        Args:
            from_store: Whether models are loaded that an engine has no copy of.
        """
        for model in self._busiest_first():
            empty = {
                target: engine
                for target, engine in self.available.items()
                if not engine.replicas
                and engine.is_configured(model)
                and engine.loads_from_store(model) == from_store
            }
            missing = self.replica_counts[model] < self.desired[model]
            if empty and missing:
                self._plan_load(model, self.needs[model], "empty", among=empty)

    def retire_replicas(self) -> None:
        """Makes room for models that wait because nothing may be evicted."""
        held_up = {
            model: load_value.load_requests(
                self.fleet, model, self.needs[model], self.now
            )
            for model in self.plan.obstacles
            if self._is_held_up(model)
        }
        for target, model in retirement.choose(
            held_up=held_up,
            available=self.available.values(),
            cached=self.cached,
            evictions=self.evictions,
            store_loads=self.store.free_concurrency(),
        ):
            self.replica_counts[model] -= 1
            self.plan.retirements.append((target, model))

    def _is_held_up(self, model: str) -> bool:
        obstacle = self.plan.obstacles.get(model)
        return obstacle is placement_plan.Obstacle.NO_EVICTION

    def _reactivate(self, model: str) -> bool:
        """Uses a retiring replica again; returns whether there is one."""
        for engine in self.available.values():
            replica = engine.replicas.get(model)
            if (
                replica is not None
                and replica.state == engines.RETIRING
                and not self._is_awaited(engine)
            ):
                del self.available[engine.target]
                self.replica_counts[model] += 1
                self.plan.reactivations.append((engine.target, model))
                return True
        return False

    def _is_awaited(self, engine: engines.Engine) -> bool:
        """Returns whether a more valuable model waits for room on an engine."""
        return any(
            self._is_held_up(model) and engine.has_copy(model)
            for model in self.plan.obstacles
        )

    def _busiest_first(self) -> list[str]:
        return sorted(self.desired, key=lambda model: -self.needs[model].rate)

    def _plan_load(
        self,
        model: str,
        need: demand.Need,
        reason: str,
        among: Mapping[str, engines.Engine] | None = None,
    ) -> None:
        """Plans the cheapest load of a model, or records why there is none."""
        best: tuple[float, placement_plan.Swap] | None = None
        obstacle = placement_plan.Obstacle.NO_ENGINE
        if need.waiting and self._reactivate(model):
            return
        for engine in (self.available if among is None else among).values():
            if not engine.is_configured(model) or model in engine.replicas:
                continue
            if not self._may_add(engine, model):
                continue
            from_store = engine.loads_from_store(model)
            store_obstacle = None
            if from_store:
                store_obstacle = self.store.obstacle(
                    engine, model, self._load_value(model, need)
                )
            if store_obstacle is not None:
                if model not in self.cached:
                    obstacle = store_obstacle
                continue
            evictions = self.evictions.choose(engine, model)
            if evictions is None:
                obstacle = placement_plan.Obstacle.NO_EVICTION
                continue
            load_s = engine.load_s(model)
            cost = self.swap_costs.delay_s(
                engine, model, evictions=evictions, need=need
            )
            swap = placement_plan.Swap(
                target=engine.target,
                model=model,
                evictions=evictions,
                load_s=load_s,
                from_store=from_store,
                reason=reason,
            )
            if best is None or cost < best[0]:
                best = (cost, swap)
        if best is None:
            if need.waiting or reason == _UNCOPIED:
                self.plan.obstacles[model] = obstacle
            return
        swap = best[1]
        self.plan.obstacles.pop(model, None)
        del self.available[swap.target]
        if swap.from_store:
            self.store.record_load(swap.model)
        self.replica_counts[swap.model] += 1
        self.replica_counts.subtract(swap.evictions)
        self.plan.swaps.append(swap)

    def _load_value(self, model: str, need: demand.Need) -> float:
        """Returns the requests that only a load of a model can serve."""
        if self.replica_counts[model]:
            return 0.0
        return load_value.load_requests(self.fleet, model, need, self.now)

    def _may_add(self, engine: engines.Engine, model: str) -> bool:
        """Returns whether a model may join the others on an engine.

        Busy models are spread over the engines, but for the first replica.
        """
        if model not in self.desired or not self.replica_counts[model]:
            return True
        busy_count = self.evictions.busy_model_count(engine)
        return busy_count < self.evictions.max_busy_models
