"""Receives entries and snapshots from the leader."""

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Follower:
    """What a member received from the leader of the current term."""

    def __init__(self, state: raft_state.State) -> None:
        self._state = state
        self._verified = 0
        self._round = 0
        self._chunks = bytearray()
        self._chunks_of = (0, 0)

    def append(self, request: messages.AppendRequest) -> None:
        """Takes entries of the leader of the current term.

        Raises:
            types.SafetyError: A committed entry differs from the leader's.
        """
        state = self._state
        log = state.log
        new_round = request.round > self._round
        self._round = max(self._round, request.round)
        prev = request.prev_index
        if prev >= log.first_index - 1 and (
            log.term_at(prev) != request.prev_term
        ):
            self._reply(success=False, match=self._hint(prev))
            return
        known_end = state.log.last_index
        for entry in request.entries:
            # Entries up to the snapshot are committed, hence the same.
            if entry.index <= log.snapshot.last_index:
                continue
            if entry.index <= log.last_index:
                if log.term_at(entry.index) == entry.term:
                    continue
                state.truncate(entry.index)
                known_end = min(known_end, entry.index - 1)
            state.append(entry)
        last = prev + len(request.entries)
        self._verified = max(self._verified, last)
        state.commit = max(state.commit, min(request.commit, last))
        # Heartbeats are answered even while a slow disk delays entries, so
        # that the leader does not count this member as silent.
        if (
            new_round
            or not request.entries
            or last <= min(known_end, state.durable)
        ):
            self._reply(success=True, match=self._durable_match())

    def written(self) -> None:
        """Acknowledges what has become durable."""
        if self._verified:
            self._reply(success=True, match=self._durable_match())

    def receive_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Takes one part of a snapshot."""
        state = self._state
        key = (chunk.last_index, chunk.last_term)
        if chunk.last_index <= state.commit:
            self._reply_chunk(chunk, offset=chunk.total)
            return
        if self._chunks_of != key:
            self._chunks, self._chunks_of = bytearray(), key
        if chunk.offset == len(self._chunks):
            self._chunks += chunk.data
        if len(self._chunks) < chunk.total:
            self._reply_chunk(chunk, offset=len(self._chunks))
            return
        state.install(
            types.Snapshot.from_payload(
                last_index=chunk.last_index,
                last_term=chunk.last_term,
                payload=bytes(self._chunks),
            )
        )
        self._chunks, self._chunks_of = bytearray(), (0, 0)
        state.outbox_after_write.append(
            (chunk.leader, self._chunk_reply(chunk, offset=chunk.total))
        )

    def _hint(self, prev: int) -> int:
        """Returns an index before the conflict at which to try next."""
        log = self._state.log
        if prev > log.last_index:
            return log.last_index
        # Skips the whole conflicting term in one exchange.
        conflicting = log.term_at(prev)
        hint = prev - 1
        while hint > self._state.commit and log.term_at(hint) == conflicting:
            hint -= 1
        return hint

    def _durable_match(self) -> int:
        return min(self._verified, self._state.durable)

    def _reply(self, *, success: bool, match: int) -> None:
        state = self._state
        state.send(
            state.leader,
            messages.AppendReply(
                term=state.term,
                follower=state.id,
                success=success,
                match_index=match,
                round=self._round,
            ),
        )

    def _reply_chunk(self, chunk: messages.SnapshotChunk, offset: int) -> None:
        self._state.send(chunk.leader, self._chunk_reply(chunk, offset=offset))

    def _chunk_reply(
        self, chunk: messages.SnapshotChunk, *, offset: int
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            term=self._state.term,
            follower=self._state.id,
            last_index=chunk.last_index,
            offset=offset,
        )
