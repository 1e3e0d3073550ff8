"""Decides which loads may read from the weight store; performs no I/O.

Load pattern: models that only the store holds are requested while others wait
for loads from cached copies. The store reads a few loads at once, and each one
occupies its engine for seconds, in which it could load several models from its
own disk.
"""

from collections.abc import Mapping, Sequence
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import replica_targets

# Time for which a swap from local disk occupies an engine. It determines how
# many engines are kept free of store loads.
_DISK_SWAP_S = 1.5

# Concurrent store loads as a fraction of the engines. On a small fleet, more
# would leave too few engines for loads from cached copies.
_STORE_LOAD_FRACTION = 0.4

# Store loads as a fraction of the engines that need not leave engines free for
# loads from cached copies, since they occupy few of them.
_UNRESERVED_FRACTION = 0.1

# Requests that a load of a model without a cached copy has to serve, at least.
_MIN_UNCACHED_VALUE = 1.0


class StorePolicy:
    """Rules for the store loads of one planning step.

    Attributes:
        active_loads: Loads in progress, with those of this plan.
        available_starts: Loads that may still start within the rate limit.
    """

    def __init__(
        self,
        *,
        store: placement_plan.StoreState,
        fleet: Sequence[engines.Engine],
        available: Mapping[str, engines.Engine],
        needs: Mapping[str, demand.Need],
        desired: Mapping[str, int],
        cached: Mapping[str, int],
        uncached_values: Mapping[str, float],
        now: float,
    ) -> None:
        """Initializes the policy.

        Args:
            store: Use of the store before this step.
            fleet: Engines of the service.
            available: Engines that are still free in this step, by target.
            needs: Demand by model.
            desired: Desired replicas of each busy model.
            cached: Cached copies by model.
            uncached_values: Value of a load of each model that is requested and
                that no engine has, in requests.
            now: Current time in seconds.
        """
        self.active_loads = store.active_loads
        self.available_starts = store.available_starts
        self._max_concurrency = store.max_concurrency
        self._fleet = fleet
        self._available = available
        self._needs = needs
        self._desired = desired
        self._cached = cached
        self._uncached_values = dict(uncached_values)
        self._now = now

    def record_load(self, model: str) -> None:
        """Counts a load of this plan."""
        self.available_starts -= 1
        self.active_loads += 1
        self._uncached_values.pop(model, None)

    def free_concurrency(self) -> int:
        """Returns how many more loads may be in progress."""
        return max(0, self._max_concurrency - self.active_loads)

    def may_preload(self) -> bool:
        """Returns whether a model may be loaded that no request needs yet.

        Once there is demand, one load is left for it.
        """
        reserve = 1 if self._needs else 0
        return self.active_loads < self._max_concurrency - reserve

    def reserved_engines(self, replica_counts: Mapping[str, int]) -> int:
        """Returns how many free engines are left for loads from copies.

        These are the engines that such loads are expected to occupy, but never
        more than half, so that models without a copy are loaded at all. A
        single engine carries out both.
        """
        if len(self._fleet) <= 1:
            return 0
        rate = sum(
            need.rate
            for model, need in self._needs.items()
            if model in self._cached
            and model not in self._desired
            and not replica_counts[model]
        )
        expected = math.ceil(rate * _DISK_SWAP_S)
        return max(1, min(expected, math.ceil(len(self._fleet) / 2)))

    def uncached_obstacle(
        self, value: float, reserved_engines: int
    ) -> placement_plan.Obstacle | None:
        """Returns why a model without a copy is not loaded now, or None.

        Args:
            value: Requests that the load is expected to serve.
            reserved_engines: Free engines that are left for loads from copies.
                The first store loads leave only one.
        """
        if self.active_loads < max(
            1, round(_UNRESERVED_FRACTION * len(self._fleet))
        ):
            reserved_engines = min(1, reserved_engines)
        if value < _MIN_UNCACHED_VALUE:
            return placement_plan.Obstacle.TOO_LATE
        if self.active_loads >= self._max_concurrency:
            return placement_plan.Obstacle.STORE
        if len(self._available) <= reserved_engines:
            return placement_plan.Obstacle.RESERVED
        return None

    def obstacle(
        self, engine: engines.Engine, model: str, value: float
    ) -> placement_plan.Obstacle | None:
        """Returns why an engine may not start a load from the store, or None.

        A model that has a copy elsewhere does not go before a more valuable
        one that only the store has. If it is rarely used, it goes to an engine
        with few cached copies, or to one that the expected loads from disk do
        not need.

        Args:
            engine: The engine.
            model: Model to load.
            value: Requests that the load is expected to serve.
        """
        if not self._permits(engine, model, value):
            return placement_plan.Obstacle.STORE
        if self._needed_for_adapters(engine):
            return placement_plan.Obstacle.ADAPTERS
        return None

    def _permits(
        self, engine: engines.Engine, model: str, value: float
    ) -> bool:
        if self.available_starts <= 0:
            return False
        if self.active_loads >= self._max_loads(model):
            return False
        if model not in self._cached:
            return True
        uncached_value = self._highest_uncached_value()
        if uncached_value and value <= uncached_value:
            return False
        if model in self._desired:
            return True
        max_cached = max(len(e.on_disk) for e in self._fleet)
        if 2 * len(engine.on_disk) <= max_cached:
            return True
        rare_rate = sum(
            item.rate
            for name, item in self._needs.items()
            if name not in self._desired
        )
        return len(self._available) > max(
            1, math.ceil(rare_rate * _DISK_SWAP_S)
        )

    def _highest_uncached_value(self) -> float:
        """Returns the value of the best load that only the store can serve."""
        highest = max(self._uncached_values.values(), default=0.0)
        return highest if highest >= _MIN_UNCACHED_VALUE else 0.0

    def _max_loads(self, model: str) -> int:
        """Returns how many store loads may be in progress with this one.

        The load of a model that is cached elsewhere leaves one for models that
        only the store has.
        """
        limit = self._max_concurrency
        if model in self._cached:
            limit -= 1
        engine_limit = round(_STORE_LOAD_FRACTION * len(self._fleet))
        return max(1, min(limit, engine_limit))

    def _is_soon_available(self, engine: engines.Engine) -> bool:
        """Returns whether an engine is free, or carries out a short swap."""
        return engine.target in self._available or (
            engine.swapping
            and not engine.unreachable
            and engine.ready_at() - self._now < _DISK_SWAP_S
        )

    def _needed_for_adapters(self, engine: engines.Engine) -> bool:
        """Returns whether no other engine could soon load its adapters."""
        for model, replica in engine.replicas.items():
            need = self._needs.get(model)
            if (
                need is None
                or replica.state != engines.LOADED
                or need.adapter_rate
                < replica_targets.BUSY_ADAPTER_REQUESTS_PER_S
            ):
                continue
            if not any(
                other is not engine
                and self._is_soon_available(other)
                and model in other.replicas
                and other.replicas[model].state == engines.LOADED
                for other in self._fleet
            ):
                return True
        return False
