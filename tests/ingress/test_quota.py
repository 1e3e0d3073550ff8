"""Tests of team token rates over several gateways and a lease holder."""

import asyncio
import random

import pytest

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import schema
from monsoonhinge.control import config_freshness
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import token_reservation
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import budget

_RATE = 10_000.0
_BURST = 10_000
_GATEWAYS = 6
_DURATION_S = 4.0
_REQUEST_TOKENS = (200, 900, 1500, 4000)


class _FakeBudgetHolder:
    """Grants tokens from a budget that is not backed by the control log."""

    def __init__(self) -> None:
        self.budget = budget.Budget(shard="s", fencing=1, prefetch_s=0.0)
        self.budget.configure({"t": TEAM}, asyncio.get_running_loop().time())

    async def grant(self, request: messages.GrantRequest) -> messages.Grant:
        now = asyncio.get_running_loop().time()
        checkpoint = self.budget.checkpoint_needed(request, now)
        if checkpoint is not None:
            self.budget.record_commit(checkpoint)
        await asyncio.sleep(0.002)
        return self.budget.grant(request, now)


TEAM = schema.Team(name="t", tokens_per_s=_RATE, burst_tokens=_BURST)


def test_team_above_its_rate_is_served_at_its_rate() -> None:
    """Guards against tokens that stay unused while requests are refused."""
    rng = random.Random(5)

    async def run() -> tuple[int, int]:
        loop = asyncio.get_running_loop()
        holder = _FakeBudgetHolder()
        gateways = [
            quota.Quota(gateway=f"g{number}", send=holder.grant)
            for number in range(_GATEWAYS)
        ]
        started_at = loop.time()
        ran = refused = 0

        async def send_request(gateway: quota.Quota, tokens: int) -> None:
            nonlocal ran, refused
            charge = await gateway.charge(TEAM, tokens, time_left_s=8.0)
            if charge is None:
                refused += tokens
            else:
                ran += tokens

        async with asyncio.TaskGroup() as group:
            while loop.time() - started_at < _DURATION_S:
                gateway = rng.choice(gateways)
                tokens = rng.choice(_REQUEST_TOKENS)
                group.create_task(send_request(gateway, tokens))
                gateway.maintain_accounts()
                # The load is six times the rate, over all gateways together.
                await asyncio.sleep(tokens / _RATE / 6)
        for gateway in gateways:
            await gateway.stop()
        return ran, refused

    ran, refused = asyncio.run(run())
    # The last requests still wait for tokens when the load has ended.
    allowed = _BURST + _RATE * (_DURATION_S + quota.MAX_TOKEN_WAIT_S)
    assert refused > allowed
    assert 0.85 * allowed <= ran <= allowed


def _reservation(
    gateway: quota.Quota, tokens: int
) -> token_reservation.TokenReservation:
    admitted = admission.AdmittedRequest(
        route=objects.IngressRoute(
            name="r",
            host="h",
            path_prefix="/",
            execution="idempotent",
            backends=[objects.IngressBackend(service="s")],
            timeout_ms=10_000,
        ),
        service=objects.IngressService(name="s"),
        team=TEAM,
        key_hash="k",
        priority=1,
        tokens=tokens,
        freshness=config_freshness.Freshness(
            version=1, newest_version=1, staleness_s=0.0
        ),
    )
    return token_reservation.TokenReservation(
        token_quota=gateway,
        admitted=admitted,
        request_id="r",
        deadline=asyncio.get_running_loop().time() + 10.0,
    )


def test_request_that_waits_for_a_model_releases_its_tokens() -> None:
    """Guards against tokens held by requests that wait for a model load.

    A third of the rate of a busy team was charged to requests that waited for
    seconds, while requests that could run immediately were refused.
    """

    async def run() -> None:
        holder = _FakeBudgetHolder()
        gateway = quota.Quota(gateway="g", send=holder.grant)
        waiting = _reservation(gateway, _BURST)
        await waiting.acquire()
        assert waiting.held
        waiting.release()
        running = _reservation(gateway, _BURST // 2)
        await running.acquire()
        assert running.held
        # The waiting request is charged again once the rate has refilled the
        # budget.
        await waiting.acquire()
        assert waiting.held
        await gateway.stop()

    asyncio.run(run())


def test_caller_that_leaves_as_its_tokens_arrive_returns_them() -> None:
    """Guards against tokens that nobody spends and nobody returns."""

    async def run() -> None:
        holder = _FakeBudgetHolder()
        gateway = quota.Quota(gateway="g", send=holder.grant)
        loop = asyncio.get_running_loop()
        waiting = loop.create_task(
            gateway.charge(TEAM, _BURST, time_left_s=4.0)
        )
        account = gateway.accounts.account(TEAM.name)
        while True:
            if account.spent:
                break
            await asyncio.sleep(0)
        # The charge is there, and the task has not seen it yet.
        assert not waiting.done()
        waiting.cancel()
        await asyncio.wait([waiting])
        assert account.spent == 0
        await gateway.stop()

    asyncio.run(run())


def test_holder_silence_is_reported_only_without_a_holder() -> None:
    """Guards against quota events that do not tell the cause of a 429.

    The team may have used up its rate, or the budget lease holder is gone.
    """

    async def unreachable(request: messages.GrantRequest) -> messages.Grant:
        raise errors.ConnectionLost("no holder", step="grant")

    async def run() -> tuple[float, float]:
        holder = _FakeBudgetHolder()
        granted = quota.Quota(gateway="a", send=holder.grant)
        lost = quota.Quota(gateway="b", send=unreachable)
        for gateway in (granted, lost):
            await gateway.charge(TEAM, 2 * _BURST, time_left_s=1.0)
        silences = granted.holder_silent_s(), lost.holder_silent_s()
        await granted.stop()
        await lost.stop()
        return silences

    assert asyncio.run(run()) == (0.0, pytest.approx(0.25, abs=0.15))


def test_team_is_starved_after_a_request_for_tokens_that_raises() -> None:
    """Guards against a request that stays pending, so that none follows."""
    sent = 0

    async def send(request: messages.GrantRequest) -> messages.Grant:
        nonlocal sent
        sent += 1
        if sent == 1:
            raise OverflowError("not a number")
        return messages.Grant(
            team=TEAM.name, tokens=1_000, valid_ms=5_000, grant_id=sent
        )

    async def run() -> object:
        gateway = quota.Quota(gateway="g", send=send)
        charging = asyncio.create_task(
            gateway.charge(TEAM, 100, time_left_s=8.0)
        )
        for _ in range(20):
            await asyncio.sleep(0.1)
            gateway.maintain_accounts()
        charge = await asyncio.wait_for(charging, 1.0)
        await gateway.stop()
        return charge

    assert asyncio.run(run()) is not None
    assert sent > 1
