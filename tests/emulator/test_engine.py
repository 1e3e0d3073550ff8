"""Tests of the HTTP interface of an emulated engine."""

import asyncio
from collections.abc import Awaitable, Callable
import json
from typing import Any

import aiohttp
from aiohttp import test_utils
import pytest

from monsoonhinge.emulator import engine as engines
from monsoonhinge.emulator import generation
from monsoonhinge.emulator import options
from monsoonhinge.emulator import orders

_ADDRESS = {"host": "127.0.0.1", "port": 1}
_COMPLETION_REQUEST = {"model": "m", "max_tokens": 6}

_Client = test_utils.TestClient[Any, Any]


def run_with_engine(
    test_body: Callable[[_Client, engines.Engine], Awaitable[None]],
    **fields: Any,
) -> None:
    """Runs a test against an emulated engine.

    Args:
        test_body: Coroutine function that gets an HTTP client and the engine.
        **fields: Settings of the engine.
    """

    async def run() -> None:
        engine = engines.Engine(
            options.Emulator.model_validate(
                {
                    "node": "e",
                    "target": "e",
                    "kind": "engine",
                    "availability_zone": "z",
                    "operations": _ADDRESS,
                    "listen": _ADDRESS,
                    "cluster_secret": "x" * 16,
                    "memory_bytes": 25,
                    "default_bytes": 10,
                    "load_s": 0.0,
                    **fields,
                }
            )
        )
        executor = orders.OrderExecutor(engine)
        app = generation.create_application(engine, executor)
        server = test_utils.TestServer(app, handler_cancellation=True)
        async with test_utils.TestClient(server) as client:
            try:
                async with asyncio.timeout(20):
                    await test_body(client, engine)
            finally:
                await executor.stop()

    asyncio.run(run())


async def send_order(client: _Client, order_id: str, **fields: Any) -> int:
    """Posts an order and returns the HTTP status."""
    response = await client.post(
        "/orders",
        json={
            "fencing": 5,
            "order_id": order_id,
            "action": "load",
            "model": "m",
            "model_version": "1",
            "adapter": "",
            "replica": "",
            **fields,
        },
    )
    return response.status


async def wait_for_outcome(engine: engines.Engine, order_id: str) -> str:
    """Waits until an order has an outcome and returns it."""
    for _ in range(1000):
        if order_id in engine.outcomes:
            break
        await asyncio.sleep(0.005)
    return engine.outcomes[order_id]["outcome"]


def test_order_sent_twice_is_executed_once() -> None:
    """Guards against a second replica when an order is resent.

    The scheduler resends an order whose reply was lost.
    """

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        assert await send_order(client, "a") == 202
        assert await send_order(client, "a") == 202
        assert await wait_for_outcome(engine, "a") == "done"
        assert len(engine.replicas) == 1

    run_with_engine(test_body)


@pytest.mark.parametrize(
    ("checks_fencing", "status"), [(True, 409), (False, 202)]
)
def test_old_fencing_token(checks_fencing: bool, status: int) -> None:
    """Guards against an engine that ignores the setting checks_fencing."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await send_order(client, "a", fencing=5)
        assert await send_order(client, "b", fencing=4) == status
        assert engine.refused_orders == (status == 409)

    run_with_engine(test_body, checks_fencing=checks_fencing)


def test_load_that_does_not_fit_is_refused() -> None:
    """Guards against a memory overcommit that goes unnoticed."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        outcomes = []
        for order_id in "abc":
            await send_order(client, order_id)
            outcomes.append(await wait_for_outcome(engine, order_id))
        assert outcomes == ["done", "done", "refused"]
        assert engine.memory.overcommit_attempts == 1
        await send_order(client, "d", action="unload", replica="a")
        await wait_for_outcome(engine, "d")
        assert engine.memory.used_bytes == 10

    run_with_engine(test_body)


def test_adapter_is_served_once_loaded() -> None:
    """Guards against responses for an adapter that is not loaded."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await send_order(client, "a")
        await wait_for_outcome(engine, "a")
        body = {"model": "tune"}
        assert (await client.post("/v1/completions", json=body)).status == 404
        await send_order(
            client, "b", action="load_adapter", adapter="tune", replica="a"
        )
        assert await wait_for_outcome(engine, "b") == "done"
        assert (await client.post("/v1/completions", json=body)).status == 200

    run_with_engine(test_body)


def test_failed_load_frees_its_memory() -> None:
    """Guards against memory that stays reserved after a failed load."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await client.post("/faults", json=[{"kind": "load_fails"}])
        await send_order(client, "a")
        assert await wait_for_outcome(engine, "a") == "failed"
        assert engine.memory.used_bytes == 0
        assert not engine.replicas

    run_with_engine(test_body)


def test_stream_resumes_after_a_dropped_connection() -> None:
    """Guards against a resumed stream that repeats or skips tokens."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await send_order(client, "a")
        await wait_for_outcome(engine, "a")
        await client.post("/faults", json=[{"kind": "dropped", "count": 1}])
        body = {**_COMPLETION_REQUEST, "stream": True}
        headers = {"X-Request-Id": "r"}
        response = await client.post(
            "/v1/completions", json=body, headers=headers
        )
        text = ""
        with pytest.raises(aiohttp.ClientPayloadError):
            async for chunk in response.content.iter_any():
                text += chunk.decode()
        assert "word2" in text and "[DONE]" not in text
        headers["Last-Event-ID"] = "2"
        response = await client.post(
            "/v1/completions", json=body, headers=headers
        )
        resumed_text = await response.text()
        assert resumed_text.startswith("id: 3") and resumed_text.endswith(
            "[DONE]\n\n"
        )

    run_with_engine(test_body)


def test_closing_the_connection_cancels() -> None:
    """Guards against work for a caller that has disconnected."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await send_order(client, "a")
        await wait_for_outcome(engine, "a")
        response = await client.post(
            "/v1/completions",
            json={"model": "m", "max_tokens": 100_000, "stream": True},
        )
        await response.content.readany()
        assert engine.running == 1
        response.close()
        await engine.idle.wait()
        assert engine.cancelled_requests == 1
        assert engine.find_replica("m").slots.running == 0  # type: ignore[union-attr]

    run_with_engine(test_body)


@pytest.mark.parametrize("kind", ["crossed", "truncated", "refused"])
def test_fault_is_injected(kind: str) -> None:
    """Guards against fault tests that pass because no fault is injected."""

    async def test_body(client: _Client, engine: engines.Engine) -> None:
        await send_order(client, "a")
        await wait_for_outcome(engine, "a")
        await client.post("/faults", json=[{"kind": kind, "count": 1}])
        response = await client.post(
            "/v1/completions",
            json=_COMPLETION_REQUEST,
            headers={"X-Request-Id": "r"},
        )
        match kind:
            case "crossed":
                assert response.headers["X-Request-Id"] != "r"
            case "refused":
                assert response.status == 503
                assert not engine.run_counts
            case _:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await response.read()
        response = await client.post(
            "/v1/completions", json=_COMPLETION_REQUEST
        )
        assert json.loads(await response.read())["model"] == "m"

    run_with_engine(test_body)
