"""Choice of the target for a request; performs no I/O."""

from collections.abc import Collection
import dataclasses
import hashlib

from monsoonhinge.gateway import retry
from monsoonhinge.ingress import target_table

# Costs in the unit of one request that runs at a target.
_OTHER_ZONE_COST = 0.6
_SILENT_COST = 1_000.0
_SESSION_COST = 3.0

# A target whose response latency exceeds that of the fastest by this factor
# is charged the cost below.
_SLOW_FACTOR = 2.0
_SLOW_COST = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a target.

    Attributes:
        service: Service that the target serves.
        model: Model that must be loaded, or "".
        adapter: Adapter that must be loaded, or "".
        session: Id of the last prompt part, or ""; requests with the same
            one prefer the same target.
        software_version: Version of the software that began the stream, or
            None if any will do.
    """

    service: str
    model: str = ""
    adapter: str = ""
    session: str = ""
    software_version: str | None = None


class LoadBalancer:
    """Chooses targets by load, availability zone and recent failures.

    Attributes:
        targets: Known targets.
        ejections: Targets that are avoided after recent failures.
        availability_zone: Zone of this gateway.
    """

    def __init__(
        self, *, targets: target_table.TargetTable, availability_zone: str
    ) -> None:
        self.targets = targets
        self.ejections = retry.Ejections()
        self.availability_zone = availability_zone

    def choose(
        self,
        requirements: Requirements,
        *,
        avoided_targets: Collection[str],
        now: float,
    ) -> target_table.Target | None:
        """Returns the target with the lowest cost, or None if there is none."""
        eligible = self.eligible(requirements, now)
        preferred = [
            target for target in eligible if target.name not in avoided_targets
        ]
        candidates = preferred or eligible
        if not candidates:
            return None
        excluded = self.ejections.excluded([t.name for t in candidates], now)
        candidates = [
            t for t in candidates if t.name not in excluded
        ] or candidates
        fastest = min(
            (t.response_latency_s for t in candidates if t.response_latency_s),
            default=0.0,
        )
        return min(
            candidates,
            key=lambda target: self._cost(target, requirements, fastest),
        )

    def eligible(
        self, requirements: Requirements, now: float
    ) -> list[target_table.Target]:
        """Returns the targets that can serve the request now."""
        available = [
            target
            for target in self._available(requirements)
            if now >= target.accepts_requests_at
        ]
        if not requirements.model:
            return available
        return [
            target
            for target in available
            if target.serves(requirements.model, requirements.adapter, now)
        ]

    def opens_at(self, requirements: Requirements) -> float | None:
        """Returns when the first target that holds the model takes requests.

        Returns:
            Time of the event loop, which may have passed; None if no target
            holds the model.
        """
        times = [
            target.accepts_requests_at
            for target in self._available(requirements)
            if not requirements.model
            or target.holds(requirements.model, requirements.adapter)
        ]
        return min(times, default=None)

    def _available(
        self, requirements: Requirements
    ) -> list[target_table.Target]:
        return self.targets.available_targets(
            requirements.service, requirements.software_version
        )

    def _cost(
        self,
        target: target_table.Target,
        requirements: Requirements,
        fastest: float,
    ) -> tuple[float, str]:
        cost = float(target.running_count())
        if requirements.model:
            cost = max(cost, float(target.running_all_gateways))
        if target.registration.availability_zone != self.availability_zone:
            cost += _OTHER_ZONE_COST
        if target.registration.state == target_table.SILENT:
            cost += _SILENT_COST
        if fastest and target.response_latency_s > _SLOW_FACTOR * fastest:
            cost += _SLOW_COST
        if requirements.session:
            cost += _SESSION_COST * _session_hash(
                requirements.session, target.name
            )
        return cost, target.name


def _session_hash(session: str, target: str) -> float:
    """Returns a hash in [0, 1) that is the same at every gateway."""
    digest = hashlib.blake2b(
        f"{session}/{target}".encode(), digest_size=4
    ).digest()
    return int.from_bytes(digest, "big") / 2**32
