"""Requests of callers on their way to targets."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st
import pytest
import uvloop

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from tests.gateway import standins

_ONCE = {"Idempotency-Key": "once"}
_REFUND = "/services/ledger/refunds/1"


async def _die(
    request: standins.Received, writer: asyncio.StreamWriter
) -> None:
    writer.transport.abort()


def _slow(seconds: float, body: bytes = b"credited") -> standins.Respond:
    async def respond(
        request: standins.Received, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        writer.write(standins.answer(request, body))

    return respond


async def test_caller_that_leaves_does_not_cancel_a_call() -> None:
    """Guards against refunds without a record."""
    async with standins.running(_slow(0.2)) as gateway:
        task = asyncio.create_task(
            gateway.post(_REFUND, headers=_ONCE).__aenter__()
        )
        await standins.until(lambda: gateway.targets[0].received)
        task.cancel()
        gateway.withdraw()
        await standins.until(
            lambda: gateway.control.calls["once"].state == "finished"
        )
        assert gateway.control.calls["once"].body == b"credited"
        assert not gateway.targets[0].closed.is_set()


async def test_repeat_waits_for_the_first_call() -> None:
    """Guards against a call that runs twice (P10)."""
    async with standins.running(_slow(0.3), _slow(0.3)) as gateway:
        posts = [gateway.post(_REFUND, headers=_ONCE) for _ in range(3)]
        answers = await asyncio.gather(*(p.__aenter__() for p in posts))
        texts = [await answer.text() for answer in answers]
        assert texts == ["credited"] * 3
        assert sum(len(t.received) for t in gateway.targets) == 1


async def test_large_answer_is_not_kept() -> None:
    """Guards against a cut recorded answer or a second run."""
    async with standins.running(_slow(0, b"x" * 101)) as gateway:
        async with gateway.post(_REFUND, headers=_ONCE) as response:
            assert len(await response.read()) == 101
        got = await gateway.error(_REFUND, headers=_ONCE)
        assert got == (409, "answer_not_kept", False)
        assert len(gateway.targets[0].received) == 1


async def test_lost_claim_is_released() -> None:
    """Guards against a key that stays claimed by a call that never ran."""
    async with standins.running(standins.respond_whole) as gateway:
        gateway.control.lost_replies = 3
        got = await gateway.error(_REFUND, headers=_ONCE)
        assert got == (503, "claim_unconfirmed", True)
        await standins.until(lambda: not gateway.control.calls)
        async with gateway.post(_REFUND, headers=_ONCE) as response:
            assert response.status == 200


async def test_call_is_not_retried_after_sending() -> None:
    """Guards against a second run of a refund whose answer was lost (P10)."""
    async with standins.running(_die, _die) as gateway:
        got = await gateway.error(_REFUND, headers=_ONCE)
        assert got == (503, "answer_lost", "unknown")
        assert sum(len(t.received) for t in gateway.targets) == 1


async def test_safe_requests_are_retried_elsewhere() -> None:
    """Guards against refusals while another target could answer."""
    async with standins.running(_die, standins.respond_whole) as gateway:
        for _ in range(10):
            async with gateway.post() as response:
                assert response.status == 200
        assert len(gateway.targets[0].received) <= 2


async def test_refusal_after_a_lost_answer_is_not_called_unrun() -> None:
    """Guards against "not run" for a request whose first attempt ran (P9)."""

    async def die_and_leave(
        request: standins.Received, writer: asyncio.StreamWriter
    ) -> None:
        gateway.announce(gateway.targets[0], leaving=True)
        writer.transport.abort()

    async with standins.running(die_and_leave) as gateway:
        got = await gateway.error(headers={"X-Request-Timeout": "0.3"})
        assert got == (504, "deadline_exceeded", "unknown")


async def test_unsent_call_is_released() -> None:
    """Guards against an unreachable target that uses up a key."""
    async with standins.running(standins.respond_whole) as gateway:
        await gateway.targets[0].stop()
        got = await gateway.error(_REFUND, headers=_ONCE)
        assert got == (503, "target_unreachable", True)
        await standins.until(lambda: not gateway.control.calls)


async def test_grants_limit_what_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs beyond the granted tokens (P7)."""
    # Grants are asked for when they are needed, not at the next tick.
    monkeypatch.setattr("monsoonhinge.gateway.grants._TICK_S", 60)
    granted = 0

    async def grant(
        message: messages.GrantRequest, kind: type, *, timeout: float
    ) -> messages.Grant:
        nonlocal granted
        tokens = max(0, min(message.wanted, 100 - granted))
        granted += tokens
        return messages.Grant(grant_id=granted, tokens=tokens, valid_ms=60_000)

    async with standins.running(
        standins.respond_whole, enforce_budgets=True
    ) as gateway:
        gateway.process.schedulers.request = grant  # type: ignore
        body = {"model": "ask", "max_tokens": 20}
        codes = []
        for _ in range(15):
            async with gateway.post(
                json=body, headers={"X-Request-Timeout": "0.15"}
            ) as response:
                codes.append(response.status)
                if response.status == 429:
                    assert int(response.headers["Retry-After"]) >= 1
        assert set(codes) == {200, 429}
        # Each run uses 9 prompt tokens and 3 output tokens.
        assert codes.count(200) * 12 <= granted <= 100
        account = gateway.process.dispatcher.wallet.accounts["bars"]  # type: ignore
        assert account.spent == codes.count(200) * 12
        body["max_tokens"] = 6000
        assert await gateway.error(json=body) == (429, "exceeds_burst", True)


async def test_silent_holder_leads_to_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that hang while no scheduler answers."""
    monkeypatch.setattr("monsoonhinge.gateway.grants._HOLDER_ABSENT_S", 0.3)

    async def silent(*args: object, timeout: float) -> None:
        await asyncio.sleep(0.05)
        raise errors.RequestTimeout("silent")

    async with standins.running(
        standins.respond_whole, enforce_budgets=True
    ) as gateway:
        gateway.process.schedulers.request = silent  # type: ignore
        async with asyncio.timeout(2):
            assert await gateway.error() == (429, "rate_limited", True)
        assert not gateway.targets[0].received


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: 5\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        b"Content-Length: 2\r\nAuthorization: Bearer x\r\n",
        b"Content-Length: 2\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n",
        b"Content-Length: 2\r\nX-Request-Timeout: nan\r\n",
    ],
)
async def test_smuggled_headers_are_refused(head: bytes) -> None:
    """Guards against requests that two readers understand differently."""
    async with standins.running(standins.respond_whole) as gateway:
        body = b"{}" if b"Length: 2" in head else b"{}ABC"
        got = await gateway.raw(_head("POST", _REFUND) + head + b"\r\n" + body)
        # Those that break HTTP itself are refused by the HTTP parser.
        assert got.split()[1] == b"400", got
        assert (b"invalid_header" in got) == (b"Length: 2" in head)
        assert not gateway.targets[0].received


@pytest.mark.parametrize(
    "path",
    [
        "//refunds/1",
        "/./refunds/1",
        "/x/../refunds/1",
        "/%2e/refunds/1",
        "/%2frefunds/1",
        "/x%5c..%5crefunds/1",
        "/;a/refunds/1",
        "/%00refunds/1",
    ],
)
async def test_ambiguous_path_is_refused(path: str) -> None:
    """Guards against refunds that avoid the claim by their spelling (P10)."""
    async with standins.running(standins.respond_whole) as gateway:
        request = _head("POST", f"/services/ledger{path}")
        got = await gateway.raw(request + b"Content-Length: 0\r\n\r\n")
        assert got.startswith(b"HTTP/1.1 400 "), got
        encoded = _head("POST", "/services/ledger/%72efunds/1")
        got = await gateway.raw(encoded + b"Content-Length: 0\r\n\r\n")
        assert b"idempotency_key_required" in got
        assert not gateway.targets[0].received


async def test_body_limit_of_a_route() -> None:
    """Guards against bodies that fill the memory."""
    async with standins.running(standins.respond_whole) as gateway:
        got = await gateway.error("/services/ledger/a", data=b"x" * 1001)
        assert got == (413, "body_too_large", True)

        async def parts():  # type: ignore
            for _ in range(20):
                yield b"x" * 100

        got = await gateway.error("/services/ledger/a", data=parts())
        assert got == (413, "body_too_large", True)
        assert not gateway.targets[0].received


async def test_leaving_and_expired_targets_get_nothing() -> None:
    """Guards against new work for a target that leaves (P11)."""
    async with standins.running(
        standins.respond_whole, standins.respond_whole
    ) as gateway:
        first, second = gateway.targets
        gateway.announce(first, leaving=True)
        for _ in range(20):
            async with gateway.post() as response:
                assert response.status == 200
        assert not first.received
        gateway.announce(second, age_ms=2500)
        await asyncio.sleep(0.8)
        short = {"X-Request-Timeout": "0.1"}
        got = await gateway.error(headers=short)
        assert got == (504, "deadline_exceeded", True)
        assert len(second.received) == 20


async def test_adapter_route_waits_until_it_is_loaded() -> None:
    """Guards against runs on the base model instead of the adapter."""
    async with standins.running(standins.respond_whole) as gateway:
        target = gateway.targets[0]
        document = {"model": "tone", "max_tokens": 5}
        task = asyncio.create_task(gateway.post(json=document).__aenter__())
        await asyncio.sleep(0.2)
        assert not target.received
        demands = [m for m in gateway.sent if isinstance(m, messages.Demand)]
        item = demands[-1].items[0]
        assert (item.model, item.adapter, item.team) == (
            "deposit",
            "tone",
            "bars",
        )
        assert (item.waiting, item.running) == (1, 0)
        assert 55_000 < item.earliest_deadline_ms <= 60_000
        loaded = messages.ReplicaState(
            model="deposit", state="loaded", adapters=["tone"]
        )
        gateway.announce(target, replicas=[loaded])
        assert (await task).status == 200
        assert b'"model": "tone"' in target.received[0].raw


async def test_verdict_refuses_what_cannot_be_in_time() -> None:
    """Guards against callers that wait for a model that comes too late."""
    async with standins.running(announced=False) as gateway:
        short = {"X-Request-Timeout": "2"}
        tasks = [
            asyncio.create_task(gateway.error(headers=headers))
            for headers in (short, {})
        ]
        await standins.until(
            lambda: gateway.process.dispatcher.queue.count == 2
        )
        item = messages.VerdictItem(model="deposit", ready_in_ms=10_000)
        gateway.process._from_scheduler(None, messages.Verdict(items=[item]))
        refused = (504, "not_ready_in_time", True)
        assert await tasks[0] == refused
        assert await gateway.error(headers=short) == refused
        assert not tasks[1].done()
        item = messages.VerdictItem(model="deposit", refused=True)
        gateway.process._from_scheduler(None, messages.Verdict(items=[item]))
        assert await tasks[1] == (503, "cannot_load", True)


async def test_drain_interrupts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that a planned stop cuts off (P12)."""
    monkeypatch.setattr("monsoonhinge.gateway.process._DRAIN_NOTICE_S", 0.1)
    async with standins.running(_slow(0.4)) as gateway:
        running = asyncio.create_task(gateway.post().__aenter__())
        await standins.until(lambda: gateway.targets[0].received)
        gateway.process.drain()
        assert gateway.process.not_ready_reason() == "draining"
        finished = asyncio.create_task(gateway.process.finish())
        late = await gateway.post()
        assert (late.status, late.headers["Connection"]) == (200, "close")
        assert running.done()
        await asyncio.wait_for(finished, 3)
        assert (await running).status == 200


async def test_finish_waits_for_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop while a request runs (P12)."""
    monkeypatch.setattr("monsoonhinge.gateway.process._DRAIN_NOTICE_S", 0.0)
    async with standins.running(_slow(0.3)) as gateway:
        running = asyncio.create_task(gateway.post().__aenter__())
        await standins.until(lambda: gateway.targets[0].received)
        gateway.process.drain()
        await asyncio.wait_for(gateway.process.finish(), 3)
        assert gateway.process.sessions.count == 0
        assert (await running).status == 200


async def test_waiting_call_of_withdrawn_key_is_released() -> None:
    """Guards against a refund that runs under a withdrawn key (P6)."""
    async with standins.running(announced=False) as gateway:
        task = asyncio.create_task(gateway.error(_REFUND, headers=_ONCE))
        await standins.until(lambda: gateway.process.dispatcher.queue.count)
        gateway.withdraw()
        assert await task == (401, "invalid_key", True)
        await standins.until(lambda: not gateway.control.calls)


async def test_dump_has_no_secrets() -> None:
    """Guards against keys in the state dump."""
    async with standins.running(_slow(0.3)) as gateway:
        task = asyncio.create_task(gateway.post().__aenter__())
        await standins.until(lambda: gateway.targets[0].received)
        text = json.dumps(gateway.process.dump())
        assert '"running": 1' in text
        for secret in (standins.KEY, standins.SECRET, "cluster-secret"):
            assert secret not in text
        await task


_PIECES = st.sampled_from(
    [
        b"POST /v1/chat/completions HTTP/1.1\r\n",
        b"GET /services/ledger/depots HTTP/1.1\r\n",
        b"POST /services/ledger/refunds/1 HTTP/1.1\r\n",
        b"Host: a\r\n",
        b"Authorization: Bearer " + standins.KEY.encode() + b"\r\n",
        b"Authorization: \xff\r\n",
        b"Content-Length: 2\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Encoding: gzip\r\n",
        b"Idempotency-Key: a\r\n",
        b"X-Request-Timeout: 1e400\r\n",
        b"X-Request-Id: \x7f\r\n",
        b" folded\r\n",
        b"\r\n",
        b"{}",
        b'{"model": "ask", "max_tokens": true}',
        b"0\r\n\r\n",
        b"\x00\xff",
    ]
)


def test_any_request_gets_an_answer_and_harms_nobody() -> None:
    """Guards against requests that crash the gateway or skip the key."""

    async def exchange(data: bytes) -> None:
        for item in gateway.targets:
            item.received.clear()
        got = await gateway.raw(data, timeout=0.03)
        assert b" 500 " not in got and b"internal_error" not in got
        for received in gateway.targets[0].received:
            assert standins.KEY.encode() in data
            assert standins.KEY.encode() not in received.raw
        async with gateway.post() as response:
            assert response.status == 200

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context = standins.running(standins.respond_whole)
        gateway = runner.run(context.__aenter__())

        @hypothesis.settings(max_examples=150)
        @hypothesis.given(pieces=st.lists(_PIECES, max_size=10))
        def fuzz(pieces: list[bytes]) -> None:
            runner.run(exchange(b"".join(pieces)))

        fuzz()
        runner.run(context.__aexit__(None, None, None))


def _head(method: str, path: str) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"Authorization: Bearer {standins.KEY}\r\n"
    ).encode()
