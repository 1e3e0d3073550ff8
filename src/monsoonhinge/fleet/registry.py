"""Registry of targets, built from their announcements; performs no I/O.

Announcements may be delayed, repeated or from an earlier incarnation of a
target. The latest incarnation at an address and the latest announcement of an
incarnation take precedence.
"""

import dataclasses

from monsoonhinge.protocol import fleet
from monsoonhinge.targets import software_versions

READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"

# An announcement this long after a deregistration reinstates the target: the
# deregistration was a delayed one, from an earlier start under the same id.
_REINSTATE_AFTER_S = 6.0

# Deregistered and silent targets are kept while delayed announcements of them
# may still arrive.
_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class Entry:
    """Registration of one target, with the times of its updates.

    Attributes:
        registration: Latest registration.
        announced_at: Time of the last announcement to this member; None if
            another member has published a later one.
        changed_at: Time of the last change that was published.
        superseded_deregistration: Sequence number of the latest deregistration
            of this incarnation that a later announcement has superseded; -1 if
            there is none.
    """

    registration: fleet.Registration
    announced_at: float | None
    changed_at: float
    superseded_deregistration: int = -1


class Registry:
    """Registrations by target id.

    Attributes:
        entries: All known targets, including deregistered ones.
        silent_after_s: Time without an announcement after which a target
            counts as silent.
        versions: Software versions that targets run or have run.
    """

    def __init__(
        self, *, silent_after_s: float, known_since: float = 0.0
    ) -> None:
        """Creates a registry without targets.

        Args:
            silent_after_s: See the attribute.
            known_since: Time of its creation.
        """
        self.entries: dict[str, Entry] = {}
        self.silent_after_s = silent_after_s
        self.versions = software_versions.SoftwareVersions(
            known_since=known_since
        )

    def record_announcement(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration]:
        """Records an announcement that a target sent to this member.

        Returns:
            Registrations that changed and have to be published.
        """
        entry = self.entries.get(registration.target)
        announced_elsewhere = entry is None or entry.announced_at is None
        changed = self._apply(registration, now)
        if changed is None:
            return []
        self.entries[registration.target].announced_at = now
        # Published even without a change, so that the member to which the
        # target announced itself before stops checking it for silence.
        if announced_elsewhere and not changed:
            changed = [registration]
        return changed

    def merge(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration]:
        """Merges a registration that another member published.

        Returns:
            Registrations that changed.
        """
        entry = self.entries.get(registration.target)
        if (
            entry is not None
            and registration.state == SILENT
            and _version(registration) < _version(entry.registration)
        ):
            return []
        changed = self._apply(registration, now)
        if changed is None:
            return self._merge_leaving(registration, now)
        self.entries[registration.target].announced_at = None
        return changed

    def record_leaving(
        self, target: str, now: float
    ) -> list[fleet.Registration]:
        """Records that a target said in a response that it is leaving.

        Returns:
            The changed registration, or none if it was known.
        """
        entry = self.entries.get(target)
        if entry is None or entry.registration.leaving:
            return []
        return [self._set_leaving(entry, now)]

    def deregister(self, target: str, now: float) -> list[fleet.Registration]:
        """Records a deregistration; returns the changed registrations."""
        entry = self.entries.get(target)
        if entry is None or entry.registration.state == GONE:
            return []
        return [self._set_state(entry, GONE, now)]

    def expire(self, now: float) -> list[fleet.Registration]:
        """Marks targets without recent announcements as silent.

        A draining target without announcements has left, and so has one that
        was silent for the retention time. Targets that left are dropped after
        that time.

        Returns:
            Registrations that changed.
        """
        changed = []
        for target, entry in list(self.entries.items()):
            state = entry.registration.state
            if state != GONE:
                self._observe_version(entry.registration, now)
            retained = now - entry.changed_at <= _RETENTION_S
            if state == GONE and not retained:
                del self.entries[target]
            elif state == SILENT and not retained:
                changed.append(self._set_state(entry, GONE, now))
            elif state in (GONE, SILENT):
                continue
            elif (
                entry.announced_at is not None
                and now - entry.announced_at > self.silent_after_s
            ):
                was_leaving = state == DRAINING or entry.registration.leaving
                left = GONE if was_leaving else SILENT
                changed.append(self._set_state(entry, left, now))
        return changed

    def is_silent(self, target: str, incarnation: int) -> bool:
        """Returns whether an incarnation of a target is silent, not leaving."""
        entry = self.entries.get(target)
        return (
            entry is not None
            and entry.registration.incarnation == incarnation
            and entry.registration.state == SILENT
            and not entry.registration.leaving
        )

    def ready_registrations(self) -> list[fleet.Registration]:
        """Returns the registrations of targets that accept new work."""
        return [
            entry.registration
            for entry in self.entries.values()
            if entry.registration.state == READY
            and not entry.registration.leaving
        ]

    def _apply(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration] | None:
        """Stores a registration unless it is outdated.

        Other targets at its address are marked as gone.

        Returns:
            Registrations that changed, or None if this one is outdated.
        """
        entry = self.entries.get(registration.target)
        if entry is not None and self._is_outdated(registration, entry, now):
            return None
        superseded_deregistration = -1
        if entry is not None and _same_incarnation(
            registration, entry.registration
        ):
            registration, superseded_deregistration = _resolve_deregistration(
                registration, entry
            )
            if entry.registration.leaving:
                registration = dataclasses.replace(registration, leaving=True)
        changed = []
        for other in list(self.entries.values()):
            known = other.registration
            if (
                known.address != registration.address
                or known.target == registration.target
                or known.state == GONE
            ):
                continue
            if known.incarnation > registration.incarnation:
                return None
            changed.append(self._set_state(other, GONE, now))
        if entry is None or _comparable(entry.registration) != _comparable(
            registration
        ):
            changed.append(registration)
        announced_at = None if entry is None else entry.announced_at
        changed_at = now if changed or entry is None else entry.changed_at
        self.entries[registration.target] = Entry(
            registration, announced_at, changed_at, superseded_deregistration
        )
        self._observe_version(registration, now)
        return changed

    def _observe_version(
        self, registration: fleet.Registration, now: float
    ) -> None:
        self.versions.observe(
            registration.service, registration.software_version, now
        )

    def _is_outdated(
        self, registration: fleet.Registration, entry: Entry, now: float
    ) -> bool:
        known = entry.registration
        if registration.incarnation != known.incarnation:
            return registration.incarnation < known.incarnation
        if registration.state == GONE:
            # A deregistration has no sequence number of its own, and the member
            # that received it may have missed the latest announcements.
            return registration.sequence <= entry.superseded_deregistration
        if known.state == GONE:
            return (
                now - entry.changed_at < _REINSTATE_AFTER_S
                or registration.sequence <= known.sequence
            )
        if registration.state == SILENT:
            return registration.sequence < known.sequence
        return registration.sequence <= known.sequence

    def _merge_leaving(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration]:
        """Takes from an outdated registration that its target is leaving."""
        entry = self.entries.get(registration.target)
        if (
            entry is None
            or not registration.leaving
            or entry.registration.leaving
            or not _same_incarnation(registration, entry.registration)
        ):
            return []
        return [self._set_leaving(entry, now)]

    def _set_leaving(self, entry: Entry, now: float) -> fleet.Registration:
        entry.registration = dataclasses.replace(
            entry.registration, leaving=True
        )
        entry.changed_at = now
        return entry.registration

    def _set_state(
        self, entry: Entry, state: str, now: float
    ) -> fleet.Registration:
        entry.registration = dataclasses.replace(
            entry.registration, state=state
        )
        entry.changed_at = now
        return entry.registration


def _same_incarnation(
    one: fleet.Registration, other: fleet.Registration
) -> bool:
    return one.incarnation == other.incarnation


def _resolve_deregistration(
    registration: fleet.Registration, entry: Entry
) -> tuple[fleet.Registration, int]:
    """Applies the precedence of deregistrations within an incarnation.

    A deregistration takes the highest sequence number received so far, so that
    only later announcements supersede it.

    Returns:
        The registration to store, and the sequence number of the superseded
        deregistration or -1.
    """
    known = entry.registration
    if registration.state == GONE:
        sequence = max(registration.sequence, known.sequence)
        deregistered = dataclasses.replace(registration, sequence=sequence)
        return deregistered, entry.superseded_deregistration
    if known.state == GONE:
        return registration, known.sequence
    return registration, entry.superseded_deregistration


def _version(registration: fleet.Registration) -> tuple[int, int]:
    return registration.incarnation, registration.sequence


def _comparable(registration: fleet.Registration) -> fleet.Registration:
    """Returns a copy that differs only if subscribers need an update."""
    return dataclasses.replace(
        registration,
        sequence=0,
        slow_for_ms=int(registration.slow_for_ms > 0),
        remaining_ms=int(registration.remaining_ms > 0),
    )
