"""State shared by the parts of the consensus core."""

import random

from monsoonhinge.consensus import log as raft_log
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class State:
    """What a member knows in every role, and what it wants done.

    Attributes:
        id: Id of this member.
        term: Current term.
        vote: Member voted for in that term, or "".
        role: Current role.
        leader: Id of the leader of the term, or "".
        log: Log and latest snapshot.
        commit: Highest index known to be committed.
        durable: Highest index known to be synced in this member's storage.
        timing: Intervals.
        rng: Source of election timeouts.
        outbox: Messages to send at once, as (member id, message).
        outbox_after_write: Messages to send after the next write.
    """

    def __init__(
        self,
        *,
        member_id: str,
        term: int,
        vote: str,
        log: raft_log.Log,
        timing: types.Timing,
        rng: random.Random,
    ) -> None:
        self.id = member_id
        self.term = term
        self.vote = vote
        self.role = types.Role.FOLLOWER
        self.leader = ""
        self.log = log
        self.commit = log.snapshot.last_index
        self.durable = log.last_index
        self.timing = timing
        self.rng = rng
        self.outbox: list[tuple[str, types.RaftMessage]] = []
        self.outbox_after_write: list[tuple[str, types.RaftMessage]] = []
        self._written = (term, vote)
        self._unwritten_from = log.last_index + 1
        self._new_snapshot = False
        self._installed = log.snapshot.last_index > 0
        self._delivered = 0

    def send(self, to: str, message: types.RaftMessage) -> None:
        """Sends a message at once."""
        self.outbox.append((to, message))

    def append(self, entry: messages.Entry) -> None:
        """Appends an entry to the log."""
        self._unwritten_from = min(self._unwritten_from, entry.index)
        self.log.append(entry)

    def truncate(self, index: int) -> None:
        """Removes entries that conflict with the leader's.

        Raises:
            types.SafetyError: A committed entry would be removed.
        """
        if index <= self.commit:
            raise types.SafetyError(
                f"entry {index} is committed (commit index {self.commit}) but "
                "differs from the leader's",
                step="append",
                peer=self.leader,
            )
        self._unwritten_from = min(self._unwritten_from, index)
        self.durable = min(self.durable, index - 1)
        self.log.truncate(index)

    def install(self, snapshot: types.Snapshot) -> None:
        """Takes a snapshot received from the leader."""
        self.log.install(snapshot)
        self.commit = max(self.commit, snapshot.last_index)
        self.durable = min(self.durable, self.log.last_index)
        self._new_snapshot = self._installed = True

    def compact(self, *, index: int, data: bytes, keep: int) -> None:
        """Takes a snapshot of this member's state machine.

        Args:
            index: Index of the last entry in the snapshot; it is applied.
            data: State of the state machine.
            keep: Entries to retain before it for members that lag a little.
        """
        self.log.compact(
            types.Snapshot(
                last_index=index,
                last_term=self.log.term_at(index) or 0,
                configuration=self.log.configuration_at(index),
                data=data,
            ),
            keep_from=index - keep + 1,
        )
        self._new_snapshot = True

    def take_write(self) -> types.Write | None:
        """Returns what must become durable next, or None."""
        log = self.log
        dirty = (
            self._new_snapshot
            or (self.term, self.vote) != self._written
            or self._unwritten_from <= log.last_index
            or bool(self.outbox_after_write)
        )
        if not dirty:
            return None
        start = log.first_index if self._new_snapshot else self._unwritten_from
        write = types.Write(
            term=self.term,
            vote=self.vote,
            entries=log.slice(start) if start <= log.last_index else [],
            snapshot=log.snapshot if self._new_snapshot else None,
            messages=self.outbox_after_write,
            last_index=log.last_index,
            last_term=log.last_term,
        )
        self.outbox_after_write = []
        self._written = (self.term, self.vote)
        self._unwritten_from = log.last_index + 1
        self._new_snapshot = False
        return write

    def take_committed(self, limit: int) -> types.Committed | None:
        """Returns what the state machine must take over next, or None.

        Args:
            limit: Most entries to return.
        """
        log = self.log
        snapshot = None
        if self._installed and log.snapshot.last_index > self._delivered:
            snapshot = log.snapshot
            self._delivered = snapshot.last_index
        self._installed = False
        if snapshot is None and self._delivered >= self.commit:
            return None
        end = min(self.commit, self._delivered + limit)
        entries = (
            log.slice(self._delivered + 1, end) if self._delivered < end else []
        )
        self._delivered = end
        return types.Committed(snapshot=snapshot, entries=entries)
