"""Tests of a gateway that keeps to the rate limits of targets."""

import asyncio
from collections.abc import Awaitable, Callable

from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import rate_limiter
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import errors

_REQUIREMENTS = load_balancer.Requirements("s")


def _target(table: target_table.TargetTable) -> target_table.Target:
    table.register(
        fleet.Registration(
            target="i-1",
            incarnation=1,
            service="s",
            address="127.0.0.1:1",
            state="ready",
        ),
        0.0,
    )
    return table.by_name["i-1"]


def _limiter(
    request_permit: Callable[[str], Awaitable[float]],
    reports: list[fleet.RateLimits] | None = None,
) -> rate_limiter.RateLimiter:
    return rate_limiter.RateLimiter(
        request_permit=request_permit,
        report=[].append if reports is None else reports.append,
        dispatch_at=lambda at: None,
    )


async def _no_holder(target: str) -> float:
    raise errors.ConnectionLost("no holder", step="permit")


async def _denied(target: str) -> float:
    return 0.2


def test_target_without_a_permit_is_not_chosen_until_there_may_be_one() -> None:
    """Guards against a gateway that waits at one target beside a free one."""

    async def run() -> None:
        table = target_table.TargetTable()
        target = _target(table)
        balancer = load_balancer.LoadBalancer(
            targets=table, availability_zone="a"
        )
        limiter = _limiter(_denied)
        now = asyncio.get_running_loop().time()
        limiter.record_response(target, 1.0, sent_at=now, now=now)
        assert balancer.eligible(_REQUIREMENTS, now) == [target]
        assert not await limiter.acquire(target)
        assert not balancer.eligible(_REQUIREMENTS, now)
        assert balancer.eligible(_REQUIREMENTS, now + 0.3) == [target]

    asyncio.run(run())


def test_requests_of_one_gateway_ask_for_one_permit_at_a_time() -> None:
    """Guards against a flood of permit requests when many requests wait."""
    asked = 0

    async def request_permit(target: str) -> float:
        nonlocal asked
        asked += 1
        await asyncio.sleep(0.01)
        return 0.0 if asked == 1 else 0.5

    async def run() -> list[bool]:
        target = _target(target_table.TargetTable())
        limiter = _limiter(request_permit)
        limiter.record_response(target, 1.0, sent_at=0.0, now=0.0)
        return list(
            await asyncio.gather(*(limiter.acquire(target) for _ in range(50)))
        )

    assert sum(asyncio.run(run())) == 1
    assert asked == 2


def test_gateways_without_a_lease_holder_stay_within_the_limit_together() -> (
    None
):
    """Guards against a burst of all gateways once the holder is lost."""
    gateways, requests_per_s, duration_s = 9, 4.0, 2.0

    async def run() -> int:
        loop = asyncio.get_running_loop()
        pairs = []
        for _ in range(gateways):
            limiter = _limiter(_no_holder)
            limiter.gateway_count = gateways
            target = _target(target_table.TargetTable())
            limiter.record_response(
                target, requests_per_s, sent_at=0.0, now=loop.time()
            )
            pairs.append((limiter, target))
        granted = 0
        end = loop.time() + duration_s
        while loop.time() < end:
            for limiter, target in pairs:
                granted += await limiter.acquire(target)
            await asyncio.sleep(0.02)
        return granted

    assert asyncio.run(run()) <= requests_per_s * duration_s + gateways / 2


def test_response_sent_before_the_limit_was_known_does_not_end_it() -> None:
    """Guards against a limit lifted by a response that it has overtaken."""

    async def run() -> None:
        target = _target(target_table.TargetTable())
        reports: list[fleet.RateLimits] = []
        limiter = _limiter(_denied, reports)
        limiter.record_response(target, 2.0, sent_at=0.5, now=1.0)
        limiter.record_response(target, None, sent_at=0.9, now=1.1)
        assert target.rate_limit is not None
        limiter.record_response(target, None, sent_at=1.2, now=1.3)
        assert target.rate_limit is None
        (first,), (second,) = (message.limits for message in reports)
        assert (first.limited, first.requests_per_s) == (True, 2.0)
        assert not second.limited

    asyncio.run(run())


def test_limit_of_another_incarnation_is_not_applied() -> None:
    """Guards against a restarted target held to its old limit."""

    async def run() -> None:
        table = target_table.TargetTable()
        target = _target(table)
        limiter = _limiter(_denied)
        item = fleet.RateLimit(
            target="i-1", incarnation=0, limited=True, requests_per_s=1.0
        )
        limiter.apply(fleet.RateLimits(limits=[item]), table, 0.0)
        assert target.rate_limit is None
        item.incarnation = 1
        limiter.apply(fleet.RateLimits(limits=[item]), table, 0.0)
        assert target.rate_limit is not None

    asyncio.run(run())
