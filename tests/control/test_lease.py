"""Tests of the lease state with a model of the leader."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from monsoonhinge.control import lease_state
from monsoonhinge.protocol import commands

_TTL_S = 3.0


class Leader:
    """A leader that grants one lease and times it on its own clock."""

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
    st.sampled_from([0.05, 0.3, 1.0, 2.0]),  # seconds before the event
    st.sampled_from([0.0, 0.0, 0.1, 1.5]),  # seconds until it is received
    st.sampled_from([0.0, 0.0, 0.1, 1.5]),  # seconds until the reply arrives
    st.sampled_from(["none", "none", "none", "lose", "drain"]),
)


@given(st.lists(_EVENT, max_size=60), st.sampled_from([0.95, 1.0, 1.05]))
@settings(max_examples=300)
def test_lease_never_has_two_users(
    events: list[tuple[str, float, float, float, str]], clock_rate: float
) -> None:
    """Guards against two active schedulers when clocks drift by 5%."""
    leader = Leader()
    holders = {"a": lease_state.LeaseState(), "b": lease_state.LeaseState()}
    now = 0.0

    def check() -> None:
        users = [
            name
            for name, lease in holders.items()
            if lease.is_usable(now * clock_rate)
        ]
        assert len(users) <= 1
        if users:
            leader.expire(now)
            assert leader.holder == users[0]
            assert leader.fencing == holders[users[0]].fencing

    for name, pause_s, request_s, reply_s, fault in events:
        now += pause_s
        check()
        lease = holders[name]
        if fault == "drain":
            lease.drain()
        sent_at = now * clock_rate
        step = lease.next_step(sent_at)
        now += request_s
        check()
        if step is None or (fault == "lose" and request_s > 1):
            continue
        leader.expire(now)
        is_current = (name, lease.fencing) == (leader.holder, leader.fencing)
        result = commands.LeaseResult()
        if step is lease_state.Step.ACQUIRE:
            result = leader.acquire(name, now)
        elif step is lease_state.Step.RENEW and is_current:
            leader.renewed_at = now
        elif step is lease_state.Step.RELEASE and is_current:
            leader.holder = ""
        now += reply_s
        if fault == "lose":
            lease.handle_failure(now * clock_rate)
        elif step is lease_state.Step.ACQUIRE:
            lease.handle_acquire_result(result, now * clock_rate)
        elif step is lease_state.Step.RENEW and is_current:
            lease.handle_renewal(sent_at=sent_at, ttl_s=_TTL_S)
        elif step is lease_state.Step.RENEW:
            lease.handle_loss(now * clock_rate)
        else:
            holders[name] = lease_state.LeaseState()
        check()


def test_lease_is_renewed_without_a_gap() -> None:
    """Guards against a holder that renews its lease too late."""
    leader, lease, now = Leader(), lease_state.LeaseState(), 0.0
    unusable = 0
    while now < 30:
        now += 0.05
        match lease.next_step(now):
            case lease_state.Step.ACQUIRE:
                lease.handle_acquire_result(leader.acquire("a", now), now)
            case lease_state.Step.RENEW:
                lease.handle_renewal(sent_at=now - 0.3, ttl_s=_TTL_S)
        unusable += not lease.is_usable(now)
    assert unusable <= 1
    assert not lease.is_usable(now, for_s=_TTL_S)
    lease.drain()
    assert not lease.is_usable(now)
    assert lease.next_step(now) is lease_state.Step.RELEASE
