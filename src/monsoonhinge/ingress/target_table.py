"""Targets as the control members and this gateway see them."""

import dataclasses

from monsoonhinge.protocol import fleet

READY = "ready"
SILENT = "silent"
GONE = "gone"
LOADED = "loaded"

# A target that denied holding a model is not asked for it for this long.
MISSING_RECHECK_S = 0.08

# A target that could not be reached is tried again after this time.
RECONNECT_DELAY_S = 1.0

# Placements of a member that is not heard any more are used for this long.
_PLACEMENT_EXPIRY_S = 6.0

# Announcements of a target that departed may still arrive for this long. The
# control members wait a little longer, so that what they publish is taken.
_REREGISTRATION_DELAY_S = 5.0

# Weight of the latest answer in the smoothed time of a target.
_LATENCY_WEIGHT = 0.2

# Incarnation and sequence number of an announcement.
_AnnouncementVersion = tuple[int, int]


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a target.

    Attributes:
        registration: What it last announced.
        models: Adapters by model that serves, as the placing member says.
        ready_at: When loading models are expected to serve.
        running_elsewhere: Requests of all gateways that run there, as last
            published.
        running: Requests of this gateway by model and adapter.
        answer_s: Smoothed time until its answers begin.
        denied: Until when models are taken as absent.
        unreachable_until: Until when the target is taken as down, after a
            connection to it failed.
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

    @property
    def name(self) -> str:
        """Id of the target."""
        return self.registration.target

    def running_count(self) -> int:
        """Returns the requests of this gateway that run there."""
        return sum(self.running.values())

    def record_latency(self, seconds: float) -> None:
        """Takes the time until an answer began."""
        if self.response_latency_s:
            seconds = self.response_latency_s + _LATENCY_WEIGHT * (
                seconds - self.response_latency_s
            )
        self.response_latency_s = seconds

    def mark_model_missing(self, model: str, adapter: str, now: float) -> None:
        """Notes that the target does not hold a model or adapter yet."""
        self.missing_until[model, adapter] = now + MISSING_RECHECK_S

    def serves(self, model: str, adapter: str, now: float) -> bool:
        """Returns whether the target serves a model and adapter now."""
        adapters = self.models.get(model)
        if adapters is None or (adapter and adapter not in adapters):
            return False
        if now < self.unreachable_until:
            return False
        return now >= self.missing_until.get((model, adapter), 0.0)


class TargetTable:
    """All targets by id.

    Attributes:
        by_name: Targets that were announced and have not departed.
        fencing: Fencing number of the latest placements.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Target] = {}
        self.fencing = 0
        self._latest_versions: dict[str, _AnnouncementVersion] = {}
        self._deregistered: dict[str, tuple[_AnnouncementVersion, float]] = {}
        self._undone_deregistrations: dict[str, _AnnouncementVersion] = {}
        self._placements: dict[str, fleet.Placement] = {}

    def register(self, registration: fleet.Registration, now: float) -> bool:
        """Takes a registration; returns whether it was news."""
        name = registration.target
        version = (registration.incarnation, registration.sequence)
        latest = self._latest_versions.get(name)
        if registration.state == GONE:
            return self._apply_deregistration(name, version, now)
        if latest is not None and version < latest:
            return False
        if not self._accepts_reregistration(name, version, now):
            return False
        target = self.by_name.get(name)
        self._latest_versions[name] = version
        if (
            target is not None
            and target.registration.incarnation == registration.incarnation
        ):
            target.registration = registration
        else:
            self._remove_predecessors(registration)
            target = self.by_name[name] = Target(registration)
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

    def incarnation_and_state(self, name: str) -> tuple[int, str]:
        """Returns incarnation and state of a target, (0, "") if unknown."""
        target = self.by_name.get(name)
        if target is None:
            return 0, ""
        return target.registration.incarnation, target.registration.state

    def apply_placements(self, message: fleet.Placements, now: float) -> bool:
        """Takes placements; returns whether they are of the latest member."""
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
        """Returns the targets to which connections failed lately."""
        return [
            name
            for name, target in self.by_name.items()
            if now < target.unreachable_until
        ]

    def available_targets(self, service: str) -> list[Target]:
        """Returns the targets of a service that take new work."""
        return [
            target
            for target in self.by_name.values()
            if target.registration.service == service
            and target.registration.state in (READY, SILENT)
        ]

    def earliest_ready_at(
        self, *, service: str, model: str, adapter: str
    ) -> float | None:
        """Returns when a model that is loading should serve, or None.

        A target that holds the model but not yet the adapter counts as well:
        adapters load at once.
        """
        times = []
        for target in self.available_targets(service):
            if model in target.ready_at:
                times.append(target.ready_at[model])
            elif adapter and model in target.models:
                times.append(0.0)
        return min(times, default=None)

    def _apply_deregistration(
        self, name: str, version: _AnnouncementVersion, now: float
    ) -> bool:
        """Takes a departure; returns whether the target was there.

        A departure has no sequence number of its own. The member that takes
        it may have been cut off from one that heard later announcements, so
        that it counts whatever its number is, unless the target came back
        after just that departure.
        """
        latest = self._latest_versions.get(name, version)
        if version[0] < latest[0]:
            return False
        if version <= self._undone_deregistrations.get(name, (-1, -1)):
            return False
        if name in self._deregistered and version[0] == latest[0]:
            return False
        self._latest_versions[name] = max(latest, version)
        self._deregistered[name] = (self._latest_versions[name], now)
        self.by_name.pop(name, None)
        return True

    def _accepts_reregistration(
        self, name: str, version: _AnnouncementVersion, now: float
    ) -> bool:
        """Returns whether an announcement may undo a departure."""
        if name not in self._deregistered:
            return True
        deregistered_version, deregistered_at = self._deregistered[name]
        if version[0] == deregistered_version[0] and (
            version <= deregistered_version
            or now - deregistered_at < _REREGISTRATION_DELAY_S
        ):
            return False
        del self._deregistered[name]
        self._undone_deregistrations[name] = deregistered_version
        return True

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

    def _remove_predecessors(self, registration: fleet.Registration) -> None:
        for name, other in list(self.by_name.items()):
            if (
                other.registration.address == registration.address
                and other.registration.incarnation < registration.incarnation
            ):
                del self.by_name[name]
