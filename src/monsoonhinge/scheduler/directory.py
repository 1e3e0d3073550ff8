"""Targets as they announced themselves."""

from collections.abc import Iterator
import dataclasses

from monsoonhinge.protocol import messages

EXPIRY_S = 3.0


@dataclasses.dataclass(slots=True)
class Entry:
    """The latest announcement of a target.

    Attributes:
        state: The announcement.
        heard_at: When it was posted, on the local clock in seconds.
    """

    state: messages.TargetState
    heard_at: float


class Directory:
    """Latest announcement of every live target.

    Attributes:
        entries: Entries by target id.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def update(self, state: messages.TargetState, now: float) -> bool:
        """Takes an announcement unless a newer one is known.

        Args:
            state: The announcement, with its age.
            now: Current time in seconds.

        Returns:
            Whether the announcement is newer than what was known.
        """
        known = self.entries.get(state.target)
        if known is not None and (
            (known.state.incarnation, known.state.sequence)
            >= (state.incarnation, state.sequence)
        ):
            return False
        heard_at = now - state.age_ms / 1000
        if now - heard_at > EXPIRY_S:
            return False
        self.entries[state.target] = Entry(state=state, heard_at=heard_at)
        return True

    def expire(self, now: float) -> list[str]:
        """Removes targets that have not announced themselves in time.

        Returns:
            Ids of the targets removed.
        """
        gone = [
            target
            for target, entry in self.entries.items()
            if now - entry.heard_at > EXPIRY_S
        ]
        for target in gone:
            del self.entries[target]
        return gone

    def available(self) -> Iterator[Entry]:
        """Yields the targets that may get new work."""
        for entry in self.entries.values():
            if not entry.state.leaving:
                yield entry

    def usable(self, now: float) -> Iterator[Entry]:
        """Yields the targets that were heard in time and may get new work.

        A subscriber's copy keeps late entries until the publisher removes
        them, because an entry that it dropped by itself would not be sent
        again while its structure stays the same.
        """
        for entry in self.available():
            if now - entry.heard_at <= EXPIRY_S:
                yield entry

    def snapshot(self, now: float) -> list[messages.TargetState]:
        """Returns all announcements with their current ages."""
        return [
            dataclasses.replace(
                entry.state, age_ms=int((now - entry.heard_at) * 1000)
            )
            for entry in self.entries.values()
        ]
