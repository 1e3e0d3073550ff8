"""Tests of the token buckets."""

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.config import schema
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import budget

_TEAM = schema.Team(name="a", tokens_per_s=10, burst_tokens=100)

_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.floats(0, 5)),
        st.tuples(st.just("ask"), st.integers(0, 150)),
        st.tuples(st.just("return"), st.integers(0, 200)),
        st.tuples(st.just("fail over"), st.just(0)),
        st.tuples(st.just("crash after commit"), st.integers(1, 150)),
    ),
    max_size=40,
)


class _SimulatedShard:
    """Successive holders of the budget lease, and the control log."""

    def __init__(self) -> None:
        self.now = 50.0
        self.log = state_machine.StateMachine()
        self.index = 0
        self.granted_tokens = 0
        self.grants: list[messages.Grant] = []
        self.fail_over()

    def commit(self, command: commands.Command) -> commands.Result:
        self.index += 1
        return self.log.apply(self.index, command)

    def fail_over(self) -> None:
        if self.index:
            self.commit(
                commands.ExpireLease(name="budget/0", fencing=self.fencing)
            )
        lease = self.commit(commands.AcquireLease(name="budget/0", holder="h"))
        assert isinstance(lease, commands.LeaseResult)
        self.fencing = lease.fencing
        self.holder = budget.Budget.from_checkpoints(
            self.log.budgets.values(), shard="budget/0", fencing=lease.fencing
        )
        self.holder.configure({"a": _TEAM}, self.now)

    def request_tokens(
        self,
        wanted: int,
        returned: int = 0,
        grant_id: int = 0,
        *,
        crash: bool = False,
    ) -> messages.Grant:
        request = messages.GrantRequest(
            gateway="g",
            team="a",
            wanted=wanted,
            returned=returned,
            returned_grant=grant_id,
        )
        checkpoint = self.holder.checkpoint_needed(request, self.now)
        if checkpoint is not None:
            result = self.commit(checkpoint)
            assert isinstance(result, commands.Accepted) and result.accepted
            if not crash:
                self.holder.record_commit(checkpoint)
        if crash:
            self.fail_over()
            return messages.Grant()
        before = self.holder.buckets["a"].level
        grant = self.holder.grant(request, self.now)
        # Refunds that were accepted show as an increase of the level.
        gained = self.holder.buckets["a"].level + grant.tokens - before
        self.granted_tokens += grant.tokens - round(gained)
        if grant.tokens:
            self.grants.append(grant)
        return grant


@hypothesis.settings(max_examples=300)
@hypothesis.given(_STEPS)
def test_grants_never_exceed_rate_and_burst(
    steps: list[tuple[str, float]],
) -> None:
    """Guards against tokens created by a failover or by refunds."""
    shard = _SimulatedShard()
    begin = shard.now
    for kind, value in steps:
        match kind:
            case "wait":
                shard.now += value
            case "ask":
                shard.request_tokens(int(value))
            case "return":
                grant = shard.grants[-1] if shard.grants else messages.Grant()
                shard.request_tokens(0, int(value), grant.grant_id)
            case "fail over":
                shard.fail_over()
            case _:
                shard.request_tokens(int(value), crash=True)
        limit = _TEAM.burst_tokens + _TEAM.tokens_per_s * (shard.now - begin)
        assert shard.granted_tokens <= limit + 1e-6


def test_idle_team_gets_its_whole_burst() -> None:
    """Guards against refusing a request within the burst of an idle team."""
    assert _SimulatedShard().request_tokens(100).tokens == 100


def test_tokens_return_once() -> None:
    """Guards against crediting a refund twice when it is reported again."""
    shard = _SimulatedShard()
    grant = shard.request_tokens(100)
    shard.request_tokens(0, 100, grant.grant_id)
    assert shard.request_tokens(100, 100, grant.grant_id).tokens == 100
    assert shard.request_tokens(100, 100, grant.grant_id).tokens == 0


def test_exhausted_bucket_says_when_to_retry() -> None:
    """Guards against a refusal with a wrong retry time."""
    shard = _SimulatedShard()
    shard.request_tokens(100)
    grant = shard.request_tokens(20)
    assert (grant.tokens, grant.retry_after_ms) == (0, 2000)


def test_return_is_bounded_by_its_grant() -> None:
    """Guards against a refund that exceeds its grant."""
    shard = _SimulatedShard()
    shard.request_tokens(60)
    grant = shard.request_tokens(20)
    shard.request_tokens(0, 200, grant.grant_id)
    assert shard.request_tokens(100).tokens <= 100 - 60


def test_charge_is_settled_after_the_grant_expired() -> None:
    """Guards against losing tokens that a stream reserved but did not use.

    The gateway refunds them when the stream ends, after the grant expired.
    """
    shard = _SimulatedShard()
    grant = shard.request_tokens(100)
    shard.now += 3
    shard.request_tokens(0, 30, grant.grant_id)
    shard.request_tokens(0, 50, grant.grant_id)
    shard.request_tokens(0, 50, grant.grant_id)
    assert shard.request_tokens(81).tokens == 80
