"""Tests of the selection of targets."""

import random

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.gateway import prefix_cache
from monsoonhinge.gateway import routing
from monsoonhinge.protocol import messages
from monsoonhinge.targets import prefixes as prompt_prefixes

REQUIREMENTS = routing.Requirements(name="deposit", max_concurrency=4)


def target_state(
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


def make_router(*states: messages.TargetState) -> routing.Router:
    router = routing.Router(availability_zone="zone-1", rng=random.Random(1))
    for item in states:
        router.update(item, 0.0)
    return router


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
def test_only_usable_targets_within_concurrency(
    steps: list[tuple[str, str, int, bool]],
) -> None:
    """Guards against requests to targets that left, expired or are excluded."""
    router = make_router()
    usable: dict[str, bool] = {}
    runs: list[routing.InFlightRequest] = []
    now = 0.0
    for number, (action, name, running, leaving) in enumerate(steps):
        now += 0.1
        if action == "report":
            router.update(
                target_state(
                    name, running=running, sequence=number, leaving=leaving
                ),
                now,
            )
            usable[name] = not leaving
        elif action == "gone":
            router.remove(name)
            usable.pop(name, None)
        elif action == "start":
            chosen = router.choose(REQUIREMENTS, exclude=lambda names: {"b"})
            if chosen:
                assert usable[chosen]
                assert chosen != "b"
                runs.append(router.start(chosen, "deposit", now))
        elif runs:
            router.end(runs.pop(0), now)
        for name in usable:
            assert router.loads()[name]["deposit"] >= 0
            mine = [r for r in runs if r.target == name]
            assert usable[name] is False or len(mine) <= 4 + len(steps)


def test_concurrency_limit_holds_between_reports() -> None:
    """Guards against overloading a replica between two reports."""
    router = make_router(target_state(running=1))
    started = []
    while (chosen := router.choose(REQUIREMENTS)) and len(started) < 10:
        started.append(router.start(chosen, "deposit", 1.0))
    assert len(started) == 3
    router.end(started[0], 1.5)
    assert router.choose(REQUIREMENTS) == "a"


def test_report_and_own_requests_are_not_counted_twice() -> None:
    """Guards against counting a request both as reported and as in flight."""
    router = make_router(target_state())
    first = router.start("a", "deposit", 1.0)
    router.update(target_state(running=1, sequence=2, age_ms=100), 2.0)
    assert router.loads()["a"]["deposit"] == 1
    second = router.start("a", "deposit", 2.1)
    assert router.loads()["a"]["deposit"] == 2
    router.end(first, 2.2)
    router.end(second, 2.3)
    assert router.loads()["a"]["deposit"] == 0
    # A report made before both ended still counts the first.
    router.update(target_state(running=2, sequence=3, age_ms=300), 2.45)
    assert router.loads()["a"]["deposit"] == 0


def test_gap_in_cache_batches_clears_the_prefixes() -> None:
    """Guards against routing by prefixes that may have been evicted."""
    cache = prefix_cache.PrefixCache()
    stored = [messages.CacheEvent(prefix=5, stored=True)]
    cache.update(1, stored)
    cache.update(2, [])
    assert cache.cached_fraction([5, 6]) == 0.5
    cache.update(4, [messages.CacheEvent(prefix=6, stored=True)])
    assert cache.cached_fraction([5]) == 0
    assert cache.cached_fraction([5, 6]) == 1


def test_new_incarnation_has_an_empty_cache() -> None:
    """Guards against routing by prefixes from before a target's restart."""
    names = prompt_prefixes.prefix_hashes("deposit", b"x" * 2048)
    events = [messages.CacheEvent(prefix=names[-1], stored=True)]
    requirements = routing.Requirements(name="deposit", prefixes=names)
    cached = target_state("b", cache_batch=1, cache_events=events)
    router = make_router(target_state("a"), cached)
    assert sum(router.choose(requirements) == "b" for _ in range(200)) > 150
    router.update(target_state("b", incarnation=2, cache_batch=2), 0.0)
    assert (
        50 < sum(router.choose(requirements) == "b" for _ in range(200)) < 150
    )


def test_zone_and_load_are_preferred() -> None:
    """Guards against unnecessary traffic across zones."""
    router = make_router(target_state("a", zone="zone-2"), target_state("b"))
    assert sum(router.choose(REQUIREMENTS) == "b" for _ in range(100)) > 80
    router = make_router(target_state("a", running=3), target_state("b"))
    assert sum(router.choose(REQUIREMENTS) == "b" for _ in range(100)) > 80


def test_equal_targets_share_the_work() -> None:
    """Guards against sending all requests to one of several equal targets."""
    router = make_router(target_state("a"), target_state("b"))
    assert (
        50 < sum(router.choose(REQUIREMENTS) == "a" for _ in range(200)) < 150
    )


def test_adapter_must_be_loaded() -> None:
    """Guards against sending a request to a replica without its adapter."""
    router = make_router(target_state())
    assert (
        router.choose(routing.Requirements(name="deposit", adapter="tone"))
        == "a"
    )
    assert (
        router.choose(routing.Requirements(name="deposit", adapter="other"))
        == ""
    )
