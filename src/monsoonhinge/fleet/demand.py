"""What the requests of all gateways need, without input or output."""

import dataclasses
import math

from monsoonhinge.protocol import fleet

# A gateway that sends nothing for this long has no requests any more.
_GATEWAY_TIMEOUT_S = 3.0

_RATE_HALF_LIFE_S = 6.0


# A model and an adapter of it, or "".
ModelAdapter = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelKey:
    """A model of a service."""

    service: str
    model: str


@dataclasses.dataclass(slots=True)
class Need:
    """What waits for one model over all gateways.

    Attributes:
        waiting: Requests that wait.
        timely_until: Until when the most urgent one can be answered in time.
        patient_until: Until when the most patient one waits.
        priority: Lowest rank number of the waiting requests.
        adapters: Waiting requests by adapter.
        rate: Requests per second, smoothed.
        adapter_rate: The part of them that needs an adapter.
    """

    waiting: int = 0
    earliest_deadline: float = math.inf
    latest_queue_deadline: float = -math.inf
    priority: int = 9
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    rate: float = 0.0
    adapter_rate: float = 0.0


@dataclasses.dataclass(slots=True)
class _SmoothedRate:
    value: float = 0.0
    updated_at: float = 0.0

    def record(self, count: int, now: float) -> None:
        self.value = self.current(now) + count * (
            math.log(2) / _RATE_HALF_LIFE_S
        )
        self.updated_at = now

    def current(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.value * float(0.5 ** (elapsed / _RATE_HALF_LIFE_S))


class DemandTracker:
    """Demand of all gateways."""

    def __init__(self) -> None:
        self._gateways: dict[str, tuple[fleet.FleetDemand, float]] = {}
        self._arrival_counts: dict[tuple[str, ModelKey, str], int] = {}
        self._rates: dict[ModelKey, _SmoothedRate] = {}
        self._adapter_rates: dict[ModelKey, _SmoothedRate] = {}

    def update(self, message: fleet.FleetDemand, now: float) -> None:
        """Takes everything that a gateway needs now."""
        self._gateways[message.gateway] = (message, now)
        for need in message.needs:
            key = ModelKey(need.service, need.model)
            counter = (message.gateway, key, need.adapter)
            previous = self._arrival_counts.get(counter, 0)
            # A restarted gateway counts from zero again.
            new_arrivals = need.arrived - (
                previous if need.arrived >= previous else 0
            )
            self._arrival_counts[counter] = need.arrived
            if new_arrivals > 0:
                self._rates.setdefault(key, _SmoothedRate()).record(
                    new_arrivals, now
                )
            if new_arrivals > 0 and need.adapter:
                self._adapter_rates.setdefault(key, _SmoothedRate()).record(
                    new_arrivals, now
                )

    def remove_gateway(self, gateway: str) -> None:
        """Drops the demand of a gateway that has disconnected."""
        self._gateways.pop(gateway, None)

    def expire(self, now: float) -> None:
        """Drops the demand of gateways that fell silent."""
        for gateway, (_, received_at) in list(self._gateways.items()):
            if now - received_at > _GATEWAY_TIMEOUT_S:
                del self._gateways[gateway]

    def needs(self, now: float) -> dict[ModelKey, Need]:
        """Returns the needs of all models that are or were asked for."""
        result = {
            key: Need(rate=rate.current(now))
            for key, rate in self._rates.items()
        }
        for key, rate in self._adapter_rates.items():
            result[key].adapter_rate = rate.current(now)
        for message, received_at in self._gateways.values():
            for item in message.needs:
                if not item.waiting:
                    continue
                key = ModelKey(item.service, item.model)
                need = result.setdefault(key, Need())
                need.waiting += item.waiting
                need.priority = min(need.priority, item.priority)
                need.earliest_deadline = min(
                    need.earliest_deadline,
                    received_at + item.timely_for_ms / 1000,
                )
                need.latest_queue_deadline = max(
                    need.latest_queue_deadline,
                    received_at + item.patient_for_ms / 1000,
                )
                if item.adapter:
                    need.adapters[item.adapter] = (
                        need.adapters.get(item.adapter, 0) + item.waiting
                    )
        return result

    def unreachable_targets(self) -> set[str]:
        """Returns the targets that some gateway could not reach lately."""
        return {
            target
            for message, _ in self._gateways.values()
            for target in message.unreachable
        }

    def running_requests(self) -> dict[str, dict[ModelAdapter, int]]:
        """Returns the running requests by target, model and adapter."""
        result: dict[str, dict[ModelAdapter, int]] = {}
        for message, _ in self._gateways.values():
            for item in message.uses:
                uses = result.setdefault(item.target, {})
                use = (item.model, item.adapter)
                uses[use] = uses.get(use, 0) + item.running
        return result
