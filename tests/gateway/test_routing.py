"""Choice of targets."""

import random

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.gateway import prefixes
from monsoonhinge.gateway import routing
from monsoonhinge.protocol import messages
from monsoonhinge.targets import prefixes as prompt_prefixes

NEED = routing.Need(name="deposit", max_concurrency=4)


def state(
    target: str = "a",
    *,
    running: int = 0,
    sequence: int = 1,
    incarnation: int = 1,
    zone: str = "zone-1",
    **fields: object,
) -> messages.TargetState:
    replica = messages.ReplicaState(
        model="deposit", state="loaded", adapters=["tone"], running=running
    )
    return messages.TargetState(
        target=target,
        incarnation=incarnation,
        sequence=sequence,
        availability_zone=zone,
        address="127.0.0.1:1",
        replicas=[replica],
        **fields,  # type: ignore[arg-type]
    )


def router(*states: messages.TargetState) -> routing.Router:
    made = routing.Router(availability_zone="zone-1", rng=random.Random(1))
    for item in states:
        made.update(item, 0.0)
    return made


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["start", "start", "end", "report", "gone"]),
            st.sampled_from("abc"),
            st.integers(0, 5),
            st.sampled_from([True, False, False, False]),
        ),
        max_size=80,
    )
)
def test_only_able_targets_within_concurrency(
    steps: list[tuple[str, str, int, bool]],
) -> None:
    """Guards against work for targets that left, expired or are full."""
    made = router()
    usable: dict[str, bool] = {}
    runs: list[routing.Run] = []
    now = 0.0
    for number, (action, name, running, leaving) in enumerate(steps):
        now += 0.1
        if action == "report":
            made.update(
                state(name, running=running, sequence=number, leaving=leaving),
                now,
            )
            usable[name] = not leaving
        elif action == "gone":
            made.remove(name)
            usable.pop(name, None)
        elif action == "start":
            chosen = made.pick(NEED, exclude=lambda names: {"b"})
            if chosen:
                assert usable[chosen]
                assert chosen != "b"
                runs.append(made.start(chosen, "deposit", now))
        elif runs:
            made.end(runs.pop(0), now)
        for name in usable:
            assert made.loads()[name]["deposit"] >= 0
            mine = [r for r in runs if r.target == name]
            assert usable[name] is False or len(mine) <= 4 + len(steps)


def test_concurrency_limit_holds_between_reports() -> None:
    """Guards against overload of a replica whose report is late."""
    made = router(state(running=1))
    started = []
    while (chosen := made.pick(NEED)) and len(started) < 10:
        started.append(made.start(chosen, "deposit", 1.0))
    assert len(started) == 3
    made.end(started[0], 1.5)
    assert made.pick(NEED) == "a"


def test_report_and_own_requests_are_not_counted_twice() -> None:
    """Guards against counting a request in the report and in flight."""
    made = router(state())
    first = made.start("a", "deposit", 1.0)
    made.update(state(running=1, sequence=2, age_ms=100), 2.0)
    assert made.loads()["a"]["deposit"] == 1
    second = made.start("a", "deposit", 2.1)
    assert made.loads()["a"]["deposit"] == 2
    made.end(first, 2.2)
    made.end(second, 2.3)
    assert made.loads()["a"]["deposit"] == 0
    # A report made before both ended still counts the first.
    made.update(state(running=2, sequence=3, age_ms=300), 2.45)
    assert made.loads()["a"]["deposit"] == 0


def test_gap_in_cache_batches_forgets() -> None:
    """Guards against routing by prefixes that the target may have evicted."""
    cache = prefixes.Cache()
    stored = [messages.CacheEvent(prefix=5, stored=True)]
    cache.update(1, stored)
    cache.update(2, [])
    assert cache.matched([5, 6]) == 0.5
    cache.update(4, [messages.CacheEvent(prefix=6, stored=True)])
    assert cache.matched([5]) == 0
    assert cache.matched([5, 6]) == 1


def test_new_incarnation_has_an_empty_cache() -> None:
    """Guards against prefixes of a target that was restarted."""
    names = prompt_prefixes.prefix_hashes("deposit", b"x" * 2048)
    events = [messages.CacheEvent(prefix=names[-1], stored=True)]
    need = routing.Need(name="deposit", prefixes=names)
    cached = state("b", cache_batch=1, cache_events=events)
    made = router(state("a"), cached)
    assert sum(made.pick(need) == "b" for _ in range(200)) > 150
    made.update(state("b", incarnation=2, cache_batch=2), 0.0)
    assert 50 < sum(made.pick(need) == "b" for _ in range(200)) < 150


def test_zone_and_load_are_preferred() -> None:
    """Guards against traffic across zones without need."""
    made = router(state("a", zone="zone-2"), state("b"))
    assert sum(made.pick(NEED) == "b" for _ in range(100)) > 80
    made = router(state("a", running=3), state("b"))
    assert sum(made.pick(NEED) == "b" for _ in range(100)) > 80


def test_equal_targets_share_the_work() -> None:
    """Guards against herding onto one of several equal targets."""
    made = router(state("a"), state("b"))
    assert 50 < sum(made.pick(NEED) == "a" for _ in range(200)) < 150


def test_adapter_must_be_loaded() -> None:
    """Guards against a request to a replica without its adapter."""
    made = router(state())
    assert made.pick(routing.Need(name="deposit", adapter="tone")) == "a"
    assert made.pick(routing.Need(name="deposit", adapter="other")) == ""
