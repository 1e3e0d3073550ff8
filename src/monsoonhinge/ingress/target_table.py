"""State of the targets as known to this gateway.

It combines what the control members publish with what the gateway observes in
its own requests.
"""

import dataclasses

from monsoonhinge.ingress import announcement_order
from monsoonhinge.ingress import rate_limit_state
from monsoonhinge.protocol import fleet
from monsoonhinge.targets import software_versions

READY = "ready"
SILENT = "silent"
GONE = "gone"
LOADED = "loaded"

# Delay until a target that did not have a model is considered for it again.
MISSING_RECHECK_S = 0.08

# Delay until a target to which a connection failed is used again.
_RECONNECT_DELAY_S = 1.0

# The same for a target that has also stopped announcing itself, and is
# probably gone.
_SILENT_RECONNECT_DELAY_S = 10.0

# Interval at which the software versions in use are observed. It is short
# beside the life of a stream.
_OBSERVATION_INTERVAL_S = 0.25

# Weight of the latest response in the moving average of a target's latency.
_LATENCY_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a target.

    Attributes:
        registration: Latest registration.
        models: Loaded adapters by loaded model, as published by the fleet
            lease holder.
        ready_at: Expected time at which each loading model is ready, in
            seconds of the event loop.
        running_all_gateways: Running requests of all gateways, as last
            published.
        running: Running requests of this gateway by model and adapter.
        response_latency_s: Moving average of the time until response headers
            arrive; 0 without a response so far.
        missing_until: Time until which a model and adapter are assumed not to
            be loaded, after the target refused a request for them.
        unreachable_until: Time until which the target is assumed to be down,
            after a connection to it failed.
        rate_limit: Rate limit that it named, or None.
        retry_at: Time before which it asked to get no requests.
    """

    registration: fleet.Registration
    models: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    ready_at: dict[str, float] = dataclasses.field(default_factory=dict)
    running_all_gateways: int = 0
    running: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    response_latency_s: float = 0.0
    missing_until: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    unreachable_until: float = 0.0
    rate_limit: rate_limit_state.RateLimit | None = None
    retry_at: float = 0.0

    @property
    def name(self) -> str:
        """Target id; a later incarnation may have the same one."""
        return self.registration.target

    def running_count(self) -> int:
        """Returns the number of running requests of this gateway."""
        return sum(self.running.values())

    def record_latency(self, seconds: float) -> None:
        """Updates the moving average with the latency of a response."""
        if self.response_latency_s:
            seconds = self.response_latency_s + _LATENCY_WEIGHT * (
                seconds - self.response_latency_s
            )
        self.response_latency_s = seconds

    def mark_model_missing(self, model: str, adapter: str, now: float) -> None:
        """Records that the target refused a request for a model or adapter."""
        self.missing_until[model, adapter] = now + MISSING_RECHECK_S

    def record_connect_failure(self, now: float) -> None:
        """Records that a connection to the target could not be established."""
        silent = self.registration.state == SILENT
        self.unreachable_until = now + (
            _SILENT_RECONNECT_DELAY_S if silent else _RECONNECT_DELAY_S
        )

    @property
    def accepts_requests_at(self) -> float:
        """Time from which it, and its rate limit, permit a request."""
        if self.rate_limit is None:
            return self.retry_at
        return max(self.retry_at, self.rate_limit.closed_until)

    def holds(self, model: str, adapter: str) -> bool:
        """Returns whether a model and adapter are loaded."""
        adapters = self.models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    def serves(self, model: str, adapter: str, now: float) -> bool:
        """Returns whether the target can serve a model and adapter now."""
        if not self.holds(model, adapter) or now < self.unreachable_until:
            return False
        return now >= self.missing_until.get((model, adapter), 0.0)


class TargetTable:
    """Registrations and placements of all targets.

    Attributes:
        by_name: Targets that are registered and have not deregistered, by id.
        fencing: Fencing token of the latest placements.
    """

    def __init__(self, *, known_since: float = 0.0) -> None:
        """Creates a table without targets.

        Args:
            known_since: Time of its creation.
        """
        self.by_name: dict[str, Target] = {}
        self.fencing = 0
        self._order = announcement_order.AnnouncementOrder()
        self._versions = software_versions.SoftwareVersions(
            known_since=known_since
        )
        self._observed_at = float("-inf")
        self._placements: dict[str, fleet.Placement] = {}

    def register(self, registration: fleet.Registration, now: float) -> bool:
        """Applies a registration; returns whether it changed anything."""
        name = registration.target
        if registration.state == GONE:
            self._expire_departures(now)
            if not self._order.accepts_deregistration(registration, now):
                return False
            self.by_name.pop(name, None)
            return True
        if not self._order.accepts(registration, now):
            return False
        target = self.by_name.get(name)
        if (
            target is not None
            and target.registration.incarnation == registration.incarnation
        ):
            if target.registration.state == SILENT:
                target.unreachable_until = 0.0
            if target.registration.leaving:
                registration = dataclasses.replace(registration, leaving=True)
            target.registration = registration
        else:
            self._remove_predecessors(registration)
            target = self.by_name[name] = Target(registration)
        self._observe_version(registration, now)
        placement = self._placements.get(name)
        if (
            placement is None
            or placement.incarnation != registration.incarnation
        ):
            target.models = {
                model.name: set(model.adapters) for model in registration.models
            }
        else:
            self._update_models(target, placement, None)
        return True

    def record_leaving(self, target: Target) -> bool:
        """Records that a target says that it leaves; returns whether new.

        It gets no new requests for the rest of its incarnation.
        """
        if target.registration.leaving:
            return False
        target.registration = dataclasses.replace(
            target.registration, leaving=True
        )
        return True

    def departures(self, now: float) -> list[fleet.Registration]:
        """Returns the targets that are leaving, or have left recently.

        A control member that was restarted may not know them.
        """
        self._expire_departures(now)
        leaving = [
            target.registration
            for target in self.by_name.values()
            if target.registration.leaving
        ]
        return leaving + self._order.departed()

    def incarnation_and_state(self, name: str) -> tuple[int, str]:
        """Returns incarnation and state of a target; (0, "") if unknown."""
        target = self.by_name.get(name)
        if target is None:
            return 0, ""
        return target.registration.incarnation, target.registration.state

    def apply_placements(self, message: fleet.Placements, now: float) -> bool:
        """Applies placements; returns False if their fencing token is old."""
        if message.fencing < self.fencing:
            return False
        if message.fencing > self.fencing:
            self.fencing = message.fencing
            self._placements.clear()
        for placement in message.placements:
            self._placements[placement.target] = placement
            target = self.by_name.get(placement.target)
            if (
                target is not None
                and target.registration.incarnation == placement.incarnation
            ):
                self._update_models(target, placement, now)
        return True

    def unreachable_targets(self, now: float) -> list[str]:
        """Returns the targets to which a connection failed recently."""
        return [
            name
            for name, target in self.by_name.items()
            if now < target.unreachable_until
        ]

    def available_targets(
        self, service: str, software_version: str | None = None
    ) -> list[Target]:
        """Returns the targets of a service that accept new requests.

        Args:
            service: The service.
            software_version: Version that they run, or None for any.
        """
        return [
            target
            for target in self.by_name.values()
            if target.registration.service == service
            and target.registration.state in (READY, SILENT)
            and not target.registration.leaving
            and software_version in (None, target.registration.software_version)
        ]

    def runs_other_version_now(self, target: Target) -> bool:
        """Returns whether a target has restarted as another software version.

        Args:
            target: The incarnation that a request was sent to.
        """
        latest = self.by_name.get(target.name, target)
        return (
            latest.registration.software_version
            != target.registration.software_version
        )

    def sole_version(
        self, service: str, now: float
    ) -> software_versions.SoleVersion | None:
        """Returns the only software version of a service, as far as known."""
        self._observe_versions(now)
        return self._versions.sole_version(service, now)

    def runs_other_versions(
        self,
        service: str,
        software_version: str,
        *,
        within_s: float,
        now: float,
    ) -> bool:
        """Returns whether targets of a service have run another version.

        Args:
            service: The service.
            software_version: The version that does not count.
            within_s: Seconds before now that are considered.
            now: Current time.
        """
        self._observe_versions(now)
        return self._versions.others_since(
            service, software_version, now - within_s
        )

    def earliest_ready_at(
        self,
        *,
        service: str,
        model: str,
        adapter: str,
        software_version: str | None = None,
    ) -> float | None:
        """Returns when a loading model is expected to be ready, or None.

        A target that has the model but not the adapter counts as ready now,
        since the load of an adapter takes almost no time.
        """
        times = []
        for target in self.available_targets(service, software_version):
            if model in target.ready_at:
                times.append(target.ready_at[model])
            elif adapter and model in target.models:
                times.append(0.0)
        return min(times, default=None)

    def _expire_departures(self, now: float) -> None:
        """Forgets targets that left so long ago that nothing names them."""
        for name in self._order.expire(now):
            self._placements.pop(name, None)

    def _update_models(
        self, target: Target, placement: fleet.Placement, now: float | None
    ) -> None:
        target.running_all_gateways = placement.running
        target.models = {
            model.name: set(model.adapters)
            for model in placement.models
            if model.state == LOADED
        }
        if now is not None:
            target.ready_at = {
                model.name: now + model.ready_in_ms / 1000
                for model in placement.models
                if model.state == "loading"
            }

    def _observe_versions(self, now: float) -> None:
        if now - self._observed_at < _OBSERVATION_INTERVAL_S:
            return
        self._observed_at = now
        for target in self.by_name.values():
            self._observe_version(target.registration, now)

    def _observe_version(
        self, registration: fleet.Registration, now: float
    ) -> None:
        self._versions.observe(
            registration.service, registration.software_version, now
        )

    def _remove_predecessors(self, registration: fleet.Registration) -> None:
        for name, other in list(self.by_name.items()):
            if (
                other.registration.address == registration.address
                and other.registration.incarnation < registration.incarnation
            ):
                del self.by_name[name]
