"""Replication from the leader to one other member."""

import collections

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

# Both keep one message well below the maximum size of a protocol frame.
MAX_APPEND_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 1024 * 1024

# Limits the unacknowledged data sent to a member that acknowledges slowly.
MAX_INFLIGHT_BYTES = 4 * 1024 * 1024

# Added per entry, so that the number of entries without data is limited too.
_ENTRY_OVERHEAD_BYTES = 64


class Progress:
    """Replication progress of one member, tracked by the leader.

    Attributes:
        member_id: Id of the member.
        match_index: Highest index known to be durable on the member.
        last_seen_at: Time of the last reply in this term, initially the time
            at which tracking started.
        confirmation_round: Latest confirmation round that it acknowledged.
    """

    def __init__(
        self, *, member_id: str, state: raft_state.State, now: float
    ) -> None:
        self.member_id = member_id
        self.match_index = 0
        self.last_seen_at = now
        self.confirmation_round = 0
        self._state = state
        self._next_index = state.log.last_index + 1
        self._probing = True
        self._probe_sent = False
        self._inflight: collections.deque[tuple[int, int]] = collections.deque()
        self._inflight_bytes = 0
        self._snapshot: types.Snapshot | None = None
        self._snapshot_payload = b""
        self._snapshot_offset = 0
        self._chunk_sent_at = now

    def send_entries(self, *, confirmation_round: int, now: float) -> None:
        """Sends missing entries up to ``MAX_INFLIGHT_BYTES``, or a snapshot."""
        log = self._state.log
        if self._snapshot is not None:
            return
        if self._next_index < log.first_index or (
            log.term_at(self._next_index - 1) is None
        ):
            self._start_snapshot(now)
            return
        while (
            self._next_index <= log.last_index
            and self._inflight_bytes < MAX_INFLIGHT_BYTES
            and not (self._probing and self._probe_sent)
        ):
            entries = log.slice(self._next_index, max_bytes=MAX_APPEND_BYTES)
            self._send_append(self._next_index - 1, entries, confirmation_round)
            if self._probing:
                self._probe_sent = True
                return
            size = sum(
                len(entry.data) + _ENTRY_OVERHEAD_BYTES for entry in entries
            )
            self._next_index = entries[-1].index + 1
            self._inflight.append((entries[-1].index, size))
            self._inflight_bytes += size

    def send_heartbeat(self, *, confirmation_round: int) -> None:
        """Sends an append request without entries."""
        prev_index = self._next_index - 1
        if (
            self._snapshot is not None
            or self._state.log.term_at(prev_index) is None
        ):
            prev_index = 0
        self._send_append(prev_index, [], confirmation_round)

    def resend(self, *, confirmation_round: int, now: float) -> None:
        """Retransmits messages that may have been lost.

        An unresponsive member gets only heartbeats until it replies to one.
        """
        timeout = self._state.timing.election_timeout_s
        if now - self.last_seen_at > timeout:
            return
        self._probe_sent = False
        if self._snapshot is not None and now - self._chunk_sent_at > timeout:
            self._send_snapshot_chunk(now)
        self.send_entries(confirmation_round=confirmation_round, now=now)

    def handle_append_reply(self, reply: messages.AppendReply) -> None:
        """Handles the reply to an append request of the current term."""
        self.confirmation_round = max(self.confirmation_round, reply.round)
        if not reply.success:
            self._next_index = max(
                self.match_index + 1,
                min(self._next_index, reply.match_index + 1),
            )
            self._reset_window(probing=True)
            return
        self.match_index = max(self.match_index, reply.match_index)
        self._next_index = max(self._next_index, self.match_index + 1)
        self._probing = False
        while self._inflight and self._inflight[0][0] <= self.match_index:
            self._inflight_bytes -= self._inflight.popleft()[1]

    def handle_snapshot_reply(
        self, reply: messages.SnapshotReply, now: float
    ) -> None:
        """Handles the reply to a snapshot chunk and sends the next chunk."""
        snapshot = self._snapshot
        if snapshot is None or reply.last_index != snapshot.last_index:
            return
        if reply.offset >= len(self._snapshot_payload):
            self.match_index = max(self.match_index, snapshot.last_index)
            self._next_index = self.match_index + 1
            self._snapshot, self._snapshot_payload = None, b""
            self._reset_window(probing=True)
        elif reply.offset != self._snapshot_offset:
            self._snapshot_offset = reply.offset
            self._send_snapshot_chunk(now)

    def _reset_window(self, *, probing: bool) -> None:
        self._probing = probing
        self._probe_sent = False
        self._inflight.clear()
        self._inflight_bytes = 0

    def _send_append(
        self,
        prev_index: int,
        entries: list[messages.Entry],
        confirmation_round: int,
    ) -> None:
        state = self._state
        state.send(
            self.member_id,
            messages.AppendRequest(
                term=state.term,
                leader=state.member_id,
                prev_index=prev_index,
                prev_term=state.log.term_at(prev_index) or 0,
                entries=entries,
                commit=state.commit_index,
                round=confirmation_round,
            ),
        )

    def _start_snapshot(self, now: float) -> None:
        self._snapshot = self._state.log.snapshot
        self._snapshot_payload = self._snapshot.payload()
        self._snapshot_offset = 0
        self._reset_window(probing=True)
        self._send_snapshot_chunk(now)

    def _send_snapshot_chunk(self, now: float) -> None:
        if self._snapshot is None:
            return
        self._chunk_sent_at = now
        start, state = self._snapshot_offset, self._state
        state.send(
            self.member_id,
            messages.SnapshotChunk(
                term=state.term,
                leader=state.member_id,
                last_index=self._snapshot.last_index,
                last_term=self._snapshot.last_term,
                offset=start,
                total=len(self._snapshot_payload),
                data=self._snapshot_payload[
                    start : start + SNAPSHOT_CHUNK_BYTES
                ],
            ),
        )
