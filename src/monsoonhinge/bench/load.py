"""Runs a load plan."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from monsoonhinge.bench import balancer as balancers
from monsoonhinge.bench import caller as callers
from monsoonhinge.bench import plan as plans
from monsoonhinge.bench import report


async def run(
    plan: plans.Plan, *, stopping: Callable[[], bool] = lambda: False
) -> dict[str, Any]:
    """Sends the requests of a plan and returns the report; see collect."""
    return report.report(await collect(plan, stopping=stopping))


async def collect(
    plan: plans.Plan, *, stopping: Callable[[], bool] = lambda: False
) -> report.Result:
    """Sends the requests of a plan and returns what happened to each.

    Arrivals do not wait for answers, so a slow system gets no less load.

    Args:
        plan: The plan.
        stopping: Returns whether no more requests are to be sent.
    """
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()
    samples: list[report.Sample] = []
    not_sent = 0
    async with aiohttp.ClientSession(
        # Behind a balancer each request has a connection of its own: a kept
        # one may be closed by a stopping gateway as a request is sent.
        connector=aiohttp.TCPConnector(
            limit=0, force_close=bool(plan.operations)
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        balancer = balancers.Balancer(plan, session)
        watching = loop.create_task(balancer.watch())
        caller = callers.Caller(session)

        async def send(flow: plans.Flow, number: int, due: float) -> None:
            for _ in range(balancer.attempts):
                sample = await caller.send(
                    balancer.choose(), flow, number=number, due=due
                )
                if not balancer.may_resend(sample):
                    break
            samples.append(sample)

        started = loop.time()
        for number, (at, flow) in enumerate(plans.arrivals(plan)):
            due = started + at
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            if stopping():
                break
            if len(tasks) >= plan.max_in_flight:
                not_sent += 1
                continue
            task = loop.create_task(send(flow, number, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        elapsed = loop.time() - started
        watching.cancel()
    return report.Result(samples, elapsed_s=elapsed, not_sent=not_sent)
