"""Demand for models, aggregated over all gateways; performs no I/O."""

import collections
import dataclasses
import math

from monsoonhinge.protocol import fleet

# The demand of a gateway that sends nothing for this long is dropped.
GATEWAY_EXPIRY_S = 3.0

_RATE_HALF_LIFE_S = 6.0


# Model and adapter; the adapter is "" for the model itself.
ModelAdapter = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelKey:
    """Identifies a model within a service."""

    service: str
    model: str


@dataclasses.dataclass(slots=True)
class Need:
    """Demand for one model over all gateways.

    Attributes:
        waiting: Waiting requests.
        earliest_latency_deadline: Time until which the most urgent waiting
            request can still meet its target latency.
        latest_queue_deadline: Time at which the last of the waiting requests is
            refused.
        priority: Lowest priority number of the waiting requests; 0 is most
            important.
        adapters: Waiting requests by adapter.
        rate: Smoothed arrival rate in requests per second.
        adapter_rate: Part of the rate that requires an adapter.
        arrived: Requests that this member knows of.
    """

    waiting: int = 0
    earliest_latency_deadline: float = math.inf
    latest_queue_deadline: float = -math.inf
    priority: int = 9
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    rate: float = 0.0
    adapter_rate: float = 0.0
    arrived: int = 0


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
    """Aggregates the demand of all gateways.

    Arrival rates are kept when a gateway is removed, so that they decay
    instead of dropping to zero.
    """

    def __init__(self) -> None:
        self._gateways: dict[str, tuple[fleet.FleetDemand, float]] = {}
        self._arrival_counts: dict[tuple[str, ModelKey, str], int] = {}
        self._rates: dict[ModelKey, _SmoothedRate] = {}
        self._adapter_rates: dict[ModelKey, _SmoothedRate] = {}
        self._arrived: collections.Counter[ModelKey] = collections.Counter()

    def update(self, message: fleet.FleetDemand, now: float) -> None:
        """Replaces the demand of a gateway and counts its new arrivals."""
        self._gateways[message.gateway] = (message, now)
        for need in message.needs:
            key = ModelKey(need.service, need.model)
            counter = (message.gateway, key, need.adapter)
            previous = self._arrival_counts.get(counter, 0)
            # The arrival counter starts at zero when a gateway restarts.
            new_arrivals = need.arrived - (
                previous if need.arrived >= previous else 0
            )
            self._arrival_counts[counter] = need.arrived
            self._arrived[key] += new_arrivals
            if new_arrivals > 0:
                self._rates.setdefault(key, _SmoothedRate()).record(
                    new_arrivals, now
                )
            if new_arrivals > 0 and need.adapter:
                self._adapter_rates.setdefault(key, _SmoothedRate()).record(
                    new_arrivals, now
                )

    def remove_gateway(self, gateway: str) -> None:
        """Drops the demand of a disconnected gateway."""
        self._gateways.pop(gateway, None)

    def expire(self, now: float) -> None:
        """Drops the demand of gateways that stopped sending updates."""
        for gateway, (_, last_seen_at) in list(self._gateways.items()):
            if now - last_seen_at > GATEWAY_EXPIRY_S:
                del self._gateways[gateway]

    def needs(self, now: float) -> dict[ModelKey, Need]:
        """Returns the demand for all models requested so far."""
        result = {
            key: Need(rate=rate.current(now), arrived=self._arrived[key])
            for key, rate in self._rates.items()
        }
        for key, rate in self._adapter_rates.items():
            result[key].adapter_rate = rate.current(now)
        for message, last_seen_at in self._gateways.values():
            for item in message.needs:
                if not item.waiting:
                    continue
                key = ModelKey(item.service, item.model)
                need = result.setdefault(key, Need())
                need.waiting += item.waiting
                need.priority = min(need.priority, item.priority)
                need.earliest_latency_deadline = min(
                    need.earliest_latency_deadline,
                    last_seen_at + item.timely_for_ms / 1000,
                )
                need.latest_queue_deadline = max(
                    need.latest_queue_deadline,
                    last_seen_at + item.patient_for_ms / 1000,
                )
                if item.adapter:
                    need.adapters[item.adapter] = (
                        need.adapters.get(item.adapter, 0) + item.waiting
                    )
        return result

    def unreachable_targets(self) -> set[str]:
        """Returns the targets that gateways cannot connect to.

        A target that runs requests of another gateway is not among them: the
        path of one gateway is broken, not the target.
        """
        reachable = {
            use.target
            for message, _ in self._gateways.values()
            for use in message.uses
            if use.running and use.target not in message.unreachable
        }
        return {
            target
            for message, _ in self._gateways.values()
            for target in message.unreachable
            if target not in reachable
        }

    def running_requests(self) -> dict[str, dict[ModelAdapter, int]]:
        """Returns running requests by target, and by model and adapter."""
        result: dict[str, dict[ModelAdapter, int]] = {}
        for message, _ in self._gateways.values():
            for item in message.uses:
                uses = result.setdefault(item.target, {})
                use = (item.model, item.adapter)
                uses[use] = uses.get(use, 0) + item.running
        return result
