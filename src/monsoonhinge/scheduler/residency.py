"""Which replicas stay, which may be displaced and which are expected."""

from collections.abc import Mapping, Set
import math

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import verdicts
from monsoonhinge.scheduler import weightstore


class Residency:
    """Answers questions about replicas within one planning step."""

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        store: weightstore.WeightStore,
        retention: keepalive.Retention,
        view: config_view.View,
        engines: Mapping[str, messages.TargetState],
        active: Set[str],
        now: float,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._retention = retention
        self._view = view
        self._engines = engines
        self._active = active
        self._now = now
        memory = sum(state.memory_bytes for state in engines.values())
        reserved = sum(ledger.reserved(target) for target in engines)
        self._pressure = reserved / memory if memory else 1.0

    def live(self, model: str) -> list[replica_ledger.Replica]:
        """Returns replicas of the current version that may serve requests."""
        version = self._view.models[model].current
        return [
            replica
            for replica in self._ledger.of_model(model, version)
            if replica.change.target in self._engines
        ]

    def is_idle(self, replica: replica_ledger.Replica) -> bool:
        """Returns whether a loaded replica runs nothing."""
        return (
            replica.state == "loaded"
            and not replica.expired
            and not replica.running
            and not replica.waiting
            and replica.change.target in self._engines
        )

    def _idle_s(self, replica: replica_ledger.Replica) -> float:
        used_at = max(replica.last_used_at, replica.loaded_at or 0.0)
        called_at = self._retention.idle_since(replica.change.model)
        return self._now - max(used_at, called_at or 0.0)

    def kept_long_enough(
        self, replica: replica_ledger.Replica, model: schema.Model
    ) -> bool:
        """Returns whether an idle replica is surplus or past its keep time."""
        live = self.live(model.name)
        if len(live) > model.max_replicas:
            return True
        if len(live) <= model.min_replicas:
            return False
        if model.name in self._active:
            # Spare replicas go one by one once the others carry the load.
            if len(live) < 2:
                return False
        elif self._within_warm_span(model):
            return False
        return self._idle_s(replica) >= self._keep_plan(model).keep_s

    def _keep_plan(self, model: schema.Model) -> keepalive.Plan:
        return self._retention.plan(
            model.name,
            load_s=self.load_s(model.name, "remote"),
            pressure=self._pressure,
        )

    def _within_warm_span(self, model: schema.Model) -> bool:
        idle_since = self._retention.idle_since(model.name)
        if idle_since is None:
            return False
        plan = self._keep_plan(model)
        waited = self._now - idle_since
        return plan.warm_from_s <= waited < plan.warm_until_s

    def predicted(self, warmed: Mapping[str, float]) -> list[str]:
        """Returns models whose next call is expected soon.

        Args:
            warmed: End of the last use for which each model was warmed.
        """
        return [
            name
            for name, model in self._view.models.items()
            if name not in self._active
            and warmed.get(name) != self._retention.idle_since(name)
            and self._within_warm_span(model)
            and not self.live(name)
        ]

    def eviction_cost(self, replica: replica_ledger.Replica) -> float | None:
        """Returns the cost of displacing a replica, or None if it stays."""
        name = replica.change.model
        if not self.is_idle(replica) or name in self._active:
            return None
        model = self._view.models.get(name)
        if model is None:
            return 0.0
        load_s = self.load_s(name, "remote")
        retention = self._retention
        resident = self._now - (replica.loaded_at or self._now)
        if resident < retention.residence_s(load_s):
            return None
        if len(self.live(name)) <= model.min_replicas:
            return None
        return retention.eviction_cost(name, load_s=load_s, now=self._now)

    def nominal_load_s(self, model: str, version: str = "") -> float:
        """Returns the configured load time of a model, or 0 if unknown."""
        known = self._view.models.get(model)
        found = known.version(version) if known else None
        return found.load_s if found else 0.0

    def load_s(self, model: str, tier: str) -> float:
        """Returns the expected load time of a model from a tier."""
        nominal = self.nominal_load_s(model)
        return self._store.load_s(nominal, tier, self._now)

    def room_after(self) -> float:
        """Returns the shortest time until some replica may be displaced."""
        shortest = math.inf
        for replica in self._ledger.replicas.values():
            if not self.is_idle(replica) or replica.loaded_at is None:
                continue
            load_s = self.load_s(replica.change.model, "remote")
            residence = self._retention.residence_s(load_s)
            left = replica.loaded_at + residence - self._now
            shortest = min(shortest, max(0.0, left))
        return shortest if math.isfinite(shortest) else verdicts.BUSY_S
