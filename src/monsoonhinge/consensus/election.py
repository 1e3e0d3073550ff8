"""Leader election: election timer, pre-vote and leader stickiness."""

import math

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages


class Election:
    """Election timer of this member and the votes it has received.

    Attributes:
        leader_seen_at: Time of the last message from a leader.
        last_leader_id: Member that sent it, or "".
        deadline: Time at which the election timer fires and a voter starts a
            pre-vote.
    """

    def __init__(self, state: raft_state.State, *, now: float) -> None:
        self.leader_seen_at = -math.inf
        self.last_leader_id = ""
        self.deadline = 0.0
        self._state = state
        self._votes: set[str] = set()
        self._is_transfer = False
        self.reset_timer(now)
        if state.log.configuration.voters == [state.member_id]:
            # A sole voter starts its election without a timeout.
            self.deadline = now

    def reset_timer(self, now: float) -> None:
        """Restarts the election timer with a new random timeout."""
        timeout = self._state.timing.election_timeout_s
        self.deadline = now + self._state.rng.uniform(timeout, 2 * timeout)

    def record_leader_message(self, leader_id: str, now: float) -> None:
        """Records a message from the leader and restarts the timer."""
        self.leader_seen_at = now
        self.last_leader_id = leader_id
        self.reset_timer(now)

    def is_voter(self) -> bool:
        """Returns whether this member is a voter and may stand for election."""
        return self._state.member_id in self._state.log.configuration.voters

    def start_pre_vote(self, now: float) -> bool:
        """Starts a pre-vote; returns whether it is already won."""
        self._state.role = types.Role.PRE_CANDIDATE
        self._state.leader = ""
        won = self._campaign(now, pre_vote=True)
        # Others may have heard from the leader slightly later and not grant
        # the vote yet. A pre-vote changes no term, so an early retry is safe.
        timeout = self._state.timing.election_timeout_s
        self.deadline = now + self._state.rng.uniform(timeout / 4, timeout / 2)
        return won

    def start_election(self, now: float, *, transfer: bool = False) -> None:
        """Starts an election; the own vote counts only once it is durable.

        Args:
            now: Current time.
            transfer: Whether the leader requested the election to transfer
                leadership; other members then vote despite leader stickiness.
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
        """Replies to a vote request of the current or an older term.

        A pre-vote request may have a newer term, which is not adopted.
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
        """Returns whether leader stickiness forbids this member to vote."""
        state = self._state
        return state.role is types.Role.LEADER or (
            now - self.leader_seen_at < state.timing.election_timeout_s
        )

    def record_vote(self, voter: str) -> bool:
        """Records a granted vote; returns whether a quorum has been reached."""
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
