"""Tests of the token rates over several gateways and their holder."""

import asyncio
import random

import pytest

from monsoonhinge.config import ingress as objects
from monsoonhinge.config import schema
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


class _Holder:
    """Grants tokens without a log behind it."""

    def __init__(self) -> None:
        self.budget = budget.Budget(shard="s", fencing=1, prefetch_s=0.0)
        self.budget.configure({"t": TEAM}, asyncio.get_running_loop().time())

    async def grant(self, request: messages.GrantRequest) -> messages.Grant:
        now = asyncio.get_running_loop().time()
        checkpoint = self.budget.checkpoint_needed(request, now)
        if checkpoint is not None:
            self.budget.committed(checkpoint)
        await asyncio.sleep(0.002)
        return self.budget.grant(request, now)


TEAM = schema.Team(name="t", tokens_per_s=_RATE, burst_tokens=_BURST)


def test_team_over_its_rate_still_gets_its_rate() -> None:
    """Guards against tokens that lie unused while requests are refused."""
    rng = random.Random(5)

    async def run() -> tuple[int, int]:
        loop = asyncio.get_running_loop()
        holder = _Holder()
        gateways = [
            quota.Quota(gateway=f"g{number}", send=holder.grant)
            for number in range(_GATEWAYS)
        ]
        started_at = loop.time()
        ran = refused = 0

        async def one(gateway: quota.Quota, tokens: int) -> None:
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
                group.create_task(one(gateway, tokens))
                gateway.tick()
                # Six times the rate over all gateways.
                await asyncio.sleep(tokens / _RATE / 6)
        for gateway in gateways:
            await gateway.stop()
        return ran, refused

    ran, refused = asyncio.run(run())
    # The last requests wait for tokens after the load has ended.
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
        version=1,
    )
    return token_reservation.TokenReservation(
        token_quota=gateway,
        admitted=admitted,
        request_id="r",
        deadline=asyncio.get_running_loop().time() + 10.0,
    )


def test_request_that_waits_for_a_model_holds_no_tokens() -> None:
    """Guards against a team's tokens that lie with requests for rare models.

    A third of the rate of a busy team was charged to requests that waited
    for seconds, while others that could run at once were refused.
    """

    async def run() -> None:
        holder = _Holder()
        gateway = quota.Quota(gateway="g", send=holder.grant)
        waiting = _reservation(gateway, _BURST)
        await waiting.acquire()
        assert waiting.held
        waiting.release()
        running = _reservation(gateway, _BURST // 2)
        await running.acquire()
        assert running.held
        # The one that waited gets its tokens once the rate has earned them.
        await waiting.acquire()
        assert waiting.held
        await gateway.stop()

    asyncio.run(run())


def test_refusal_tells_whether_the_holder_of_the_rates_is_gone() -> None:
    """Guards against a 429 whose line does not tell the two causes apart."""

    async def silent(request: messages.GrantRequest) -> messages.Grant:
        raise errors.ConnectionLost("no member grants", step="grant")

    async def run() -> tuple[float, float]:
        holder = _Holder()
        granted = quota.Quota(gateway="a", send=holder.grant)
        lost = quota.Quota(gateway="b", send=silent)
        for gateway in (granted, lost):
            await gateway.charge(TEAM, 2 * _BURST, time_left_s=1.0)
        silences = granted.holder_silent_s(), lost.holder_silent_s()
        await granted.stop()
        await lost.stop()
        return silences

    assert asyncio.run(run()) == (0.0, pytest.approx(0.25, abs=0.15))
