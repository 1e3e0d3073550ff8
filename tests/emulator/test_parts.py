"""Unit tests of the parts of emulated targets."""

import asyncio
from typing import Any

from monsoonhinge.emulator import batching
from monsoonhinge.emulator import faults
from monsoonhinge.emulator import memory
from monsoonhinge.emulator import prefixcache
from monsoonhinge.emulator import weightstore
from monsoonhinge.targets import prefixes


def test_slots_serve_the_highest_priority_first() -> None:
    """Guards against ignored priorities and slots lost on cancellation."""

    async def run() -> list[str]:
        slots = batching.Slots(1)
        served: list[str] = []

        async def use(name: str, priority: int) -> None:
            await slots.acquire(priority)
            served.append(name)
            slots.release()

        await slots.acquire(0)
        tasks = [
            asyncio.create_task(use("review", 0)),
            asyncio.create_task(use("refund", 5)),
            asyncio.create_task(use("gone", 9)),
        ]
        await asyncio.sleep(0)
        tasks[2].cancel()
        slots.release()
        await asyncio.wait(tasks)
        assert (slots.running, slots.waiting, slots.peak_running) == (0, 0, 1)
        return served

    assert asyncio.run(run()) == ["refund", "review"]


def test_slot_given_to_a_cancelled_request_is_returned() -> None:
    """Guards against a lost slot.

    The request is cancelled after a slot was assigned to it, but before it
    resumes.
    """

    async def run() -> int:
        slots = batching.Slots(1)
        await slots.acquire(0)
        task = asyncio.create_task(slots.acquire(0))
        await asyncio.sleep(0)
        slots.release()
        task.cancel()
        await asyncio.wait([task])
        return slots.running

    assert asyncio.run(run()) == 0


def test_memory_refuses_what_does_not_fit() -> None:
    """Guards against a memory overcommit that is not counted."""
    engine = memory.Memory(total_bytes=10)
    assert engine.reserve("a", 6)
    assert not engine.reserve("b", 5)
    engine.release("a")
    assert engine.reserve("b", 5)
    assert (engine.overcommit_attempts, engine.peak_bytes) == (1, 6)


def test_cache_events_are_late_and_have_gaps() -> None:
    """Guards against tests of lost cache events in which none is lost."""
    cache = prefixcache.PrefixCache(size=2, lag_s=1.0, drop_every=2)
    assert cache.lookup_and_store([1, 2], now=0.0) == 0.0
    assert cache.lookup_and_store([1, 2], now=0.0) == 1.0
    assert cache.next_batch(0.5) == (0, [])
    number, events = cache.next_batch(1.0)
    assert (number, [item["prefix"] for item in events]) == (1, [1, 2])
    cache.lookup_and_store([3], now=1.0)
    # The second batch is dropped: its number is never announced.
    assert cache.next_batch(2.0) == (1, [])
    cache.lookup_and_store([4], now=2.0)
    assert cache.next_batch(3.0)[0] == 3


def test_loads_beyond_the_full_speed_take_longer() -> None:
    """Guards against loads that do not share the store's bandwidth."""

    async def run() -> weightstore.WeightStore:
        store = weightstore.WeightStore(full_speed_loads={"model": 2})
        await asyncio.gather(
            *(
                store.load(kind="model", load_id=str(n), load_s=0.1)
                for n in range(4)
            )
        )
        return store

    store = asyncio.run(run())
    assert store.peak_loads == {"model": 4}
    assert store.active_loads == {"model": 0}
    # Four loads run at half speed each; a busy machine only adds time.
    assert all(load["seconds"] >= 0.19 for load in store.recent_loads)


def test_fault_applies_to_its_path_and_count() -> None:
    """Guards against faults injected into the wrong requests."""
    injector = faults.FaultInjector([])
    injector.replace(
        faults.parse_faults(
            b'[{"kind": "delay", "count": 1, "path_prefix": "/v1"}]'
        )
    )
    assert injector.consume("delay", "/refunds") is None
    assert injector.consume("crossed", "/v1/x") is None
    assert injector.consume("delay", "/v1/x") is not None
    assert injector.consume("delay", "/v1/x") is None
    assert injector.injected_counts == {"delay": 1}


def test_prefixes_of_equal_prompts_are_equal() -> None:
    """Guards against cached prompts that gateways cannot recognize."""
    text = "a" * 1200
    body: dict[str, Any] = {"prompt": text}
    first = list(prefixes.prefix_hashes("m", prefixes.extract_prompt(body)))
    longer = list(prefixes.prefix_hashes("m", (text + "b" * 600).encode()))
    assert len(first) == 2
    assert longer[:2] == first
    other = prefixes.prefix_hashes("other", text.encode())
    assert set(other).isdisjoint(first)
    assert all(0 <= item < 2**63 for item in longer)
