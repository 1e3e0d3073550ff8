"""Counts the requests of a gateway by model and adapter; performs no I/O.

The counts are reported to the holder of the fleet lease. They are kept here, so
that they outlive a change of the holder.
"""

import dataclasses

from monsoonhinge.config import ingress
from monsoonhinge.ingress import load_balancer
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import decaying_sum

# Models and adapters in a demand report, which is one message.
_MAX_COUNTED_NAMES = 50_000

# Served and unserved requests are balanced over minutes, since a rarely used
# model gets one request in many seconds.
_BALANCE_HALF_LIFE_S = 600.0


def _rate() -> decaying_sum.DecayingSum:
    return decaying_sum.DecayingSum(half_life_s=fleet.ARRIVAL_RATE_HALF_LIFE_S)


def _balance() -> decaying_sum.DecayingSum:
    return decaying_sum.DecayingSum(half_life_s=_BALANCE_HALF_LIFE_S)


@dataclasses.dataclass(slots=True)
class _Counts:
    """Requests for one model or adapter.

    Attributes:
        arrived: Number since the start.
        recent: Recent arrivals.
        served: Requests that a target ran.
        unserved: Requests that ended while they waited for a target.
    """

    arrived: int = 0
    recent: decaying_sum.DecayingSum = dataclasses.field(default_factory=_rate)
    served: decaying_sum.DecayingSum = dataclasses.field(
        default_factory=_balance
    )
    unserved: decaying_sum.DecayingSum = dataclasses.field(
        default_factory=_balance
    )


class ModelDemand:
    """Arrived, served and unserved requests by model and adapter.

    Callers choose the names of models and adapters. Those beyond what the
    configuration has are not counted, which bounds the report.
    """

    def __init__(self) -> None:
        # By service and model, then by adapter.
        self._counts: dict[tuple[str, str], dict[str, _Counts]] = {}
        self._counted_names = 0

    def count_arrival(
        self,
        requirements: load_balancer.Requirements,
        engine: ingress.IngressEngine | None,
        now: float,
    ) -> None:
        """Counts an arrived request.

        Args:
            requirements: Requirements of the request.
            engine: Engine limits of its service, or None.
            now: Current time in seconds.
        """
        if engine is None or not requirements.model:
            return
        name = (requirements.service, requirements.model)
        counts = self._counts.get(name, {})
        if requirements.adapter not in counts:
            adapters = _adapter_count(engine, requirements.model)
            counted = len(counts) - ("" in counts)
            if (
                adapters is None
                or (requirements.adapter and counted >= adapters)
                or self._counted_names >= _MAX_COUNTED_NAMES
            ):
                return
            self._counted_names += 1
            counts[requirements.adapter] = _Counts()
        self._counts[name] = counts
        counts[requirements.adapter].arrived += 1
        counts[requirements.adapter].recent.add(1, now)

    def count_served(
        self, requirements: load_balancer.Requirements, now: float
    ) -> None:
        """Counts a request that a target runs."""
        counts = self._find(requirements)
        if counts is not None:
            counts.served.add(1, now)

    def count_unserved(
        self, requirements: load_balancer.Requirements, now: float
    ) -> None:
        """Counts a request that ended while it waited for a target."""
        counts = self._find(requirements)
        if counts is not None:
            counts.unserved.add(1, now)

    def needs(self, now: float) -> dict[tuple[str, str, str], fleet.ModelNeed]:
        """Returns what the report says, by service, model and adapter."""
        return {
            (service, model, adapter): fleet.ModelNeed(
                service=service,
                model=model,
                adapter=adapter,
                arrived=counts.arrived,
                rate_per_ks=round(1000 * counts.recent.rate_per_s(now)),
                served_milli=round(1000 * counts.served.current(now)),
                unserved_milli=round(1000 * counts.unserved.current(now)),
            )
            for (service, model), by_adapter in self._counts.items()
            for adapter, counts in by_adapter.items()
        }

    def _find(self, requirements: load_balancer.Requirements) -> _Counts | None:
        name = (requirements.service, requirements.model)
        return self._counts.get(name, {}).get(requirements.adapter)


def _adapter_count(engine: ingress.IngressEngine, name: str) -> int | None:
    """Returns the number of adapters of a model, or None if there is none."""
    for model in engine.models:
        if model.name == name:
            return model.adapters
    return None
