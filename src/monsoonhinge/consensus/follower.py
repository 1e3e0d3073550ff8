"""Follower side of replication: entries and snapshots from the leader."""

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Follower:
    """Replication state of a member that follows the leader of this term."""

    def __init__(self, state: raft_state.State) -> None:
        self._state = state
        self._verified_index = 0
        self._confirmation_round = 0
        self._snapshot_buffer = bytearray()
        self._snapshot_position = (0, 0)

    def handle_append(self, request: messages.AppendRequest) -> None:
        """Handles an append request of the leader of the current term.

        Raises:
            types.SafetyError: A committed entry differs from the leader's.
        """
        state = self._state
        log = state.log
        is_new_round = request.round > self._confirmation_round
        self._confirmation_round = max(self._confirmation_round, request.round)
        prev_index = request.prev_index
        if prev_index >= log.first_index - 1 and (
            log.term_at(prev_index) != request.prev_term
        ):
            self._reply_append(
                success=False, match_index=self._conflict_hint(prev_index)
            )
            return
        last_known_index = state.log.last_index
        for entry in request.entries:
            # Entries covered by the snapshot are committed, so they match.
            if entry.index <= log.snapshot.last_index:
                continue
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                state.truncate(entry.index)
                last_known_index = min(last_known_index, entry.index - 1)
            state.append(entry)
        last_index = prev_index + len(request.entries)
        self._verified_index = max(self._verified_index, last_index)
        state.commit_index = max(
            state.commit_index, min(request.commit, last_index)
        )
        # Heartbeats are answered even while a slow disk delays entries, so that
        # the leader does not consider this member unresponsive.
        if (
            is_new_round
            or not request.entries
            or last_index <= min(last_known_index, state.durable_index)
        ):
            self._reply_append(
                success=True, match_index=self._durable_match_index()
            )

    def acknowledge_durable(self) -> None:
        """Acknowledges entries that have become durable."""
        if self._verified_index:
            self._reply_append(
                success=True, match_index=self._durable_match_index()
            )

    def handle_snapshot_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Buffers a snapshot chunk; installs the snapshot once complete."""
        state = self._state
        position = (chunk.last_index, chunk.last_term)
        if chunk.last_index <= state.commit_index:
            self._send_snapshot_reply(chunk, offset=chunk.total)
            return
        if self._snapshot_position != position:
            self._snapshot_buffer = bytearray()
            self._snapshot_position = position
        if chunk.offset == len(self._snapshot_buffer):
            self._snapshot_buffer += chunk.data
        if len(self._snapshot_buffer) < chunk.total:
            self._send_snapshot_reply(chunk, offset=len(self._snapshot_buffer))
            return
        state.install_snapshot(
            types.Snapshot.from_payload(
                last_index=chunk.last_index,
                last_term=chunk.last_term,
                payload=bytes(self._snapshot_buffer),
            )
        )
        self._snapshot_buffer, self._snapshot_position = bytearray(), (0, 0)
        state.outbox_after_write.append(
            (chunk.leader, self._snapshot_reply(chunk, offset=chunk.total))
        )

    def _conflict_hint(self, prev_index: int) -> int:
        """Returns the index after which the leader should try next."""
        log = self._state.log
        if prev_index > log.last_index:
            return log.last_index
        # Skips all entries of the conflicting term in one round trip.
        conflicting_term = log.term_at(prev_index)
        hint, commit_index = prev_index - 1, self._state.commit_index
        while hint > commit_index and log.term_at(hint) == conflicting_term:
            hint -= 1
        return hint

    def _durable_match_index(self) -> int:
        return min(self._verified_index, self._state.durable_index)

    def _reply_append(self, *, success: bool, match_index: int) -> None:
        state = self._state
        state.send(
            state.leader,
            messages.AppendReply(
                term=state.term,
                follower=state.member_id,
                success=success,
                match_index=match_index,
                round=self._confirmation_round,
            ),
        )

    def _send_snapshot_reply(
        self, chunk: messages.SnapshotChunk, offset: int
    ) -> None:
        self._state.send(
            chunk.leader, self._snapshot_reply(chunk, offset=offset)
        )

    def _snapshot_reply(
        self, chunk: messages.SnapshotChunk, *, offset: int
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            term=self._state.term,
            follower=self._state.member_id,
            last_index=chunk.last_index,
            offset=offset,
        )
