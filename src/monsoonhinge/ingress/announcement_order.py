"""Which announcements of targets are new; performs no I/O.

Announcements and deregistrations may arrive late, more than once and by way of
several control members.
"""

import dataclasses

from monsoonhinge.protocol import fleet

# After a deregistration, announcements that were sent before it may still
# arrive for this long and are ignored. The control members wait slightly
# longer before they publish a target again, so that a gateway accepts it.
_REREGISTRATION_DELAY_S = 5.0

# Departed targets are remembered while delayed announcements of them may still
# arrive.
_DEPARTURE_RETENTION_S = 60.0

# Incarnation and sequence number of an announcement; higher is newer.
_Version = tuple[int, int]


@dataclasses.dataclass(slots=True)
class _Departure:
    """A target that has deregistered.

    Attributes:
        registration: Its last registration, with the state ``gone``.
        version: Latest announcement that the deregistration covers.
        departed_at: When this gateway learned of it.
    """

    registration: fleet.Registration
    version: _Version
    departed_at: float


class AnnouncementOrder:
    """Latest announcement and deregistration of each target."""

    def __init__(self) -> None:
        self._latest: dict[str, _Version] = {}
        self._departures: dict[str, _Departure] = {}
        self._undone_deregistrations: dict[str, _Version] = {}

    def accepts(self, registration: fleet.Registration, now: float) -> bool:
        """Returns whether an announcement counts, and records it then."""
        name = registration.target
        version = _version(registration)
        latest = self._latest.get(name)
        if latest is not None and version < latest:
            return False
        if not self._accepts_reregistration(name, version, now):
            return False
        self._latest[name] = version
        return True

    def accepts_deregistration(
        self, registration: fleet.Registration, now: float
    ) -> bool:
        """Returns whether a deregistration counts, and records it then.

        A deregistration has no sequence number of its own. The member that
        accepted it may have been partitioned from members with later
        announcements, so that it counts whatever its number is, unless the
        target registered again after this same deregistration.
        """
        name = registration.target
        version = _version(registration)
        latest = self._latest.get(name, version)
        if version[0] < latest[0]:
            return False
        if version <= self._undone_deregistrations.get(name, (-1, -1)):
            return False
        if name in self._departures and version[0] == latest[0]:
            return False
        latest = max(latest, version)
        self._latest[name] = latest
        self._departures[name] = _Departure(
            registration=dataclasses.replace(registration, sequence=latest[1]),
            version=latest,
            departed_at=now,
        )
        return True

    def departed(self) -> list[fleet.Registration]:
        """Returns the last registrations of targets that left recently."""
        return [item.registration for item in self._departures.values()]

    def expire(self, now: float) -> list[str]:
        """Forgets targets that left long ago, and returns their names."""
        expired = [
            name
            for name, departure in self._departures.items()
            if now - departure.departed_at > _DEPARTURE_RETENTION_S
        ]
        for name in expired:
            del self._departures[name]
            self._latest.pop(name, None)
            self._undone_deregistrations.pop(name, None)
        return expired

    def _accepts_reregistration(
        self, name: str, version: _Version, now: float
    ) -> bool:
        """Returns whether an announcement may undo a deregistration."""
        departure = self._departures.get(name)
        if departure is None:
            return True
        if version[0] == departure.version[0] and (
            version <= departure.version
            or now - departure.departed_at < _REREGISTRATION_DELAY_S
        ):
            return False
        del self._departures[name]
        self._undone_deregistrations[name] = departure.version
        return True


def _version(registration: fleet.Registration) -> _Version:
    return registration.incarnation, registration.sequence
