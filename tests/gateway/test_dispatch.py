"""Tests of the dispatch of waiting requests."""

import asyncio

from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import queue
from monsoonhinge.gateway import routing
from tests.gateway import test_routing


def _job(max_concurrency: int) -> dispatch.Job:
    loop = asyncio.get_running_loop()
    return dispatch.Job(
        requirements=routing.Requirements(
            name="deposit", max_concurrency=max_concurrency
        ),
        team="t",
        weight=1.0,
        key_hash="",
        tokens=1,
        size_bytes=1,
        deadline=loop.time() + 10.0,
        check_authorization=lambda: None,
    )


def test_waiting_request_uses_a_limit_that_was_raised_meanwhile() -> None:
    """Guards against a KeyError for a request that waited under a lower one."""

    async def run() -> None:
        dispatcher = dispatch.Dispatcher(
            waiting_queue=queue.Queue(max_count=10, max_bytes=1000),
            router=test_routing.make_router(test_routing.target_state()),
            accounts=None,
        )
        await dispatcher.acquire(_job(1))
        waiting = asyncio.create_task(dispatcher.acquire(_job(1)))
        await asyncio.sleep(0)
        async with asyncio.timeout(5.0):
            later = asyncio.create_task(dispatcher.acquire(_job(3)))
            slots = await asyncio.gather(waiting, later)
        assert [slot.in_flight.target for slot in slots] == ["a", "a"]

    asyncio.run(run())
