"""The replicated log in memory."""

from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Log:
    """Retained entries of the log and the latest snapshot.

    Attributes:
        snapshot: Latest snapshot; it may cover some of the retained entries.
        entries: Retained entries, with consecutive indexes.
    """

    def __init__(
        self, *, snapshot: types.Snapshot, entries: list[messages.Entry]
    ) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self._configurations: list[tuple[int, types.Configuration]] = []
        self._rebuild_configurations()

    @property
    def first_index(self) -> int:
        """Index of the oldest retained entry, or of the next one if none."""
        if self.entries:
            return self.entries[0].index
        return self.snapshot.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry; 0 if the log has never had one."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry; 0 if the log has never had one."""
        return (
            self.entries[-1].term if self.entries else self.snapshot.last_term
        )

    @property
    def configuration(self) -> types.Configuration:
        """Latest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that holds the latest configuration."""
        return self._configurations[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is compacted or missing."""
        if index == 0:
            return 0
        position = index - self.first_index
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        return None

    def slice(
        self, start: int, end: int | None = None, *, max_bytes: int = 0
    ) -> list[messages.Entry]:
        """Returns entries from ``start`` up to and including ``end``.

        Args:
            start: First index; the entry must be retained.
            end: Last index; by default the end of the log.
            max_bytes: Size of the data at which to stop; the entry that reaches
                it is included. 0 means no limit.
        """
        first = self.first_index
        stop = None if end is None else end + 1 - first
        entries = self.entries[start - first : stop]
        if max_bytes:
            size = 0
            for position, entry in enumerate(entries):
                size += len(entry.data)
                if size >= max_bytes:
                    return entries[: position + 1]
        return entries

    def append(self, entry: messages.Entry) -> None:
        """Appends an entry, whose index must follow the last one."""
        self.entries.append(entry)
        if entry.kind == types.KIND_CONFIGURATION:
            self._configurations.append(
                (entry.index, types.Configuration.decode(entry.data))
            )

    def truncate(self, index: int) -> None:
        """Removes the entry at ``index`` and all later ones."""
        del self.entries[index - self.first_index :]
        while len(self._configurations) > 1 and (
            self._configurations[-1][0] >= index
        ):
            self._configurations.pop()

    def configuration_at(self, index: int) -> types.Configuration:
        """Returns the configuration in effect at a log index."""
        for start, configuration in reversed(self._configurations):
            if start <= index:
                return configuration
        return self.snapshot.configuration

    def compact(self, snapshot: types.Snapshot, *, retained_from: int) -> None:
        """Sets a new local snapshot; drops entries before ``retained_from``."""
        drop = min(retained_from, snapshot.last_index + 1) - self.first_index
        self.snapshot = snapshot
        if drop > 0:
            del self.entries[:drop]
        self._rebuild_configurations()

    def install_snapshot(self, snapshot: types.Snapshot) -> None:
        """Sets a snapshot received from the leader.

        Later entries may have been acknowledged to the leader, so they are
        kept if the log's term at the end of the snapshot matches.
        """
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            self.entries = (
                self.slice(snapshot.last_index + 1)
                if snapshot.last_index < self.last_index
                else []
            )
        else:
            self.entries = []
        self.snapshot = snapshot
        self._rebuild_configurations()

    def _rebuild_configurations(self) -> None:
        snapshot = self.snapshot
        self._configurations = [(snapshot.last_index, snapshot.configuration)]
        self._configurations += [
            (entry.index, types.Configuration.decode(entry.data))
            for entry in self.entries
            if entry.kind == types.KIND_CONFIGURATION
            and entry.index > snapshot.last_index
        ]
