"""Tests of requests from callers to targets."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st
import pytest
import uvloop

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from tests.gateway import standins

_IDEMPOTENCY_KEY = {"Idempotency-Key": "once"}
_REFUND = "/services/ledger/refunds/1"


async def _abort_connection(
    request: standins.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.transport.abort()


def _respond_after(
    seconds: float, body: bytes = b"credited"
) -> standins.Responder:
    async def respond(
        request: standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        writer.write(standins.response_bytes(request, body))

    return respond


async def test_caller_disconnect_does_not_cancel_a_call() -> None:
    """Guards against a refund that runs without a record of its outcome."""
    async with standins.run_gateway(_respond_after(0.2)) as gateway:
        task = asyncio.create_task(
            gateway.post(_REFUND, headers=_IDEMPOTENCY_KEY).__aenter__()
        )
        await standins.wait_until(lambda: gateway.targets[0].received)
        task.cancel()
        gateway.withdraw_key()
        await standins.wait_until(
            lambda: gateway.control.calls["once"].state == "finished"
        )
        assert gateway.control.calls["once"].body == b"credited"
        assert not gateway.targets[0].closed.is_set()


async def test_duplicate_call_waits_for_the_first() -> None:
    """Guards against a call that runs twice when it is repeated (P10)."""
    async with standins.run_gateway(
        _respond_after(0.3), _respond_after(0.3)
    ) as gateway:
        posts = [
            gateway.post(_REFUND, headers=_IDEMPOTENCY_KEY) for _ in range(3)
        ]
        answers = await asyncio.gather(*(p.__aenter__() for p in posts))
        texts = [await answer.text() for answer in answers]
        assert texts == ["credited"] * 3
        assert sum(len(t.received) for t in gateway.targets) == 1


async def test_large_response_is_not_recorded() -> None:
    """Guards against a truncated record, or a second run without a record."""
    async with standins.run_gateway(_respond_after(0, b"x" * 101)) as gateway:
        async with gateway.post(_REFUND, headers=_IDEMPOTENCY_KEY) as response:
            assert len(await response.read()) == 101
        outcome = await gateway.post_refused(_REFUND, headers=_IDEMPOTENCY_KEY)
        assert outcome == (409, "answer_not_kept", False)
        assert len(gateway.targets[0].received) == 1


async def test_lost_claim_is_released() -> None:
    """Guards against a key that stays claimed although the call never ran.

    The replies to the first claims are lost, so the gateway does not know
    whether they were committed.
    """
    async with standins.run_gateway(standins.respond_ok) as gateway:
        gateway.control.lost_replies = 3
        outcome = await gateway.post_refused(_REFUND, headers=_IDEMPOTENCY_KEY)
        assert outcome == (503, "claim_unconfirmed", True)
        await standins.wait_until(lambda: not gateway.control.calls)
        async with gateway.post(_REFUND, headers=_IDEMPOTENCY_KEY) as response:
            assert response.status == 200


async def test_call_is_not_retried_after_sending() -> None:
    """Guards against a second run of a refund after a lost response (P10)."""
    async with standins.run_gateway(
        _abort_connection, _abort_connection
    ) as gateway:
        outcome = await gateway.post_refused(_REFUND, headers=_IDEMPOTENCY_KEY)
        assert outcome == (503, "answer_lost", "unknown")
        assert sum(len(t.received) for t in gateway.targets) == 1


async def test_retryable_requests_are_retried_at_another_target() -> None:
    """Guards against refusals while another target could respond."""
    async with standins.run_gateway(
        _abort_connection, standins.respond_ok
    ) as gateway:
        for _ in range(10):
            async with gateway.post() as response:
                assert response.status == 200
        assert len(gateway.targets[0].received) <= 2


async def test_refusal_after_a_lost_answer_is_not_called_unrun() -> None:
    """Guards against "not run" for a request that may have run (P9).

    The first attempt loses its response; the retry finds no target.
    """

    async def announce_leaving_and_abort(
        request: standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        gateway.announce(gateway.targets[0], leaving=True)
        writer.transport.abort()

    async with standins.run_gateway(announce_leaving_and_abort) as gateway:
        outcome = await gateway.post_refused(
            headers={"X-Request-Timeout": "0.3"}
        )
        assert outcome == (504, "deadline_exceeded", "unknown")


async def test_unsent_call_is_released() -> None:
    """Guards against a key that stays claimed by an unreachable target."""
    async with standins.run_gateway(standins.respond_ok) as gateway:
        await gateway.targets[0].stop()
        outcome = await gateway.post_refused(_REFUND, headers=_IDEMPOTENCY_KEY)
        assert outcome == (503, "target_unreachable", True)
        await standins.wait_until(lambda: not gateway.control.calls)


async def test_grants_limit_what_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that run beyond the granted tokens (P7)."""
    # Grants must be requested when they are needed, not only periodically.
    monkeypatch.setattr("monsoonhinge.gateway.grants._TICK_S", 60)
    granted = 0

    async def grant(
        message: messages.GrantRequest, kind: type, *, timeout: float
    ) -> messages.Grant:
        nonlocal granted
        tokens = max(0, min(message.wanted, 100 - granted))
        granted += tokens
        return messages.Grant(grant_id=granted, tokens=tokens, valid_ms=60_000)

    async with standins.run_gateway(
        standins.respond_ok, enforce_budgets=True
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
        # Each request uses 9 prompt tokens and 3 output tokens.
        assert codes.count(200) * 12 <= granted <= 100
        account = gateway.process.dispatcher.accounts.by_team["bars"]  # type: ignore
        assert account.spent == codes.count(200) * 12
        body["max_tokens"] = 6000
        assert await gateway.post_refused(json=body) == (
            429,
            "exceeds_burst",
            True,
        )


async def test_requests_are_refused_without_a_budget_lease_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that hang while no scheduler replies."""
    monkeypatch.setattr("monsoonhinge.gateway.grants._HOLDER_TIMEOUT_S", 0.3)

    async def time_out(*args: object, timeout: float) -> None:
        await asyncio.sleep(0.05)
        raise errors.RequestTimeout("silent")

    async with standins.run_gateway(
        standins.respond_ok, enforce_budgets=True
    ) as gateway:
        gateway.process.schedulers.request = time_out  # type: ignore
        async with asyncio.timeout(2):
            assert await gateway.post_refused() == (429, "rate_limited", True)
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
    """Guards against request smuggling by ambiguous headers."""
    async with standins.run_gateway(standins.respond_ok) as gateway:
        body = b"{}" if b"Length: 2" in head else b"{}ABC"
        reply = await gateway.send_raw(
            _request_head("POST", _REFUND) + head + b"\r\n" + body
        )
        # The HTTP parser refuses those that violate HTTP itself.
        assert reply.split()[1] == b"400", reply
        assert (b"invalid_header" in reply) == (b"Length: 2" in head)
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
    """Guards against refunds that bypass the claim (P10).

    The path is written so that gateway and target could read it differently.
    """
    async with standins.run_gateway(standins.respond_ok) as gateway:
        request = _request_head("POST", f"/services/ledger{path}")
        reply = await gateway.send_raw(request + b"Content-Length: 0\r\n\r\n")
        assert reply.startswith(b"HTTP/1.1 400 "), reply
        encoded = _request_head("POST", "/services/ledger/%72efunds/1")
        reply = await gateway.send_raw(encoded + b"Content-Length: 0\r\n\r\n")
        assert b"idempotency_key_required" in reply
        assert not gateway.targets[0].received


async def test_body_limit_of_a_route() -> None:
    """Guards against bodies that exhaust the memory of the gateway."""
    async with standins.run_gateway(standins.respond_ok) as gateway:
        outcome = await gateway.post_refused(
            "/services/ledger/a", data=b"x" * 1001
        )
        assert outcome == (413, "body_too_large", True)

        async def parts():  # type: ignore
            for _ in range(20):
                yield b"x" * 100

        outcome = await gateway.post_refused("/services/ledger/a", data=parts())
        assert outcome == (413, "body_too_large", True)
        assert not gateway.targets[0].received


async def test_leaving_and_expired_targets_get_nothing() -> None:
    """Guards against new requests to a target that leaves or expired (P11)."""
    async with standins.run_gateway(
        standins.respond_ok, standins.respond_ok
    ) as gateway:
        first, second = gateway.targets
        gateway.announce(first, leaving=True)
        for _ in range(20):
            async with gateway.post() as response:
                assert response.status == 200
        assert not first.received
        gateway.announce(second, age_ms=2500)
        await asyncio.sleep(0.8)
        short_timeout = {"X-Request-Timeout": "0.1"}
        outcome = await gateway.post_refused(headers=short_timeout)
        assert outcome == (504, "deadline_exceeded", True)
        assert len(second.received) == 20


async def test_adapter_route_waits_until_it_is_loaded() -> None:
    """Guards against requests that run without their adapter."""
    async with standins.run_gateway(standins.respond_ok) as gateway:
        target = gateway.targets[0]
        document = {"model": "tone", "max_tokens": 5}
        task = asyncio.create_task(gateway.post(json=document).__aenter__())
        await asyncio.sleep(0.2)
        assert not target.received
        demands = [
            m for m in gateway.sent_messages if isinstance(m, messages.Demand)
        ]
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
    """Guards against waiting for a model that will not be ready in time."""
    async with standins.run_gateway(announced=False) as gateway:
        short_timeout = {"X-Request-Timeout": "2"}
        tasks = [
            asyncio.create_task(gateway.post_refused(headers=headers))
            for headers in (short_timeout, {})
        ]
        await standins.wait_until(
            lambda: gateway.process.dispatcher.queue.count == 2
        )
        item = messages.VerdictItem(model="deposit", ready_in_ms=10_000)
        gateway.process._on_scheduler_message(
            None, messages.Verdict(items=[item])
        )
        refused = (504, "not_ready_in_time", True)
        assert await tasks[0] == refused
        assert await gateway.post_refused(headers=short_timeout) == refused
        assert not tasks[1].done()
        item = messages.VerdictItem(model="deposit", refused=True)
        gateway.process._on_scheduler_message(
            None, messages.Verdict(items=[item])
        )
        assert await tasks[1] == (503, "cannot_load", True)


async def test_drain_interrupts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that are interrupted by a planned stop (P12)."""
    monkeypatch.setattr("monsoonhinge.gateway.process._DRAIN_NOTICE_S", 0.1)
    async with standins.run_gateway(_respond_after(0.4)) as gateway:
        running = asyncio.create_task(gateway.post().__aenter__())
        await standins.wait_until(lambda: gateway.targets[0].received)
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
    """Guards against a process that stops while a request runs (P12)."""
    monkeypatch.setattr("monsoonhinge.gateway.process._DRAIN_NOTICE_S", 0.0)
    async with standins.run_gateway(_respond_after(0.3)) as gateway:
        running = asyncio.create_task(gateway.post().__aenter__())
        await standins.wait_until(lambda: gateway.targets[0].received)
        gateway.process.drain()
        await asyncio.wait_for(gateway.process.finish(), 3)
        assert gateway.process.active_requests.count == 0
        assert (await running).status == 200


async def test_waiting_call_of_withdrawn_key_is_released() -> None:
    """Guards against a refund that runs with a withdrawn key (P6)."""
    async with standins.run_gateway(announced=False) as gateway:
        task = asyncio.create_task(
            gateway.post_refused(_REFUND, headers=_IDEMPOTENCY_KEY)
        )
        await standins.wait_until(
            lambda: gateway.process.dispatcher.queue.count
        )
        gateway.withdraw_key()
        assert await task == (401, "invalid_key", True)
        await standins.wait_until(lambda: not gateway.control.calls)


async def test_dump_has_no_secrets() -> None:
    """Guards against keys and secrets in the state dump."""
    async with standins.run_gateway(_respond_after(0.3)) as gateway:
        task = asyncio.create_task(gateway.post().__aenter__())
        await standins.wait_until(lambda: gateway.targets[0].received)
        text = json.dumps(gateway.process.dump())
        assert '"running": 1' in text
        for secret in (standins.KEY, standins.SECRET, "cluster-secret"):
            assert secret not in text
        await task


_REQUEST_PIECES = st.sampled_from(
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
    """Guards against requests that crash the gateway or bypass the key."""

    async def exchange(data: bytes) -> None:
        for item in gateway.targets:
            item.received.clear()
        reply = await gateway.send_raw(data, timeout=0.03)
        assert b" 500 " not in reply and b"internal_error" not in reply
        for received in gateway.targets[0].received:
            assert standins.KEY.encode() in data
            assert standins.KEY.encode() not in received.raw
        async with gateway.post() as response:
            assert response.status == 200

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context = standins.run_gateway(standins.respond_ok)
        gateway = runner.run(context.__aenter__())

        @hypothesis.settings(max_examples=150)
        @hypothesis.given(pieces=st.lists(_REQUEST_PIECES, max_size=10))
        def fuzz(pieces: list[bytes]) -> None:
            runner.run(exchange(b"".join(pieces)))

        fuzz()
        runner.run(context.__aexit__(None, None, None))


def _request_head(method: str, path: str) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"Authorization: Bearer {standins.KEY}\r\n"
    ).encode()
