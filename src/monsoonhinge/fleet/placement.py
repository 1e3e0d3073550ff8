"""Plans which engine loads which model and what it evicts; performs no I/O.

Load pattern: many rarely used models are requested at the same time, while a
few busy models receive most requests. An engine carries out one order at a
time. Loads that finish before the deadlines of their requests therefore go
first, and each model goes to the engine where the load is fast and delays
requests for other models least.
"""

import collections
from collections.abc import Iterator, Mapping, Sequence
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import eviction
from monsoonhinge.fleet import load_value
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import replica_targets

# Time for which a swap from local disk occupies an engine. It determines how
# many engines are kept free of store loads for rarely used models.
_DISK_SWAP_S = 1.5

# Concurrent store loads as a fraction of the engines. A store load occupies an
# engine for seconds, in which it cannot carry out other loads.
_STORE_LOAD_FRACTION = 0.4

# Store loads for models without a cached copy start only below this number of
# concurrent store loads, as a fraction of the engines, and with at least this
# many idle engines.
_UNCACHED_LOAD_FRACTION = 0.2
_MIN_IDLE_ENGINES = 2

# Part of the engines that has to be idle for a load that no request needs yet.
_MIN_IDLE_FRACTION = 0.5

# Requests that a load of a model without a cached copy has to serve, at least.
_MIN_UNCACHED_VALUE = 1.0


def plan(
    *,
    service: str,
    fleet: Sequence[engines.Engine],
    needs: Mapping[demand.ModelKey, demand.Need],
    store: placement_plan.StoreState,
    now: float,
) -> placement_plan.Plan:
    """Plans the swaps to start now, at most one for each engine."""
    planner = _Planner(service, fleet, needs, store, now)
    planner.fill_empty_engines(from_store=False)
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
        service: str,
        fleet: Sequence[engines.Engine],
        needs: Mapping[demand.ModelKey, demand.Need],
        store: placement_plan.StoreState,
        now: float,
    ) -> None:
        self.service = service
        self.fleet = fleet
        self.now = now
        self.needs = {
            key.model: need
            for key, need in needs.items()
            if key.service == service
        }
        self.available = {
            engine.target: engine
            for engine in fleet
            if not engine.swapping
            and not engine.unreachable
            and engine.order_count is not None
            and now >= engine.retry_at
        }
        self.store = store
        self.desired = replica_targets.desired_replicas(fleet, self.needs)
        self.available_store_starts = store.available_starts
        self.active_store_loads = store.active_loads
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
            if not engine.unreachable and engine.order_count is not None
            for model in engine.in_memory | engine.on_disk
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
        self.plan = placement_plan.Plan(
            busy_replicas=sum(
                self.replica_counts[model] for model in self.desired
            ),
            desired_replicas=sum(self.desired.values()),
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

    def load_uncached(self) -> None:
        """Loads models without a copy, most valuable first.

        Such a load takes one idle engine for seconds, and leaves another for
        loads from disk, which serve more requests in the same time.
        """
        candidates = [
            (
                load_value.uncached_requests(self.fleet, model, need, self.now),
                model,
                need,
            )
            for model, need in self.needs.items()
            if model not in self.cached
            and model not in self.desired
            and not self.replica_counts[model]
        ]
        limit = max(1, round(_UNCACHED_LOAD_FRACTION * len(self.fleet)))
        candidates.sort(key=lambda item: (-item[0], item[1]))
        for value, model, need in candidates:
            if (
                value < _MIN_UNCACHED_VALUE
                or self.active_store_loads >= limit
                or len(self.available) < _MIN_IDLE_ENGINES
            ):
                return
            self._plan_load(model, need, "uncopied")

    def preload_uncached(self) -> None:
        """Loads models that no engine has a copy of, before they are needed.

        A request for such a model would wait for seconds, or in vain. No
        request may wait, and most engines have to be idle. Once there is
        demand, one load is left for it.
        """
        limit = self.store.max_concurrency - (1 if self.needs else 0)
        idle = len(self.available) >= _MIN_IDLE_FRACTION * len(self.fleet)
        if not idle or any(need.waiting for need in self.needs.values()):
            return
        copies = {
            model
            for engine in self.fleet
            for model in (*engine.replicas, *engine.in_memory, *engine.on_disk)
        }
        for model in self._configured_models():
            if self.active_store_loads >= limit:
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
        """Makes room on engines that are full of busy models.

        These are engines with a copy of a model that waits because nothing may
        be evicted.
        """
        held_up = {
            model
            for model, obstacle in self.plan.obstacles.items()
            if obstacle is placement_plan.Obstacle.NO_EVICTION
        }
        for engine in self.available.values():
            if held_up.isdisjoint(engine.on_disk | engine.in_memory):
                continue
            model = self.evictions.choose_retirement(engine)
            if model is not None:
                self.replica_counts[model] -= 1
                self.plan.retirements.append((engine.target, model))

    def _reactivate(self, model: str) -> bool:
        """Uses a retiring replica again; returns whether there is one."""
        for engine in self.available.values():
            replica = engine.replicas.get(model)
            if replica is not None and replica.state == engines.RETIRING:
                del self.available[engine.target]
                self.replica_counts[model] += 1
                self.plan.reactivations.append((engine.target, model))
                return True
        return False

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
            if model in self.desired and not self._may_add_busy(engine):
                continue
            from_store = engine.loads_from_store(model)
            if from_store and not self._may_use_store(engine, model):
                if model not in self.cached:
                    obstacle = placement_plan.Obstacle.STORE
                continue
            evictions = self.evictions.choose(engine, model)
            if evictions is None:
                obstacle = placement_plan.Obstacle.NO_EVICTION
                continue
            load_s = engine.load_s(model)
            cost = self._swap_cost(engine, evictions, load_s, need)
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
            if need.waiting:
                self.plan.obstacles[model] = obstacle
            return
        swap = best[1]
        self.plan.obstacles.pop(model, None)
        del self.available[swap.target]
        if swap.from_store:
            self.available_store_starts -= 1
            self.active_store_loads += 1
        self.replica_counts[swap.model] += 1
        self.replica_counts.subtract(swap.evictions)
        self.plan.swaps.append(swap)

    def _may_add_busy(self, engine: engines.Engine) -> bool:
        busy_count = self.evictions.busy_model_count(engine)
        return busy_count < self.evictions.max_busy_models

    def _swap_cost(
        self,
        engine: engines.Engine,
        evictions: tuple[str, ...],
        load_s: float,
        need: demand.Need,
    ) -> float:
        """Returns the weighted delay of requests due to a swap, in seconds."""
        eviction_cost = sum(self.evictions.cost(name) for name in evictions)
        # An engine cannot load adapters while it loads a model.
        adapter_delay = load_s * sum(
            self.needs[name].rate
            for name, replica in engine.replicas.items()
            if replica.adapters and name in self.needs
        )
        # Nor another model, of which it may have the only cached copy.
        copy_delay = load_s * sum(
            self.needs[name].rate
            for name in engine.in_memory | engine.on_disk
            if self.cached[name] == 1 and name in self.needs
        )
        load_delay = load_s * (1 + need.waiting + copy_delay / 2)
        return load_delay + eviction_cost + adapter_delay

    def _needed_for_adapters(self, engine: engines.Engine) -> bool:
        """Returns whether no other available engine could load its adapters."""
        for model, replica in engine.replicas.items():
            need = self.needs.get(model)
            if (
                need is None
                or replica.state != engines.LOADED
                or need.adapter_rate
                < replica_targets.BUSY_ADAPTER_REQUESTS_PER_S
            ):
                continue
            if not any(
                other is not engine
                and other.target in self.available
                and model in other.replicas
                and other.replicas[model].state == engines.LOADED
                for other in self.fleet
            ):
                return True
        return False

    def _may_use_store(self, engine: engines.Engine, model: str) -> bool:
        """Returns whether an engine may start a load from the store.

        In the same time the engine could load several models from its own
        disk. A rarely used model therefore goes to an engine with few cached
        copies, or to one that the expected loads from disk do not need.
        """
        if self.available_store_starts <= 0:
            return False
        if self.active_store_loads >= self._max_store_loads(model):
            return False
        if self._needed_for_adapters(engine):
            return False
        if model not in self.cached or model in self.desired:
            return True
        max_cached = max(len(e.on_disk) for e in self.fleet)
        if 2 * len(engine.on_disk) <= max_cached:
            return True
        rare_rate = sum(
            item.rate
            for name, item in self.needs.items()
            if name not in self.desired
        )
        return len(self.available) > max(1, math.ceil(rare_rate * _DISK_SWAP_S))

    def _max_store_loads(self, model: str) -> int:
        """Returns how many store loads may be in progress with this one.

        The load of a model that is cached elsewhere leaves one for models that
        only the store has.
        """
        store_limit = self.store.max_concurrency
        if model in self.cached:
            store_limit -= 1
        engine_limit = round(_STORE_LOAD_FRACTION * len(self.fleet))
        return max(1, min(store_limit, engine_limit))
