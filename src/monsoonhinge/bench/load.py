"""Runs a load plan."""

import asyncio
import itertools
from typing import Any

import aiohttp

from monsoonhinge.bench import caller as callers
from monsoonhinge.bench import plan as plans
from monsoonhinge.bench import report


async def run(plan: plans.Plan) -> dict[str, Any]:
    """Sends the requests of a plan and returns the report.

    Arrivals do not wait for answers, so a slow system gets no less load.
    """
    loop = asyncio.get_running_loop()
    gateways = itertools.cycle(plan.gateways)
    tasks: set[asyncio.Task[None]] = set()
    samples: list[report.Sample] = []
    not_sent = 0
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        caller = callers.Caller(session)

        async def send(flow: plans.Flow, number: int, due: float) -> None:
            samples.append(
                await caller.send(next(gateways), flow, number=number, due=due)
            )

        started = loop.time()
        for number, (at, flow) in enumerate(plans.arrivals(plan)):
            due = started + at
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            if len(tasks) >= plan.max_in_flight:
                not_sent += 1
                continue
            task = loop.create_task(send(flow, number, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        elapsed = loop.time() - started
    return report.report(samples, elapsed_s=elapsed, not_sent=not_sent)
