"""Tests of the fair queue."""

import itertools

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.gateway import queue

_TEAMS = ("bars", "depots", "trucks")
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["push", "push", "pop", "poor", "remove", "time", "withdraw"]
        ),
        st.sampled_from(_TEAMS),
        st.sampled_from(["deposit", "rounds"]),
        st.integers(1, 50),
    ),
    max_size=120,
)


def entry(
    team: str,
    *,
    resource: str = "deposit",
    tokens: int = 1,
    deadline: float = 9.0,
) -> queue.QueuedRequest:
    return queue.QueuedRequest(
        resource=resource,
        team=team,
        key_hash=f"key-{team}",
        tokens=tokens,
        size_bytes=tokens,
        queue_deadline=deadline,
    )


@hypothesis.given(steps=_STEPS)
def test_every_request_leaves_once_and_in_time(
    steps: list[tuple[str, str, str, int]],
) -> None:
    """Guards against requests that are lost, served twice or never expire."""
    waiting = queue.Queue(max_count=20, max_bytes=500)
    queued: set[queue.QueuedRequest] = set()
    now = 0.0
    for action, team, resource, size in steps:
        if action == "push":
            added = entry(
                team, resource=resource, tokens=size, deadline=now + size / 8
            )
            if waiting.push(added):
                queued.add(added)
        elif action in ("pop", "poor"):
            popped = waiting.pop(resource, lambda t, a=action: a == "pop")
            assert popped is None or popped in queued
            queued.discard(popped)
            waiting.unblock(team)
        elif action == "remove" and queued:
            gone = min(queued, key=lambda t: t.queue_deadline)
            waiting.remove(gone)
            waiting.remove(gone)
            queued.discard(gone)
        elif action == "time":
            now += size / 16
            expired = waiting.expire(now)
            assert set(expired) == {
                t for t in queued if t.queue_deadline <= now
            }
            queued.difference_update(expired)
        elif action == "withdraw":
            removed = waiting.remove_key(f"key-{team}")
            assert set(removed) == {t for t in queued if t.team == team}
            queued.difference_update(removed)
        assert waiting.count == len(queued) <= waiting.max_count
        assert waiting.size_bytes == sum(t.size_bytes for t in queued)
        assert waiting.next_deadline() == min(
            (t.queue_deadline for t in queued), default=None
        )
        assert sum(w.count for w in waiting.waiting_counts()) == len(queued)
    for resource, team in itertools.product(("deposit", "rounds"), _TEAMS):
        waiting.unblock(team)
        while (popped := waiting.pop(resource, lambda t: True)) is not None:
            queued.remove(popped)
    assert not queued


@hypothesis.given(
    sizes=st.lists(st.integers(1, 40), min_size=3, max_size=3),
    weights=st.lists(st.integers(1, 4), min_size=3, max_size=3),
)
def test_shares_follow_weights_in_tokens(
    sizes: list[int], weights: list[int]
) -> None:
    """Guards against shares that count requests instead of tokens."""
    waiting = queue.Queue(max_count=10**6, max_bytes=10**9)
    for _ in range(400):
        for team, size, weight in zip(_TEAMS, sizes, weights, strict=True):
            added = entry(team, tokens=size)
            added.weight = weight
            assert waiting.push(added)
    served = dict.fromkeys(_TEAMS, 0)
    for _ in range(400):
        popped = waiting.pop("deposit", lambda t: True)
        assert popped is not None
        served[popped.team] += popped.tokens
    shares = [served[t] / w for t, w in zip(_TEAMS, weights, strict=True)]
    most = max(s / w for s, w in zip(sizes, weights, strict=True))
    assert max(shares) - min(shares) <= 2 * most


def test_idle_team_gets_no_credit() -> None:
    """Guards against a team that delays all others after it was idle."""
    waiting = queue.Queue(max_count=10**4, max_bytes=10**6)
    for _ in range(200):
        waiting.push(entry("bars", tokens=10))
    for _ in range(100):
        waiting.pop("deposit", lambda t: True)
    for _ in range(50):
        waiting.push(entry("depots", tokens=10))
    order = [waiting.pop("deposit", lambda t: True) for _ in range(20)]
    assert sum(t is not None and t.team == "bars" for t in order) >= 9


@hypothesis.given(sizes=st.lists(st.integers(1, 30), max_size=80))
def test_one_team_cannot_fill_the_queue(sizes: list[int]) -> None:
    """Guards against a team that fills the queue alone."""
    waiting = queue.Queue(max_count=20, max_bytes=200)
    for size in sizes:
        waiting.push(entry("bars", tokens=size))
    assert waiting.count <= 10
    assert waiting.size_bytes <= 100
    assert waiting.push(entry("depots", tokens=30))


def test_team_without_tokens_does_not_block_others() -> None:
    """Guards against a team without tokens that delays other teams."""
    waiting = queue.Queue(max_count=20, max_bytes=200)
    blocked, funded = entry("bars"), entry("depots")
    waiting.push(blocked)
    waiting.push(funded)
    assert waiting.pop("deposit", lambda t: t is funded) is funded
    assert waiting.pop("deposit", lambda t: True) is None
    assert waiting.blocked_tokens("bars") == blocked.tokens
    assert waiting.unblock("bars") == {"deposit"}
    assert waiting.pop("deposit", lambda t: True) is blocked


def test_requests_with_later_deadlines_are_not_refused() -> None:
    """Guards against refusing requests that can be served in time."""
    waiting = queue.Queue(max_count=20, max_bytes=200)
    early, late = entry("bars", deadline=1.0), entry("bars", deadline=5.0)
    waiting.push(late)
    waiting.push(early)
    assert waiting.remove_due_before("deposit", before=3.0) == [early]
    assert waiting.count == 1
