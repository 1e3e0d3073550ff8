"""Waiting and running requests of all gateways."""

import dataclasses
import math

from monsoonhinge.protocol import messages

# The demand of a gateway is dropped this long after its last report.
GATEWAY_EXPIRY_S = 3.0

DemandKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Need:
    """Requests of all gateways for one model and adapter.

    Attributes:
        waiting: Requests waiting at gateways.
        running: Requests running at targets.
        earliest_deadline: Earliest deadline of a waiting request, in seconds.
        team: Team of the request with that deadline; any team if no request
            is waiting.
    """

    waiting: int = 0
    running: int = 0
    earliest_deadline: float = math.inf
    team: str = ""


@dataclasses.dataclass(slots=True)
class _ItemDemand:
    waiting: int
    running: int
    earliest_deadline: float


@dataclasses.dataclass(slots=True)
class _GatewayDemand:
    last_seen_at: float = 0.0
    items: dict[tuple[str, str, str], _ItemDemand] = dataclasses.field(
        default_factory=dict
    )


class DemandTracker:
    """Latest demand of each gateway."""

    def __init__(self) -> None:
        self._gateways: dict[str, _GatewayDemand] = {}

    def update(self, message: messages.Demand, now: float) -> None:
        """Processes a report; its deadlines are relative to ``now``."""
        gateway = self._gateways.setdefault(message.gateway, _GatewayDemand())
        gateway.last_seen_at = now
        if message.full:
            gateway.items = {}
        for item in message.items:
            key = (item.model, item.adapter, item.team)
            if not item.waiting and not item.running:
                gateway.items.pop(key, None)
                continue
            earliest_deadline = (
                now + item.earliest_deadline_ms / 1000
                if item.waiting
                else math.inf
            )
            gateway.items[key] = _ItemDemand(
                item.waiting, item.running, earliest_deadline
            )

    def remove_gateway(self, gateway: str) -> None:
        """Drops the demand of a gateway that has disconnected."""
        self._gateways.pop(gateway, None)

    def expire(self, now: float) -> None:
        """Drops the demand of gateways whose last report has expired."""
        for name, gateway in list(self._gateways.items()):
            if now - gateway.last_seen_at > GATEWAY_EXPIRY_S:
                del self._gateways[name]

    def needs(self) -> dict[DemandKey, Need]:
        """Returns the demand per model and adapter over all gateways."""
        result: dict[DemandKey, Need] = {}
        for gateway in self._gateways.values():
            for (model, adapter, team), item in gateway.items.items():
                need = result.setdefault((model, adapter), Need(team=team))
                need.waiting += item.waiting
                need.running += item.running
                if item.earliest_deadline < need.earliest_deadline:
                    need.earliest_deadline = item.earliest_deadline
                    need.team = team
        return result

    def waiting_at(self, gateway: str) -> set[DemandKey]:
        """Returns models and adapters with requests waiting at a gateway."""
        known = self._gateways.get(gateway)
        if known is None:
            return set()
        return {
            (model, adapter)
            for (model, adapter, _), item in known.items.items()
            if item.waiting
        }
