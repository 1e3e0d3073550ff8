"""Targets as they announce themselves, without any input or output.

Announcements may be late, repeated or from an earlier start of a target. The
newest start at an address and the newest announcement of a start win.
"""

import dataclasses

from monsoonhinge.protocol import fleet

READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"

# A target that announces itself this long after it deregistered stays: the
# deregistration came late, from an earlier start under the same id.
_REINSTATE_AFTER_S = 6.0

# Departed targets are remembered while late announcements may still arrive.
_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class Entry:
    """A registration and when this member learned of it.

    Attributes:
        registration: What the target last said.
        heard_at: When the target itself was last heard here; None if another
            member has heard it since.
        changed_at: When the registration last changed.
        returned_from: Sequence number of the latest departure of this start
            that a later announcement has undone; -1 if there is none.
    """

    registration: fleet.Registration
    last_heard_at: float | None
    changed_at: float
    superseded_deregistration: int = -1


class Registry:
    """Registrations by target id.

    Attributes:
        entries: All known targets, departed ones included.
        silent_after_s: Time without an announcement after which a target
            counts as silent.
    """

    def __init__(self, *, silent_after_s: float) -> None:
        self.entries: dict[str, Entry] = {}
        self.silent_after_s = silent_after_s

    def record_announcement(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration]:
        """Takes what a target sent to this member.

        Returns:
            Registrations that changed and have to be published.
        """
        entry = self.entries.get(registration.target)
        heard_elsewhere = entry is None or entry.last_heard_at is None
        changed = self._apply(registration, now)
        if changed is None:
            return []
        self.entries[registration.target].last_heard_at = now
        # The member that heard the target before stops waiting for it.
        if heard_elsewhere and not changed:
            changed = [registration]
        return changed

    def merge(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration]:
        """Takes what another member published; returns what changed."""
        entry = self.entries.get(registration.target)
        if (
            entry is not None
            and registration.state == SILENT
            and _version(registration) < _version(entry.registration)
        ):
            return []
        changed = self._apply(registration, now)
        if changed is None:
            return []
        self.entries[registration.target].last_heard_at = None
        return changed

    def deregister(self, target: str, now: float) -> list[fleet.Registration]:
        """Takes a deregistration; returns what changed."""
        entry = self.entries.get(target)
        if entry is None or entry.registration.state == GONE:
            return []
        return [self._set_state(entry, GONE, now)]

    def expire(self, now: float) -> list[fleet.Registration]:
        """Marks targets as silent that have not announced themselves."""
        changed = []
        for target, entry in list(self.entries.items()):
            state = entry.registration.state
            if state in (GONE, SILENT):
                if now - entry.changed_at > _RETENTION_S:
                    del self.entries[target]
            elif (
                entry.last_heard_at is not None
                and now - entry.last_heard_at > self.silent_after_s
            ):
                changed.append(self._set_state(entry, SILENT, now))
        return changed

    def ready_registrations(self) -> list[fleet.Registration]:
        """Returns the targets that take new work."""
        return [
            entry.registration
            for entry in self.entries.values()
            if entry.registration.state == READY
        ]

    def _apply(
        self, registration: fleet.Registration, now: float
    ) -> list[fleet.Registration] | None:
        """Returns what changed, or None if the announcement is outdated."""
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
        last_heard_at = None if entry is None else entry.last_heard_at
        changed_at = now if changed or entry is None else entry.changed_at
        self.entries[registration.target] = Entry(
            registration, last_heard_at, changed_at, superseded_deregistration
        )
        return changed

    def _is_outdated(
        self, registration: fleet.Registration, entry: Entry, now: float
    ) -> bool:
        known = entry.registration
        if registration.incarnation != known.incarnation:
            return registration.incarnation < known.incarnation
        if registration.state == GONE:
            # A departure has no number of its own; the member that took it
            # may not have heard the latest announcements.
            return registration.sequence <= entry.superseded_deregistration
        if known.state == GONE:
            return (
                now - entry.changed_at < _REINSTATE_AFTER_S
                or registration.sequence <= known.sequence
            )
        if registration.state == SILENT:
            return registration.sequence < known.sequence
        return registration.sequence <= known.sequence

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
    """Returns a registration after another of its start.

    A departure takes the highest number that was heard, so that only later
    announcements undo it.
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
    """Returns what subscribers need to be told about when it changes."""
    return dataclasses.replace(
        registration,
        sequence=0,
        slow_for_ms=int(registration.slow_for_ms > 0),
        remaining_ms=int(registration.remaining_ms > 0),
    )
