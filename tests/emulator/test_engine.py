"""A stand-in engine as its callers and schedulers see it."""

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

ADDRESS = {"host": "127.0.0.1", "port": 1}
LOADED = {"model": "m", "max_tokens": 6}

Client = test_utils.TestClient[Any, Any]


def with_engine(
    work: Callable[[Client, engines.Engine], Awaitable[None]], **fields: Any
) -> None:
    """Runs a test against an engine."""

    async def run() -> None:
        engine = engines.Engine(
            options.Emulator.model_validate(
                {
                    "node": "e",
                    "target": "e",
                    "kind": "engine",
                    "availability_zone": "z",
                    "operations": ADDRESS,
                    "listen": ADDRESS,
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
                    await work(client, engine)
            finally:
                await executor.stop()

    asyncio.run(run())


async def order(client: Client, order_id: str, **fields: Any) -> int:
    """Posts an order and returns the status."""
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


async def outcome(engine: engines.Engine, order_id: str) -> str:
    """Waits for the outcome of an order."""
    for _ in range(1000):
        if order_id in engine.outcomes:
            break
        await asyncio.sleep(0.005)
    return engine.outcomes[order_id]["outcome"]


def test_order_sent_twice_is_executed_once() -> None:
    """Guards against a second replica after a lost reply."""

    async def work(client: Client, engine: engines.Engine) -> None:
        assert await order(client, "a") == 202
        assert await order(client, "a") == 202
        assert await outcome(engine, "a") == "done"
        assert len(engine.replicas) == 1

    with_engine(work)


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 202)])
def test_old_fencing_number(checks: bool, status: int) -> None:
    """Guards against engines that are all strict or all careless."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await order(client, "a", fencing=5)
        assert await order(client, "b", fencing=4) == status
        assert engine.refused_orders == (status == 409)

    with_engine(work, checks_fencing=checks)


def test_load_that_does_not_fit_is_refused() -> None:
    """Guards against a stand-in that hides an overcommit."""

    async def work(client: Client, engine: engines.Engine) -> None:
        outcomes = []
        for order_id in "abc":
            await order(client, order_id)
            outcomes.append(await outcome(engine, order_id))
        assert outcomes == ["done", "done", "refused"]
        assert engine.memory.overcommit_attempts == 1
        await order(client, "d", action="unload", replica="a")
        await outcome(engine, "d")
        assert engine.memory.used_bytes == 10

    with_engine(work)


def test_adapter_is_served_once_loaded() -> None:
    """Guards against answers for an adapter that is not there."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await order(client, "a")
        await outcome(engine, "a")
        body = {"model": "tune"}
        assert (await client.post("/v1/completions", json=body)).status == 404
        await order(
            client, "b", action="load_adapter", adapter="tune", replica="a"
        )
        assert await outcome(engine, "b") == "done"
        assert (await client.post("/v1/completions", json=body)).status == 200

    with_engine(work)


def test_failed_load_frees_its_memory() -> None:
    """Guards against memory that stays reserved after a failed load."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await client.post("/faults", json=[{"kind": "load_fails"}])
        await order(client, "a")
        assert await outcome(engine, "a") == "failed"
        assert engine.memory.used_bytes == 0
        assert not engine.replicas

    with_engine(work)


def test_stream_resumes_after_a_dropped_connection() -> None:
    """Guards against streams that start again or skip a token."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await order(client, "a")
        await outcome(engine, "a")
        await client.post("/faults", json=[{"kind": "dropped", "count": 1}])
        body = {**LOADED, "stream": True}
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
        rest = await response.text()
        assert rest.startswith("id: 3") and rest.endswith("[DONE]\n\n")

    with_engine(work)


def test_closing_the_connection_cancels() -> None:
    """Guards against an engine that works for a caller who has left."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await order(client, "a")
        await outcome(engine, "a")
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

    with_engine(work)


@pytest.mark.parametrize("kind", ["crossed", "truncated", "refused"])
def test_fault_is_shown(kind: str) -> None:
    """Guards against fault tests that pass because no fault is shown."""

    async def work(client: Client, engine: engines.Engine) -> None:
        await order(client, "a")
        await outcome(engine, "a")
        await client.post("/faults", json=[{"kind": kind, "count": 1}])
        response = await client.post(
            "/v1/completions", json=LOADED, headers={"X-Request-Id": "r"}
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
        response = await client.post("/v1/completions", json=LOADED)
        assert json.loads(await response.read())["model"] == "m"

    with_engine(work)
