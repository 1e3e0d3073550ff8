"""Tests of the lease holder against a model of the leader."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from monsoonhinge.control import lease_state
from monsoonhinge.protocol import commands

_TTL_S = 3.0


class Leader:
    """Times one lease on its own clock."""

    def __init__(self) -> None:
        self.holder = ""
        self.fencing = 0
        self.renewed_at = 0.0

    def expire(self, now: float) -> None:
        if self.holder and now - self.renewed_at > _TTL_S:
            self.holder = ""

    def acquire(self, holder: str, now: float) -> commands.LeaseResult:
        self.expire(now)
        if not self.holder:
            self.holder = holder
            self.fencing += 1
            self.renewed_at = now
        return commands.LeaseResult(
            granted=self.holder == holder, fencing=self.fencing
        )


_EVENT = st.tuples(
    st.sampled_from(["a", "b"]),
    st.sampled_from([0.05, 0.3, 1.0, 2.0]),  # time before the event
    st.sampled_from([0.0, 0.0, 0.1, 1.5]),  # time on the way to the leader
    st.sampled_from([0.0, 0.0, 0.1, 1.5]),  # time on the way back
    st.sampled_from(["answer", "answer", "answer", "lose", "drain"]),
)


@given(st.lists(_EVENT, max_size=60), st.sampled_from([0.95, 1.0, 1.05]))
@settings(max_examples=300)
def test_two_holders_never_use_the_lease_together(
    events: list[tuple[str, float, float, float, str]], rate: float
) -> None:
    """Guards against two active schedulers, with clocks that drift by 5%."""
    leader = Leader()
    holders = {"a": lease_state.LeaseState(), "b": lease_state.LeaseState()}
    now = 0.0

    def check() -> None:
        users = [n for n, held in holders.items() if held.is_usable(now * rate)]
        assert len(users) <= 1
        if users:
            leader.expire(now)
            assert leader.holder == users[0]
            assert leader.fencing == holders[users[0]].fencing

    for name, pause, forth, back, fault in events:
        now += pause
        check()
        held = holders[name]
        if fault == "drain":
            held.drain()
        sent_at = now * rate
        step = held.next_step(sent_at)
        now += forth
        check()
        if step is None or (fault == "lose" and forth > 1):
            continue
        leader.expire(now)
        current = (name, held.fencing) == (leader.holder, leader.fencing)
        result = commands.LeaseResult()
        if step is lease_state.Step.ACQUIRE:
            result = leader.acquire(name, now)
        elif step is lease_state.Step.RENEW and current:
            leader.renewed_at = now
        elif step is lease_state.Step.RELEASE and current:
            leader.holder = ""
        now += back
        if fault == "lose":
            held.handle_failure(now * rate)
        elif step is lease_state.Step.ACQUIRE:
            held.handle_acquire_result(result, now * rate)
        elif step is lease_state.Step.RENEW and current:
            held.handle_renewal(sent_at=sent_at, ttl_s=_TTL_S)
        elif step is lease_state.Step.RENEW:
            held.handle_loss(now * rate)
        else:
            holders[name] = lease_state.LeaseState()
        check()


def test_lease_is_kept_without_a_gap() -> None:
    """Guards against a holder that renews too late."""
    leader, held, now = Leader(), lease_state.LeaseState(), 0.0
    unusable = 0
    while now < 30:
        now += 0.05
        match held.next_step(now):
            case lease_state.Step.ACQUIRE:
                held.handle_acquire_result(leader.acquire("a", now), now)
            case lease_state.Step.RENEW:
                held.handle_renewal(sent_at=now - 0.3, ttl_s=_TTL_S)
        unusable += not held.is_usable(now)
    assert unusable <= 1
    assert not held.is_usable(now, for_s=_TTL_S)
    held.drain()
    assert not held.is_usable(now)
    assert held.next_step(now) is lease_state.Step.RELEASE
