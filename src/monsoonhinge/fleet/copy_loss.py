"""Costs of the cached copies that a load from the store drops.

A full disk drops its least recently used copies for the one that a load from
the weight store leaves. If a dropped copy was the only one of its model, the
model has to be read from the store again before it can be served.
"""

from collections.abc import Mapping
import dataclasses
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import load_value


@dataclasses.dataclass(frozen=True, slots=True)
class CopyLoss:
    """Cost of dropped copies.

    Attributes:
        needs: Demand by model.
        cached: Cached copies by model.
    """

    needs: Mapping[str, demand.Need]
    cached: Mapping[str, int]

    def expected_s(self, engine: engines.Engine, model: str) -> float:
        """Returns the expected delay due to copies that a load drops.

        Which of the copies that were not used since their engine is known is
        the oldest is not known either, so each of them is as likely to go.

        Args:
            engine: The engine that loads the model.
            model: Model that is loaded from the store.

        Returns:
            Delay of requests in seconds, as a swap costs it.
        """
        missing_bytes = engine.missing_disk_bytes(model)
        if missing_bytes <= 0:
            return 0.0
        by_age: dict[float, list[str]] = {}
        for name in engine.on_disk:
            used_at = engine.copy_used_at.get(name, 0.0)
            if name in engine.replicas:
                # It was loaded after those that are not in memory.
                used_at = math.inf
            by_age.setdefault(used_at, []).append(name)
        delay_s = 0.0
        for used_at in sorted(by_age):
            names = by_age[used_at]
            size_bytes = sum(engine.size_bytes(name) for name in names)
            share = min(1.0, missing_bytes / max(1, size_bytes))
            delay_s += share * sum(self._loss_s(engine, name) for name in names)
            missing_bytes -= size_bytes
            if missing_bytes <= 0:
                break
        return delay_s

    def _loss_s(self, engine: engines.Engine, model: str) -> float:
        if self.cached.get(model, 0) > 1 or not engine.is_configured(model):
            return 0.0
        need = self.needs.get(model)
        requests = 0.0 if need is None else load_value.expected_requests(need)
        return engine.store_load_s(model) * (1 + requests)
