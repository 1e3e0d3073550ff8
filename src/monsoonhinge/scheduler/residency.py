"""Which replicas stay loaded, which may be evicted and which to prewarm."""

from collections.abc import Mapping, Set
import math

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import weightstore


class Residency:
    """View of the loaded replicas within one planning step."""

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        store: weightstore.WeightStore,
        keep_alive: keepalive.KeepAlivePolicy,
        view: config_view.View,
        engines: Mapping[str, messages.TargetState],
        active: Set[str],
        now: float,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._keep_alive = keep_alive
        self._view = view
        self._engines = engines
        self._active = active
        self._now = now
        memory_bytes = sum(state.memory_bytes for state in engines.values())
        reserved_bytes = sum(
            ledger.reserved_bytes(target) for target in engines
        )
        self._memory_pressure = (
            reserved_bytes / memory_bytes if memory_bytes else 1.0
        )

    def live(self, model: str) -> list[replica_ledger.Replica]:
        """Returns replicas of the current version on live engines.

        Loads in progress are included.
        """
        version = self._view.models[model].current
        return [
            replica
            for replica in self._ledger.of_model(model, version)
            if replica.change.target in self._engines
        ]

    def is_idle(self, replica: replica_ledger.Replica) -> bool:
        """Returns whether a replica is loaded and has no requests."""
        return (
            replica.state == "loaded"
            and not replica.expired
            and not replica.running
            and not replica.waiting
            and replica.change.target in self._engines
        )

    def _idle_s(self, replica: replica_ledger.Replica) -> float:
        replica_used_at = max(replica.last_used_at, replica.loaded_at or 0.0)
        model_used_at = self._keep_alive.idle_since(replica.change.model)
        return self._now - max(replica_used_at, model_used_at or 0.0)

    def may_unload(
        self, replica: replica_ledger.Replica, model: schema.Model
    ) -> bool:
        """Returns whether an idle replica exceeds its limits or keep time."""
        live = self.live(model.name)
        if len(live) > model.max_replicas:
            return True
        if len(live) <= model.min_replicas:
            return False
        if model.name in self._active:
            # While the model is in use, idle replicas are unloaded as long as
            # another one remains.
            if len(live) < 2:
                return False
        elif self._in_prewarm_window(model):
            return False
        return self._idle_s(replica) >= self._keep_alive_plan(model).keep_s

    def _keep_alive_plan(self, model: schema.Model) -> keepalive.Plan:
        return self._keep_alive.plan(
            model.name,
            load_s=self.load_s(model.name, "remote"),
            memory_pressure=self._memory_pressure,
        )

    def _in_prewarm_window(self, model: schema.Model) -> bool:
        idle_since = self._keep_alive.idle_since(model.name)
        if idle_since is None:
            return False
        plan = self._keep_alive_plan(model)
        idle_s = self._now - idle_since
        return plan.prewarm_at_s <= idle_s < plan.prewarm_until_s

    def prewarm_candidates(self, prewarmed: Mapping[str, float]) -> list[str]:
        """Returns the models to prewarm because a call is expected soon.

        Args:
            prewarmed: End of the last use after which each model was prewarmed.
        """
        return [
            name
            for name, model in self._view.models.items()
            if name not in self._active
            and prewarmed.get(name) != self._keep_alive.idle_since(name)
            and self._in_prewarm_window(model)
            and not self.live(name)
        ]

    def eviction_cost(self, replica: replica_ledger.Replica) -> float | None:
        """Returns the cost of evicting a replica, or None if it must stay."""
        name = replica.change.model
        if not self.is_idle(replica) or name in self._active:
            return None
        model = self._view.models.get(name)
        if model is None:
            return 0.0
        load_s = self.load_s(name, "remote")
        keep_alive = self._keep_alive
        resident_s = self._now - (replica.loaded_at or self._now)
        if resident_s < keep_alive.min_residency_s(load_s):
            return None
        if len(self.live(name)) <= model.min_replicas:
            return None
        return keep_alive.eviction_cost(name, load_s=load_s, now=self._now)

    def nominal_load_s(self, model: str, version: str = "") -> float:
        """Returns the configured load time of a model, or 0 if unknown."""
        known = self._view.models.get(model)
        found = known.version(version) if known else None
        return found.load_s if found else 0.0

    def load_s(self, model: str, tier: str) -> float:
        """Returns the expected load time of a model from a tier."""
        nominal = self.nominal_load_s(model)
        return self._store.load_s(nominal, tier, self._now)

    def eviction_delay_s(self) -> float:
        """Returns the shortest time until some replica may be evicted."""
        shortest_s = math.inf
        for replica in self._ledger.replicas.values():
            if not self.is_idle(replica) or replica.loaded_at is None:
                continue
            load_s = self.load_s(replica.change.model, "remote")
            residency_s = self._keep_alive.min_residency_s(load_s)
            remaining_s = replica.loaded_at + residency_s - self._now
            shortest_s = min(shortest_s, max(0.0, remaining_s))
        return (
            shortest_s
            if math.isfinite(shortest_s)
            else readiness.NO_MEMORY_WAIT_S
        )
