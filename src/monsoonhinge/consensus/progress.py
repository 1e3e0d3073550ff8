"""Replication from the leader to one member."""

import collections

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

# Both keep one message well below the largest frame.
MAX_APPEND_BYTES = 1024 * 1024
CHUNK_BYTES = 1024 * 1024

# Bounds what is queued for a member that acknowledges slowly.
MAX_INFLIGHT_BYTES = 4 * 1024 * 1024

# Counts for entries without data, so that their number is bounded as well.
_ENTRY_OVERHEAD_BYTES = 64


class Progress:
    """Position of one member in the leader's log.

    Attributes:
        member_id: Id of the member.
        match: Highest index known to be durable there.
        heard_at: When the member last answered in this term.
        round: Latest confirmation round that it acknowledged.
    """

    def __init__(
        self, *, member_id: str, state: raft_state.State, now: float
    ) -> None:
        self.member_id = member_id
        self.match = 0
        self.heard_at = now
        self.round = 0
        self._state = state
        self._next = state.log.last_index + 1
        self._probing = True
        self._probe_sent = False
        self._inflight: collections.deque[tuple[int, int]] = collections.deque()
        self._inflight_bytes = 0
        self._snapshot: types.Snapshot | None = None
        self._payload = b""
        self._offset = 0
        self._chunk_sent_at = now

    def send_entries(self, *, round_number: int, now: float) -> None:
        """Sends entries that the member lacks, as far as the window allows."""
        log = self._state.log
        if self._snapshot is not None:
            return
        if self._next < log.first_index or (
            log.term_at(self._next - 1) is None
        ):
            self._start_snapshot(now)
            return
        while (
            self._next <= log.last_index
            and self._inflight_bytes < MAX_INFLIGHT_BYTES
            and not (self._probing and self._probe_sent)
        ):
            entries = log.slice(self._next, max_bytes=MAX_APPEND_BYTES)
            self._send(self._next - 1, entries, round_number)
            if self._probing:
                self._probe_sent = True
                return
            size = sum(
                len(entry.data) + _ENTRY_OVERHEAD_BYTES for entry in entries
            )
            self._next = entries[-1].index + 1
            self._inflight.append((entries[-1].index, size))
            self._inflight_bytes += size

    def heartbeat(self, *, round_number: int) -> None:
        """Sends an empty append."""
        prev = self._next - 1
        if self._snapshot is not None or self._state.log.term_at(prev) is None:
            prev = 0
        self._send(prev, [], round_number)

    def resend(self, *, round_number: int, now: float) -> None:
        """Sends again what may have been lost.

        A silent member gets heartbeats only, until it answers one.
        """
        timeout = self._state.timing.election_timeout_s
        if now - self.heard_at > timeout:
            return
        self._probe_sent = False
        if self._snapshot is not None and now - self._chunk_sent_at > timeout:
            self._send_chunk(now)
        self.send_entries(round_number=round_number, now=now)

    def acknowledged(self, reply: messages.AppendReply) -> None:
        """Takes an answer to an append of the current term."""
        self.round = max(self.round, reply.round)
        if not reply.success:
            self._next = max(
                self.match + 1, min(self._next, reply.match_index + 1)
            )
            self._restart_window(probing=True)
            return
        self.match = max(self.match, reply.match_index)
        self._next = max(self._next, self.match + 1)
        self._probing = False
        while self._inflight and self._inflight[0][0] <= self.match:
            self._inflight_bytes -= self._inflight.popleft()[1]

    def chunk_acknowledged(
        self, reply: messages.SnapshotReply, now: float
    ) -> None:
        """Takes an answer to a snapshot chunk and sends the next one."""
        snapshot = self._snapshot
        if snapshot is None or reply.last_index != snapshot.last_index:
            return
        if reply.offset >= len(self._payload):
            self.match = max(self.match, snapshot.last_index)
            self._next = self.match + 1
            self._snapshot, self._payload = None, b""
            self._restart_window(probing=True)
        elif reply.offset != self._offset:
            self._offset = reply.offset
            self._send_chunk(now)

    def _restart_window(self, *, probing: bool) -> None:
        self._probing = probing
        self._probe_sent = False
        self._inflight.clear()
        self._inflight_bytes = 0

    def _send(
        self, prev: int, entries: list[messages.Entry], round_number: int
    ) -> None:
        state = self._state
        state.send(
            self.member_id,
            messages.AppendRequest(
                term=state.term,
                leader=state.id,
                prev_index=prev,
                prev_term=state.log.term_at(prev) or 0,
                entries=entries,
                commit=state.commit,
                round=round_number,
            ),
        )

    def _start_snapshot(self, now: float) -> None:
        self._snapshot = self._state.log.snapshot
        self._payload = self._snapshot.payload()
        self._offset = 0
        self._restart_window(probing=True)
        self._send_chunk(now)

    def _send_chunk(self, now: float) -> None:
        if self._snapshot is None:
            return
        self._chunk_sent_at = now
        state = self._state
        state.send(
            self.member_id,
            messages.SnapshotChunk(
                term=state.term,
                leader=state.id,
                last_index=self._snapshot.last_index,
                last_term=self._snapshot.last_term,
                offset=self._offset,
                total=len(self._payload),
                data=self._payload[self._offset : self._offset + CHUNK_BYTES],
            ),
        )
