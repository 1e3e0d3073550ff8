"""State shared by the parts of the consensus core."""

import random

from monsoonhinge.consensus import log as raft_log
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class State:
    """Role-independent state of a member, and its pending output.

    Attributes:
        member_id: Id of this member.
        term: Current term.
        vote: Id of the member voted for in that term, or "".
        role: Current role.
        leader: Id of the leader of the term, or "" if not known.
        log: Log and latest snapshot.
        commit_index: Highest index known to be committed.
        durable_index: Highest index known to be synced to this member's disk.
        timing: Heartbeat interval and election timeout.
        rng: Random source of the election timeouts.
        outbox: Messages to send immediately, as (member id, message).
        outbox_after_write: Messages to send once the next write is durable, as
            (member id, message).
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
        self.member_id = member_id
        self.term = term
        self.vote = vote
        self.role = types.Role.FOLLOWER
        self.leader = ""
        self.log = log
        self.commit_index = log.snapshot.last_index
        self.durable_index = log.last_index
        self.timing = timing
        self.rng = rng
        self.outbox: list[tuple[str, types.RaftMessage]] = []
        self.outbox_after_write: list[tuple[str, types.RaftMessage]] = []
        self._last_write_term_and_vote = (term, vote)
        self._first_unwritten_index = log.last_index + 1
        self._snapshot_unwritten = False
        self._restore_pending = log.snapshot.last_index > 0
        self._delivered_index = 0

    def send(self, member_id: str, message: types.RaftMessage) -> None:
        """Queues a message that needs no preceding write."""
        self.outbox.append((member_id, message))

    def append(self, entry: messages.Entry) -> None:
        """Appends an entry to the log; it is written by the next write."""
        self._first_unwritten_index = min(
            self._first_unwritten_index, entry.index
        )
        self.log.append(entry)

    def truncate(self, index: int) -> None:
        """Removes the entry at ``index``, which conflicts, and all later ones.

        Raises:
            types.SafetyError: A committed entry would be removed.
        """
        if index <= self.commit_index:
            raise types.SafetyError(
                f"entry {index} conflicts with the leader's but is committed; "
                f"the commit index is {self.commit_index}",
                step="append",
                peer=self.leader,
            )
        self._first_unwritten_index = min(self._first_unwritten_index, index)
        self.durable_index = min(self.durable_index, index - 1)
        self.log.truncate(index)

    def install_snapshot(self, snapshot: types.Snapshot) -> None:
        """Replaces the log's start with a snapshot received from the leader."""
        self.log.install_snapshot(snapshot)
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self.durable_index = min(self.durable_index, self.log.last_index)
        self._snapshot_unwritten = self._restore_pending = True

    def compact(
        self, *, index: int, data: bytes, retained_entries: int
    ) -> None:
        """Compacts the log with a snapshot of the local state machine.

        Args:
            index: Index of the last entry applied to the state machine.
            data: Encoded state of the state machine.
            retained_entries: Number of entries covered by the snapshot to
                retain, for members that lag a little.
        """
        self.log.compact(
            types.Snapshot(
                last_index=index,
                last_term=self.log.term_at(index) or 0,
                configuration=self.log.configuration_at(index),
                data=data,
            ),
            retained_from=index - retained_entries + 1,
        )
        self._snapshot_unwritten = True

    def take_write(self) -> types.Write | None:
        """Returns the next write to make durable, or None."""
        log = self.log
        write_needed = (
            self._snapshot_unwritten
            or (self.term, self.vote) != self._last_write_term_and_vote
            or self._first_unwritten_index <= log.last_index
            or bool(self.outbox_after_write)
        )
        if not write_needed:
            return None
        start = (
            log.first_index
            if self._snapshot_unwritten
            else self._first_unwritten_index
        )
        write = types.Write(
            term=self.term,
            vote=self.vote,
            entries=log.slice(start) if start <= log.last_index else [],
            snapshot=log.snapshot if self._snapshot_unwritten else None,
            messages=self.outbox_after_write,
            last_index=log.last_index,
            last_term=log.last_term,
        )
        self.outbox_after_write = []
        self._last_write_term_and_vote = (self.term, self.vote)
        self._first_unwritten_index = log.last_index + 1
        self._snapshot_unwritten = False
        return write

    def take_committed(self, limit: int) -> types.Committed | None:
        """Returns what the state machine must apply next, or None.

        Args:
            limit: Maximum number of entries to return.
        """
        log = self.log
        snapshot = None
        if (
            self._restore_pending
            and log.snapshot.last_index > self._delivered_index
        ):
            snapshot = log.snapshot
            self._delivered_index = snapshot.last_index
        self._restore_pending = False
        if snapshot is None and self._delivered_index >= self.commit_index:
            return None
        end = min(self.commit_index, self._delivered_index + limit)
        entries = (
            log.slice(self._delivered_index + 1, end)
            if self._delivered_index < end
            else []
        )
        self._delivered_index = end
        return types.Committed(snapshot=snapshot, entries=entries)
