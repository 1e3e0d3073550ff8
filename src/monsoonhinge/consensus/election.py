"""Votes: pre-vote, leader stickiness and the election timer."""

import math

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Election:
    """Election timer and the votes collected by this member.

    Attributes:
        leader_seen_at: When a leader of the current term was last heard.
        deadline: When the member starts a pre-vote.
    """

    def __init__(self, state: raft_state.State, *, now: float) -> None:
        self.leader_seen_at = -math.inf
        self.deadline = 0.0
        self._state = state
        self._votes: set[str] = set()
        self._is_transfer = False
        self.reset_timer(now)
        if state.log.configuration.voters == [state.member_id]:
            # A sole voter has nobody to wait for.
            self.deadline = now

    def reset_timer(self, now: float) -> None:
        """Draws a new election timeout."""
        timeout = self._state.timing.election_timeout_s
        self.deadline = now + self._state.rng.uniform(timeout, 2 * timeout)

    def record_leader_message(self, now: float) -> None:
        """Notes a message from the leader of the term."""
        self.leader_seen_at = now
        self.reset_timer(now)

    def is_voter(self) -> bool:
        """Returns whether this member may campaign."""
        return self._state.member_id in self._state.log.configuration.voters

    def start_pre_vote(self, now: float) -> bool:
        """Asks whether an election could succeed; returns if it is won."""
        self._state.role = types.Role.PRE_CANDIDATE
        self._state.leader = ""
        won = self._campaign(now, pre_vote=True)
        # The others may have heard the leader slightly later and refuse; a
        # pre-vote changes no term, so asking again soon is harmless.
        timeout = self._state.timing.election_timeout_s
        self.deadline = now + self._state.rng.uniform(timeout / 4, timeout / 2)
        return won

    def start_election(self, now: float, *, transfer: bool = False) -> None:
        """Starts an election; its own vote counts once it is durable.

        Args:
            now: Current time.
            transfer: The leader asked for it, so stickiness does not apply.
        """
        state = self._state
        state.role = types.Role.CANDIDATE
        state.leader = ""
        state.term += 1
        state.vote = state.member_id
        self._is_transfer = transfer
        self._campaign(now, pre_vote=False)

    def handle_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> None:
        """Answers a vote request whose term is not newer than this member's.

        A pre-vote may be for a newer term, which it does not change.
        """
        state = self._state
        log_is_current = (request.last_term, request.last_index) >= (
            state.log.last_term,
            state.log.last_index,
        )
        if request.pre_vote:
            granted = log_is_current and request.term > state.term
        else:
            granted = (
                log_is_current
                and request.term == state.term
                and state.vote in ("", request.candidate)
            )
        reply = messages.VoteReply(
            term=request.term if granted else state.term,
            voter=state.member_id,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        if granted and not request.pre_vote:
            state.vote = request.candidate
            self.reset_timer(now)
            state.outbox_after_write.append((request.candidate, reply))
        else:
            state.send(request.candidate, reply)

    def has_recent_leader(self, now: float) -> bool:
        """Returns whether a leader was heard too recently to vote."""
        state = self._state
        return state.role is types.Role.LEADER or (
            now - self.leader_seen_at < state.timing.election_timeout_s
        )

    def record_vote(self, voter: str) -> bool:
        """Counts a vote; returns whether a quorum has voted."""
        self._votes.add(voter)
        configuration = self._state.log.configuration
        votes = self._votes.intersection(configuration.voters)
        return len(votes) >= configuration.quorum()

    def _campaign(self, now: float, *, pre_vote: bool) -> bool:
        state = self._state
        self.reset_timer(now)
        self._votes = set()
        request = messages.VoteRequest(
            term=state.term + 1 if pre_vote else state.term,
            candidate=state.member_id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            transfer=self._is_transfer and not pre_vote,
        )
        outbox = state.outbox if pre_vote else state.outbox_after_write
        for voter in state.log.configuration.voters:
            if voter != state.member_id:
                outbox.append((voter, request))
        return pre_vote and self.record_vote(state.member_id)
