"""Leadership: replication, commits, read index and membership changes."""

from monsoonhinge.consensus import progress as raft_progress
from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

# A learner this close to the end of the log is caught up.
CAUGHT_UP_ENTRIES = 100


class Leader:
    """What a member holds while it leads one term.

    Attributes:
        progress: Replication to the other members, by id.
        reads: Confirmed reads, as (token, commit index).
    """

    def __init__(self, state: raft_state.State, *, now: float) -> None:
        self.progress: dict[str, raft_progress.Progress] = {}
        self.reads: list[tuple[int, int]] = []
        self._state = state
        self._round = 0
        self._round_reads: list[int] = []
        self._round_index = 0
        self._waiting_reads: list[int] = []
        self._heartbeat_at = now
        self._transfer_until = 0.0
        self._transfer_to = ""
        self._follow_configuration(now)
        self._append([(types.KIND_NOOP, b"")], now)
        self._first_index = state.log.last_index
        self.advance(now)

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit >= self._first_index

    def propose(self, commands: list[bytes], now: float) -> int:
        """Appends commands in one batch and returns the first index.

        Raises:
            types.NotLeader: Leadership is being handed over.
        """
        if now < self._transfer_until:
            raise types.NotLeader(leader="", step="propose")
        first = self._state.log.last_index + 1
        self._append([(types.KIND_COMMAND, data) for data in commands], now)
        return first

    def read(self, token: int, now: float) -> None:
        """Confirms leadership by a round that begins after this call."""
        self._waiting_reads.append(token)
        self._start_round(now)

    def pending_reads(self) -> list[int]:
        """Returns reads that were not confirmed."""
        return self._round_reads + self._waiting_reads

    def change(self, wanted: types.Configuration, now: float) -> None:
        """Appends a new configuration.

        Raises:
            types.ChangeRefused: Another change is in progress, or more than
                one voter would change.
        """
        log = self._state.log
        if not self.established or log.configuration_index > self._state.commit:
            raise types.ChangeRefused("another change is not committed yet")
        if now < self._transfer_until:
            raise types.ChangeRefused("leadership is being handed over")
        voters = set(log.configuration.voters)
        if len(voters.symmetric_difference(wanted.voters)) > 1:
            raise types.ChangeRefused("only one voter may change at a time")
        if not wanted.voters:
            raise types.ChangeRefused("the last voter cannot be removed")
        self._append([(types.KIND_CONFIGURATION, wanted.encode())], now)

    def live_voters(self, now: float) -> set[str]:
        """Returns the voters heard within one election timeout."""
        state = self._state
        timeout = state.timing.election_timeout_s
        return {
            voter
            for voter in state.log.configuration.voters
            if voter == state.id
            or now - self.progress[voter].heard_at <= timeout
        }

    def silent_for(self, member_id: str, now: float) -> float:
        """Returns how long a member has not been heard, in seconds."""
        progress = self.progress.get(member_id)
        return 0.0 if progress is None else now - progress.heard_at

    def has_quorum(self, now: float) -> bool:
        """Returns whether a quorum was heard within one election timeout."""
        quorum = self._state.log.configuration.quorum()
        return len(self.live_voters(now)) >= quorum

    def caught_up(self, member_id: str) -> bool:
        """Returns whether a member holds nearly the whole log."""
        progress = self.progress.get(member_id)
        return (
            progress is not None
            and self.established
            and (
                progress.match + CAUGHT_UP_ENTRIES >= self._state.log.last_index
                and progress.match >= self._first_index
            )
        )

    def transfer(self, now: float) -> bool:
        """Hands leadership to the voter that holds most of the log.

        Returns:
            Whether there is a live voter to hand it to.
        """
        live = self.live_voters(now) - {self._state.id}
        if not live:
            return False
        self._transfer_to = max(live, key=lambda v: self.progress[v].match)
        self._transfer_until = now + self._state.timing.election_timeout_s
        self._send_timeout_now()
        return True

    def appended(self, reply: messages.AppendReply, now: float) -> None:
        """Takes an answer to an append of this term."""
        progress = self.progress.get(reply.follower)
        if progress is None:
            return
        progress.heard_at = now
        progress.acknowledged(reply)
        self.advance(now)
        self._finish_round(now)
        if reply.follower in self.progress:
            progress.send_entries(round_number=self._round, now=now)
        self._send_timeout_now()

    def chunk_received(self, reply: messages.SnapshotReply, now: float) -> None:
        """Takes an answer to a snapshot chunk of this term."""
        progress = self.progress.get(reply.follower)
        if progress is not None:
            progress.heard_at = now
            progress.chunk_acknowledged(reply, now)
            progress.send_entries(round_number=self._round, now=now)

    def advance(self, now: float) -> None:
        """Commits what a quorum holds durably."""
        state = self._state
        configuration = state.log.configuration
        matches = sorted(
            (
                state.durable if v == state.id else self.progress[v].match
                for v in configuration.voters
            ),
            reverse=True,
        )
        index = matches[configuration.quorum() - 1]
        # An entry of an earlier term can still be overwritten even when a
        # quorum holds it; it commits together with one of this term.
        if index <= state.commit or state.log.term_at(index) != state.term:
            return
        state.commit = index
        self._send_heartbeats()
        self._start_round(now)

    def removed(self) -> bool:
        """Returns whether a committed change has removed this member."""
        state = self._state
        return (
            state.log.configuration_index <= state.commit
            and state.id not in state.log.configuration.voters
        )

    def tick(self, now: float) -> None:
        """Sends heartbeats when they are due."""
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + self._state.timing.heartbeat_s
        self._send_heartbeats()
        for progress in self.progress.values():
            progress.resend(round_number=self._round, now=now)

    def _send_heartbeats(self) -> None:
        for progress in self.progress.values():
            progress.heartbeat(round_number=self._round)

    def _append(self, contents: list[tuple[int, bytes]], now: float) -> None:
        state = self._state
        for kind, data in contents:
            state.append(
                messages.Entry(
                    index=state.log.last_index + 1,
                    term=state.term,
                    kind=kind,
                    data=data,
                )
            )
        if any(kind == types.KIND_CONFIGURATION for kind, _ in contents):
            self._follow_configuration(now)
        for progress in self.progress.values():
            progress.send_entries(round_number=self._round, now=now)

    def _follow_configuration(self, now: float) -> None:
        ids = self._state.log.configuration.ids
        self.progress = {
            member_id: self.progress.get(member_id)
            or raft_progress.Progress(
                member_id=member_id, state=self._state, now=now
            )
            for member_id in ids
            if member_id != self._state.id
        }

    def _start_round(self, now: float) -> None:
        if not self._waiting_reads or self._round_reads or not self.established:
            return
        self._round_reads, self._waiting_reads = self._waiting_reads, []
        self._round_index = self._state.commit
        self._round += 1
        self._send_heartbeats()
        self._finish_round(now)

    def _finish_round(self, now: float) -> None:
        if not self._round_reads:
            return
        state = self._state
        configuration = state.log.configuration
        confirmed = sum(
            voter == state.id or self.progress[voter].round >= self._round
            for voter in configuration.voters
        )
        if confirmed >= configuration.quorum():
            self.reads += [(t, self._round_index) for t in self._round_reads]
            self._round_reads = []
            self._start_round(now)

    def _send_timeout_now(self) -> None:
        progress = self.progress.get(self._transfer_to)
        state = self._state
        if progress is not None and progress.match == state.log.last_index:
            state.send(
                self._transfer_to,
                messages.TimeoutNow(term=state.term, leader=state.id),
            )
            self._transfer_to = ""
