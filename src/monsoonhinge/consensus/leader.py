"""Leader side: replication, commits, read index, membership changes."""

from monsoonhinge.consensus import progress as raft_progress
from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

# A learner at most this many entries behind the log's end is caught up.
CAUGHT_UP_ENTRIES = 100


class Leader:
    """State of a member while it leads one term.

    Attributes:
        progress: Replication progress of the other members, by member id.
        confirmed_reads: Confirmed reads, as (read id, read index).
    """

    def __init__(self, state: raft_state.State, *, now: float) -> None:
        self.progress: dict[str, raft_progress.Progress] = {}
        self.confirmed_reads: list[tuple[int, int]] = []
        self._state = state
        self._confirmation_round = 0
        self._confirming_reads: list[int] = []
        self._read_index = 0
        self._queued_reads: list[int] = []
        self._next_heartbeat_at = now
        self._transfer_deadline = 0.0
        self._transferee_id = ""
        self._update_progress(now)
        self._append([(types.KIND_NOOP, b"")], now)
        self._noop_index = state.log.last_index
        self.advance_commit_index(now)

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed.

        Until then, entries committed by earlier leaders may not be known to
        be committed here.
        """
        return self._state.commit_index >= self._noop_index

    def propose(self, commands: list[bytes], now: float) -> int:
        """Appends a batch of commands; returns the index of the first one.

        Raises:
            types.NotLeader: Leadership is being transferred.
        """
        if now < self._transfer_deadline:
            raise types.NotLeader(leader="", step="propose")
        first_index = self._state.log.last_index + 1
        self._append([(types.KIND_COMMAND, data) for data in commands], now)
        return first_index

    def request_read(self, read_id: int, now: float) -> None:
        """Requests a read index, confirmed by a round that starts later."""
        self._queued_reads.append(read_id)
        self._start_confirmation_round(now)

    def pending_reads(self) -> list[int]:
        """Returns the ids of reads that are not confirmed yet."""
        return self._confirming_reads + self._queued_reads

    def change_configuration(
        self, wanted: types.Configuration, now: float
    ) -> None:
        """Appends a new configuration to the log.

        Raises:
            types.ChangeRefused: Another change or a leadership transfer is in
                progress, or the change affects more than one voter or removes
                the last one.
        """
        log = self._state.log
        if (
            not self.has_committed_in_term
            or log.configuration_index > self._state.commit_index
        ):
            raise types.ChangeRefused("another change is not committed yet")
        if now < self._transfer_deadline:
            raise types.ChangeRefused("leadership is being transferred")
        voters = set(log.configuration.voters)
        if len(voters.symmetric_difference(wanted.voters)) > 1:
            raise types.ChangeRefused("only one voter may change at a time")
        if not wanted.voters:
            raise types.ChangeRefused("the last voter cannot be removed")
        self._append([(types.KIND_CONFIGURATION, wanted.encode())], now)

    def live_voters(self, now: float) -> set[str]:
        """Returns the ids of voters seen within one election timeout."""
        state = self._state
        timeout = state.timing.election_timeout_s
        return {
            voter
            for voter in state.log.configuration.voters
            if voter == state.member_id
            or now - self.progress[voter].last_seen_at <= timeout
        }

    def record_last_seen(self, member_id: str, at: float) -> None:
        """Records when a member was last heard of before this term."""
        progress = self.progress.get(member_id)
        if progress is not None:
            progress.last_seen_at = min(progress.last_seen_at, at)

    def seconds_since_last_seen(self, member_id: str, now: float) -> float:
        """Returns the time since a member last replied; 0.0 if not known."""
        progress = self.progress.get(member_id)
        return 0.0 if progress is None else now - progress.last_seen_at

    def has_quorum(self, now: float) -> bool:
        """Returns whether a quorum was seen within one election timeout."""
        quorum = self._state.log.configuration.quorum()
        return len(self.live_voters(now)) >= quorum

    def is_caught_up(self, member_id: str) -> bool:
        """Returns whether a member lags at most ``CAUGHT_UP_ENTRIES``."""
        progress = self.progress.get(member_id)
        return (
            progress is not None
            and self.has_committed_in_term
            and (
                progress.match_index + CAUGHT_UP_ENTRIES
                >= self._state.log.last_index
                and progress.match_index >= self._noop_index
            )
        )

    def can_become_voter(self, member_id: str, now: float) -> bool:
        """Returns whether a member has caught up and replied just now."""
        timeout = self._state.timing.election_timeout_s
        return self.is_caught_up(member_id) and (
            self.seconds_since_last_seen(member_id, now) <= timeout
        )

    def transfer_leadership(self, now: float) -> bool:
        """Starts a leadership transfer to the most up-to-date live voter.

        Returns:
            Whether there is a live voter to transfer it to.
        """
        live = self.live_voters(now) - {self._state.member_id}
        if not live:
            return False
        self._transferee_id = max(
            live, key=lambda voter: self.progress[voter].match_index
        )
        self._transfer_deadline = now + self._state.timing.election_timeout_s
        self._send_timeout_now()
        return True

    def handle_append_reply(
        self, reply: messages.AppendReply, now: float
    ) -> None:
        """Handles the reply to an append request of this term."""
        progress = self.progress.get(reply.follower)
        if progress is None:
            return
        progress.last_seen_at = now
        progress.handle_append_reply(reply)
        self.advance_commit_index(now)
        self._complete_confirmation_round(now)
        if reply.follower in self.progress:
            progress.send_entries(
                confirmation_round=self._confirmation_round, now=now
            )
        self._send_timeout_now()

    def handle_snapshot_reply(
        self, reply: messages.SnapshotReply, now: float
    ) -> None:
        """Handles the reply to a snapshot chunk of this term."""
        progress = self.progress.get(reply.follower)
        if progress is not None:
            progress.last_seen_at = now
            progress.handle_snapshot_reply(reply, now)
            progress.send_entries(
                confirmation_round=self._confirmation_round, now=now
            )

    def advance_commit_index(self, now: float) -> None:
        """Commits the entries that are durable on a quorum."""
        state = self._state
        configuration = state.log.configuration
        match_indexes = sorted(
            (
                state.durable_index
                if voter == state.member_id
                else self.progress[voter].match_index
                for voter in configuration.voters
            ),
            reverse=True,
        )
        index = match_indexes[configuration.quorum() - 1]
        # An entry of an earlier term can be overwritten even if a quorum has
        # it. It is committed together with a later entry of this term.
        if (
            index <= state.commit_index
            or state.log.term_at(index) != state.term
        ):
            return
        state.commit_index = index
        self._send_heartbeats()
        self._start_confirmation_round(now)

    def is_removed(self) -> bool:
        """Returns whether a committed change removed this member as voter."""
        state = self._state
        return (
            state.log.configuration_index <= state.commit_index
            and state.member_id not in state.log.configuration.voters
        )

    def tick(self, now: float) -> None:
        """Sends heartbeats and retransmissions when they are due."""
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + self._state.timing.heartbeat_s
        self._send_heartbeats()
        for progress in self.progress.values():
            progress.resend(
                confirmation_round=self._confirmation_round, now=now
            )

    def _send_heartbeats(self) -> None:
        for progress in self.progress.values():
            progress.send_heartbeat(confirmation_round=self._confirmation_round)

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
            self._update_progress(now)
        for progress in self.progress.values():
            progress.send_entries(
                confirmation_round=self._confirmation_round, now=now
            )

    def _update_progress(self, now: float) -> None:
        member_ids = self._state.log.configuration.member_ids
        self.progress = {
            member_id: self.progress.get(member_id)
            or raft_progress.Progress(
                member_id=member_id, state=self._state, now=now
            )
            for member_id in member_ids
            if member_id != self._state.member_id
        }

    def _start_confirmation_round(self, now: float) -> None:
        if (
            not self._queued_reads
            or self._confirming_reads
            or not self.has_committed_in_term
        ):
            return
        self._confirming_reads, self._queued_reads = self._queued_reads, []
        self._read_index = self._state.commit_index
        self._confirmation_round += 1
        self._send_heartbeats()
        self._complete_confirmation_round(now)

    def _complete_confirmation_round(self, now: float) -> None:
        if not self._confirming_reads:
            return
        state = self._state
        configuration = state.log.configuration
        confirmed = sum(
            voter == state.member_id
            or self.progress[voter].confirmation_round
            >= self._confirmation_round
            for voter in configuration.voters
        )
        if confirmed >= configuration.quorum():
            self.confirmed_reads += [
                (read_id, self._read_index)
                for read_id in self._confirming_reads
            ]
            self._confirming_reads = []
            self._start_confirmation_round(now)

    def _send_timeout_now(self) -> None:
        progress = self.progress.get(self._transferee_id)
        state = self._state
        if (
            progress is not None
            and progress.match_index == state.log.last_index
        ):
            state.send(
                self._transferee_id,
                messages.TimeoutNow(term=state.term, leader=state.member_id),
            )
            self._transferee_id = ""
