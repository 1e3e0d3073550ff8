"""Demand for models, aggregated over all gateways; performs no I/O."""

from collections.abc import Collection
import dataclasses
import math

from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import decaying_sum

# The waiting requests of a gateway without updates are dropped after this time.
GATEWAY_EXPIRY_S = 3.0

# What a gateway said about past requests is dropped after this time.
_DEPARTED_RETENTION_S = 600.0


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
        arrived: Requests since the start of each gateway.
        served: Recent requests that targets ran, over minutes.
        unserved: Recent requests that ended while they waited for a target.
        bound: Waiting requests by the software version that must serve them.
            They resume streams, and ``waiting`` does not count them.
    """

    waiting: int = 0
    earliest_latency_deadline: float = math.inf
    latest_queue_deadline: float = -math.inf
    priority: int = 9
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    rate: float = 0.0
    adapter_rate: float = 0.0
    arrived: int = 0
    served: float = 0.0
    unserved: float = 0.0
    bound: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def deficit(self) -> float:
        """Requests that the model is behind others; 0 if all were served."""
        return self.unserved / (1.0 + self.served)

    def at_versions(self, software_versions: Collection[str]) -> "Need":
        """Returns the need at engines that run these software versions.

        If they all run the same one, requests that it must serve wait like any
        other.
        """
        if not self.bound or len(software_versions) != 1:
            return self
        (version,) = software_versions
        return dataclasses.replace(
            self, waiting=self.waiting + self.bound.get(version, 0), bound={}
        )


@dataclasses.dataclass(slots=True)
class _Report:
    """The last message of a gateway.

    Attributes:
        message: The message.
        received_at: When it arrived.
        waiting: Its items with waiting requests.
    """

    message: fleet.FleetDemand
    received_at: float
    waiting: list[fleet.ModelNeed] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.waiting = [item for item in self.message.needs if item.waiting]


def _decaying_rate() -> decaying_sum.DecayingSum:
    return decaying_sum.DecayingSum(half_life_s=fleet.ARRIVAL_RATE_HALF_LIFE_S)


@dataclasses.dataclass(slots=True)
class _Totals:
    """Past requests for a model over all gateways.

    Attributes:
        rate: Arrival rate in requests per second.
        adapter_rate: Part of the rate that requires an adapter.
        arrived: Requests since the start of each gateway.
        served_milli: Thousandths of requests that targets ran.
        unserved_milli: Thousandths of requests that ended waiting.
    """

    rate: decaying_sum.DecayingSum = dataclasses.field(
        default_factory=_decaying_rate
    )
    adapter_rate: decaying_sum.DecayingSum = dataclasses.field(
        default_factory=_decaying_rate
    )
    arrived: int = 0
    served_milli: int = 0
    unserved_milli: int = 0

    def need(self, now: float) -> Need:
        """Returns a need without waiting requests."""
        return Need(
            rate=max(0.0, self.rate.current(now)),
            adapter_rate=max(0.0, self.adapter_rate.current(now)),
            arrived=self.arrived,
            served=self.served_milli / 1000,
            unserved=self.unserved_milli / 1000,
        )


class DemandTracker:
    """Aggregates the demand of all gateways.

    Nothing but the messages of the gateways is kept, so that a new holder of
    the fleet lease knows as much as the one before. What a gateway said about
    past requests outlives its connection for a while.
    """

    def __init__(self) -> None:
        self._gateways: dict[str, _Report] = {}
        self._departed: dict[str, _Report] = {}
        self._totals: dict[ModelKey, _Totals] = {}

    def update(self, message: fleet.FleetDemand, now: float) -> None:
        """Replaces the demand of a gateway."""
        previous = self._gateways.pop(message.gateway, None)
        previous = self._departed.pop(message.gateway, previous)
        if previous is not None:
            self._add_totals(previous, -1, now)
        report = _Report(message, now)
        self._gateways[message.gateway] = report
        self._add_totals(report, 1, now)

    def remove_gateway(self, gateway: str) -> None:
        """Drops the waiting requests of a disconnected gateway."""
        report = self._gateways.pop(gateway, None)
        if report is not None:
            self._departed[gateway] = report

    def expire(self, now: float) -> None:
        """Drops the waiting requests of gateways that send no updates."""
        for gateway, report in list(self._gateways.items()):
            if now - report.received_at > GATEWAY_EXPIRY_S:
                self.remove_gateway(gateway)
        for gateway, report in list(self._departed.items()):
            if now - report.received_at > _DEPARTED_RETENTION_S:
                del self._departed[gateway]
                self._add_totals(report, -1, now)

    def needs(self, now: float) -> dict[ModelKey, Need]:
        """Returns the demand for all models requested so far."""
        result = {key: totals.need(now) for key, totals in self._totals.items()}
        for report in self._gateways.values():
            for item in report.waiting:
                key = ModelKey(item.service, item.model)
                _add_waiting(result[key], item, report.received_at)
        return result

    def _add_totals(self, report: "_Report", sign: int, now: float) -> None:
        """Adds what a report says about past requests, or takes it back."""
        decay = 0.5 ** (
            (now - report.received_at) / fleet.ARRIVAL_RATE_HALF_LIFE_S
        )
        for item in report.message.needs:
            key = ModelKey(item.service, item.model)
            totals = self._totals.get(key)
            if totals is None:
                totals = self._totals[key] = _Totals()
            rate = sign * decay * item.rate_per_ks / 1000
            totals.rate.add(rate, now)
            if item.adapter:
                totals.adapter_rate.add(rate, now)
            totals.arrived += sign * item.arrived
            totals.served_milli += sign * item.served_milli
            totals.unserved_milli += sign * item.unserved_milli

    def unreachable_targets(self) -> set[str]:
        """Returns the targets that gateways cannot connect to.

        A target that runs requests of another gateway is not among them: the
        path of one gateway is broken, not the target.
        """
        reachable = {
            use.target
            for report in self._gateways.values()
            for use in report.message.uses
            if use.running and use.target not in report.message.unreachable
        }
        return {
            target
            for report in self._gateways.values()
            for target in report.message.unreachable
            if target not in reachable
        }

    def running_requests(self) -> dict[str, dict[ModelAdapter, int]]:
        """Returns running requests by target, and by model and adapter."""
        result: dict[str, dict[ModelAdapter, int]] = {}
        for report in self._gateways.values():
            for item in report.message.uses:
                uses = result.setdefault(item.target, {})
                use = (item.model, item.adapter)
                uses[use] = uses.get(use, 0) + item.running
        return result


def _add_waiting(need: Need, item: fleet.ModelNeed, received_at: float) -> None:
    """Adds the waiting requests of one gateway to a need."""
    if item.software_version:
        version = item.software_version
        need.bound[version] = need.bound.get(version, 0) + item.waiting
    else:
        need.waiting += item.waiting
    need.priority = min(need.priority, item.priority)
    need.earliest_latency_deadline = min(
        need.earliest_latency_deadline,
        received_at + item.timely_for_ms / 1000,
    )
    need.latest_queue_deadline = max(
        need.latest_queue_deadline, received_at + item.patient_for_ms / 1000
    )
    if item.adapter:
        need.adapters[item.adapter] = (
            need.adapters.get(item.adapter, 0) + item.waiting
        )
