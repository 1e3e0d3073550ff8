"""Directory of live targets, built from their announcements."""

from collections.abc import Iterator
import dataclasses

from monsoonhinge.protocol import messages

# A target counts as lost this long after its last announcement.
EXPIRY_S = 3.0


@dataclasses.dataclass(slots=True)
class Entry:
    """The latest announcement of a target.

    Attributes:
        state: The announcement.
        announced_at: When the target posted it, in seconds of the local clock.
    """

    state: messages.TargetState
    announced_at: float


class Directory:
    """Latest announcement of every live target.

    Attributes:
        entries: Entries by target id.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def update(self, state: messages.TargetState, now: float) -> bool:
        """Stores an announcement unless a newer one is known.

        Args:
            state: The announcement, with its age.
            now: Current time in seconds.

        Returns:
            Whether the announcement was stored. It is ignored if it is not
            newer than the known one, or older than ``EXPIRY_S``.
        """
        known = self.entries.get(state.target)
        if known is not None and (
            (known.state.incarnation, known.state.sequence)
            >= (state.incarnation, state.sequence)
        ):
            return False
        announced_at = now - state.age_ms / 1000
        if now - announced_at > EXPIRY_S:
            return False
        self.entries[state.target] = Entry(
            state=state, announced_at=announced_at
        )
        return True

    def expire(self, now: float) -> list[str]:
        """Removes targets whose last announcement has expired.

        Returns:
            Ids of the removed targets.
        """
        expired = [
            target
            for target, entry in self.entries.items()
            if now - entry.announced_at > EXPIRY_S
        ]
        for target in expired:
            del self.entries[target]
        return expired

    def available(self) -> Iterator[Entry]:
        """Yields the targets that accept new work."""
        for entry in self.entries.values():
            if not entry.state.leaving:
                yield entry

    def usable(self, now: float) -> Iterator[Entry]:
        """Yields the targets that accept new work and have not expired.

        A subscriber's copy of the directory keeps expired entries until the
        publisher removes them. An entry that the subscriber dropped by itself
        would not be sent again as long as its structure stays the same.
        """
        for entry in self.available():
            if now - entry.announced_at <= EXPIRY_S:
                yield entry

    def snapshot(self, now: float) -> list[messages.TargetState]:
        """Returns all announcements with their current ages."""
        return [
            dataclasses.replace(
                entry.state, age_ms=int((now - entry.announced_at) * 1000)
            )
            for entry in self.entries.values()
        ]
