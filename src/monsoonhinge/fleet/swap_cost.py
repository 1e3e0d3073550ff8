"""Costs of swaps, by which the engine of a load is chosen.

An engine carries out one order at a time, so that a swap delays other requests
besides those of the models that it evicts.
"""

from collections.abc import Mapping
import dataclasses

from monsoonhinge.fleet import copy_loss
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import eviction


@dataclasses.dataclass(frozen=True, slots=True)
class SwapCosts:
    """Costs of the swaps of one planning step.

    Attributes:
        needs: Demand by model.
        cached: Cached copies by model.
        evictions: Rules for evictions, which know their costs.
    """

    needs: Mapping[str, demand.Need]
    cached: Mapping[str, int]
    evictions: eviction.EvictionPolicy

    def delay_s(
        self,
        engine: engines.Engine,
        model: str,
        *,
        evictions: tuple[str, ...],
        need: demand.Need,
    ) -> float:
        """Returns the weighted delay of requests due to a swap, in seconds.

        Args:
            engine: The engine.
            model: Model to load.
            evictions: Models to unload first.
            need: Demand for the model.
        """
        load_s = engine.load_s(model)
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
        drop_delay = 0.0
        if engine.loads_from_store(model):
            losses = copy_loss.CopyLoss(needs=self.needs, cached=self.cached)
            drop_delay = losses.expected_s(engine, model)
        return load_delay + eviction_cost + adapter_delay + drop_delay
