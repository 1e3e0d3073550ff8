"""Sans-IO implementation of the Raft consensus protocol.

The caller passes messages, proposals and the current time to the core. It then
sends ``take_messages()``, makes ``take_write()`` durable, reports that with
``complete_write()``, and applies ``take_committed()``.
"""

import random

from monsoonhinge.consensus import election as raft_election
from monsoonhinge.consensus import follower as raft_follower
from monsoonhinge.consensus import leader as raft_leader
from monsoonhinge.consensus import log as raft_log
from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Raft:
    """Protocol state of one member of the cluster.

    Attributes:
        state: Term, log and pending output.
        leadership: Leader state while this member leads, else None.
    """

    def __init__(
        self,
        *,
        member_id: str,
        term: int,
        vote: str,
        snapshot: types.Snapshot,
        entries: list[messages.Entry],
        timing: types.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.state = raft_state.State(
            member_id=member_id,
            term=term,
            vote=vote,
            log=raft_log.Log(snapshot=snapshot, entries=entries),
            timing=timing,
            rng=rng,
        )
        self.leadership: raft_leader.Leader | None = None
        self._election = raft_election.Election(self.state, now=now)
        self._follower = raft_follower.Follower(self.state)
        self._failed_reads: list[int] = []

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its current term."""
        return self.leadership is not None

    @property
    def is_bootstrapped(self) -> bool:
        """Whether the log has entries, so that a cluster must exist."""
        return self.state.log.last_index > 0

    def bootstrap(self, configuration: types.Configuration, now: float) -> None:
        """Starts a new cluster.

        All members on which this is called must be given the same
        configuration, and have an empty log.
        """
        self.state.term = max(self.state.term, 1)
        self.state.append(
            messages.Entry(
                index=1,
                term=1,
                kind=types.KIND_CONFIGURATION,
                data=configuration.encode(),
            )
        )
        self._election.start_election(now)

    def require_leadership(self, step: str) -> raft_leader.Leader:
        """Returns the leadership state.

        Raises:
            types.NotLeader: This member is not the leader.
        """
        if self.leadership is None:
            leader = types.member_name(self.state.leader)
            raise types.NotLeader(leader=leader, step=step)
        return self.leadership

    def tick(self, now: float) -> None:
        """Handles expired timers: elections, heartbeats and loss of quorum."""
        if self.leadership is not None:
            if self.leadership.has_quorum(now):
                self.leadership.tick(now)
            else:
                self._become_follower(self.state.term, now)
        elif now >= self._election.deadline:
            if not self._election.is_voter():
                self.state.leader = ""
                self._election.reset_timer(now)
            elif self._election.start_pre_vote(now):
                self._election.start_election(now)

    def step(self, message: types.RaftMessage, now: float) -> None:
        """Handles a message from another member.

        Raises:
            types.SafetyError: A committed entry would change.
        """
        match message:
            case messages.VoteRequest():
                self._on_vote_request(message, now)
            case messages.VoteReply():
                self._on_vote_reply(message, now)
            case messages.AppendRequest() | messages.SnapshotChunk():
                self._on_leader_message(message, now)
            case messages.AppendReply() | messages.SnapshotReply():
                self._on_follower_message(message, now)
            case messages.TimeoutNow():
                if (
                    message.term == self.state.term
                    and message.leader == self.state.leader
                    and self._election.is_voter()
                ):
                    self._election.start_election(now, transfer=True)

    def complete_write(self, write: types.Write, now: float) -> None:
        """Records that a write is durable; its messages may now be sent."""
        state = self.state
        if state.log.term_at(write.last_index) == write.last_term:
            state.durable_index = max(state.durable_index, write.last_index)
        state.outbox += write.messages
        if self.leadership is not None:
            self.leadership.advance_commit_index(now)
            self._step_down_if_removed(now)
        elif (
            state.role is types.Role.CANDIDATE
            and (write.term, write.vote) == (state.term, state.member_id)
            and self._election.record_vote(state.member_id)
        ):
            self._become_leader(now)
        elif state.leader:
            self._follower.acknowledge_durable()

    def take_messages(self) -> list[tuple[str, types.RaftMessage]]:
        """Returns and clears the messages to send, as (member id, message)."""
        outbox, self.state.outbox = self.state.outbox, []
        return outbox

    def take_write(self) -> types.Write | None:
        """Returns the next write to make durable, or None."""
        return self.state.take_write()

    def take_committed(self, limit: int) -> types.Committed | None:
        """Returns what the state machine must apply next, or None.

        Args:
            limit: Maximum number of entries to return.
        """
        return self.state.take_committed(limit)

    def take_reads(self) -> tuple[list[tuple[int, int]], list[int]]:
        """Returns and clears the finished reads.

        Returns:
            Confirmed reads as (read id, read index), and ids of failed reads.
        """
        confirmed: list[tuple[int, int]] = []
        if self.leadership is not None:
            confirmed, self.leadership.confirmed_reads = (
                self.leadership.confirmed_reads,
                [],
            )
        failed, self._failed_reads = self._failed_reads, []
        return confirmed, failed

    def _on_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> None:
        if not request.transfer and self._election.has_recent_leader(now):
            return
        if not request.pre_vote and request.term > self.state.term:
            self._become_follower(request.term, now)
        self._election.handle_vote_request(request, now)

    def _on_vote_reply(self, reply: messages.VoteReply, now: float) -> None:
        state = self.state
        if not reply.granted:
            if reply.term > state.term:
                self._become_follower(reply.term, now)
        elif reply.pre_vote:
            if (
                state.role is types.Role.PRE_CANDIDATE
                and reply.term == state.term + 1
                and self._election.record_vote(reply.voter)
            ):
                self._election.start_election(now)
        elif (
            state.role is types.Role.CANDIDATE
            and reply.term == state.term
            and self._election.record_vote(reply.voter)
        ):
            self._become_leader(now)

    def _on_leader_message(
        self,
        message: messages.AppendRequest | messages.SnapshotChunk,
        now: float,
    ) -> None:
        state = self.state
        if message.term < state.term:
            # Lets a leader of an older term learn that it has been replaced.
            state.send(
                message.leader,
                messages.AppendReply(term=state.term, follower=state.member_id),
            )
            return
        if message.term > state.term or state.leader != message.leader:
            self._become_follower(message.term, now, leader=message.leader)
        self._election.record_leader_message(message.leader, now)
        if isinstance(message, messages.AppendRequest):
            self._follower.handle_append(message)
        else:
            self._follower.handle_snapshot_chunk(message)

    def _on_follower_message(
        self, message: messages.AppendReply | messages.SnapshotReply, now: float
    ) -> None:
        if message.term > self.state.term:
            self._become_follower(message.term, now)
        elif self.leadership is not None and message.term == self.state.term:
            if isinstance(message, messages.AppendReply):
                self.leadership.handle_append_reply(message, now)
            else:
                self.leadership.handle_snapshot_reply(message, now)
            self._step_down_if_removed(now)

    def _step_down_if_removed(self, now: float) -> None:
        if self.leadership is not None and self.leadership.is_removed():
            self._become_follower(self.state.term, now)

    def _become_follower(
        self, term: int, now: float, *, leader: str = ""
    ) -> None:
        state = self.state
        if self.leadership is not None:
            self._failed_reads += [
                *self.leadership.pending_reads(),
                *(read_id for read_id, _ in self.leadership.confirmed_reads),
            ]
            self.leadership = None
        if term > state.term:
            state.term, state.vote = term, ""
        state.role = types.Role.FOLLOWER
        state.leader = leader
        self._follower = raft_follower.Follower(state)
        self._election.reset_timer(now)

    def _become_leader(self, now: float) -> None:
        self.state.role = types.Role.LEADER
        self.state.leader = self.state.member_id
        self.leadership = raft_leader.Leader(self.state, now=now)
        self.leadership.record_last_seen(
            self._election.last_leader_id, self._election.leader_seen_at
        )
