"""Chooses which models make room for others; performs no I/O.

Load pattern: models take turns in the memory of an engine, while replicas of
busy models stay in it and run requests all the time.
"""

from collections.abc import Mapping
import dataclasses

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import load_value

# A model is not evicted sooner after its load, so that the requests for which
# it was loaded have time to arrive.
_MIN_RESIDENCY_S = 0.25

# Time for which a rarely used model keeps its place although others wait.
_TURN_S = 4.0

# Delay of a request whose model was evicted and has no other replica.
_RELOAD_DELAY_S = 10.0

# Part of that delay which each further replica avoids.
_REPLICA_DIVISOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionPolicy:
    """Rules for the evictions of one planning step.

    Attributes:
        needs: Demand by model.
        desired: Desired replicas of each busy model.
        max_busy_models: Busy models on one engine, so that each engine has
            room for others.
        replica_counts: Replicas by model, with the effects of the swaps that
            are planned so far.
        now: Current time in seconds.
    """

    needs: Mapping[str, demand.Need]
    desired: Mapping[str, int]
    max_busy_models: int
    replica_counts: Mapping[str, int]
    now: float

    def cost(self, model: str) -> float:
        """Returns the expected delay due to an eviction, in seconds."""
        need = self.needs.get(model)
        rate = 0.0 if need is None else need.rate
        other_replicas = max(0, self.replica_counts.get(model, 0) - 1)
        return rate * _RELOAD_DELAY_S / (1 + _REPLICA_DIVISOR * other_replicas)

    def choose(
        self, engine: engines.Engine, model: str
    ) -> tuple[str, ...] | None:
        """Returns the models to unload for a load; None if it cannot fit."""
        missing_bytes = engine.size_bytes(model) - engine.free_bytes()
        if missing_bytes <= 0:
            return ()
        candidates = [
            (
                0.0 if replica.state == engines.RETIRING else self.cost(name),
                replica.last_used_at,
                name,
            )
            for name, replica in engine.replicas.items()
            if self._may_evict(engine, name, replica)
        ]
        evictions = []
        for _, _, name in sorted(candidates):
            evictions.append(name)
            missing_bytes -= engine.size_bytes(name)
            missing_bytes -= len(
                engine.replicas[name].adapters
            ) * engine.adapter_bytes(name)
            if missing_bytes <= 0:
                return tuple(evictions)
        return None

    def choose_retirement(
        self, engine: engines.Engine, value: float
    ) -> tuple[float, str] | None:
        """Returns the model whose replica on an engine retires, if any.

        A model that runs requests all the time is never idle enough to be
        evicted. It then gets no more requests here: a busy one with more
        replicas than desired, or, on an engine with more than its share of busy
        models, any with replicas elsewhere; or a rarely used one whose turn is
        over.

        Args:
            engine: The engine.
            value: Requests that a load of the model that waits would serve.

        Returns:
            The cost of the retirement and the model.
        """
        states = {replica.state for replica in engine.replicas.values()}
        if states != {engines.LOADED}:
            return None
        above_share = self.busy_model_count(engine) > self.max_busy_models
        candidates = [
            (self.cost(name), name)
            for name, replica in engine.replicas.items()
            if (
                self._has_replicas_to_spare(name, above_share=above_share)
                if name in self.desired
                else self._turn_is_over(name, replica, value)
            )
        ]
        return min(candidates, default=None)

    def _has_replicas_to_spare(self, name: str, *, above_share: bool) -> bool:
        kept = 1 if above_share else self.desired[name]
        return self.replica_counts[name] > kept

    def _turn_is_over(
        self, name: str, replica: engines.ModelReplica, value: float
    ) -> bool:
        need = self.needs.get(name)
        return self.now - replica.state_since >= _TURN_S and (
            need is None or load_value.expected_requests(need) < value
        )

    def busy_model_count(self, engine: engines.Engine) -> int:
        """Returns how many busy models an engine holds and serves."""
        return sum(
            name in self.desired and replica.state != engines.RETIRING
            for name, replica in engine.replicas.items()
        )

    def _may_evict(
        self, engine: engines.Engine, name: str, replica: engines.ModelReplica
    ) -> bool:
        if engine.running_by_model.get(name):
            return False
        if replica.state != engines.LOADED:
            return replica.state == engines.RETIRING
        if (
            self.now - replica.state_since < _MIN_RESIDENCY_S
            and replica.last_used_at
        ):
            return False
        need = self.needs.get(name)
        if need is None:
            return True
        replica_count = self.replica_counts[name]
        if name in self.desired:
            return replica_count > self.desired[name]
        return replica_count > 1 or not need.waiting
