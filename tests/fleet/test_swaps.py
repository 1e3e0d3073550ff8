"""Tests of swaps of models on one engine."""

import asyncio

import pytest

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import swaps
from monsoonhinge.fleet import weightstore
from tests.fleet import world

_SWAP = placement_plan.Swap(
    target="t1",
    model="m1",
    evictions=(),
    load_s=0.001,
    from_store=True,
    reason="waiting",
)


class _LoadingEngine:
    """Accepts a load and reports it as in progress for some time."""

    def __init__(self, *, busy_reports: int, loads: bool) -> None:
        self.busy_reports = busy_reports
        self.loads = loads

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        return engine_client.OrderResponse.STARTED

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        self.busy_reports -= 1
        busy = self.busy_reports >= 0
        models: dict[str, list[str]] = {}
        if self.loads and not busy:
            models["m1"] = []
        return world.report(models, order_count=1, busy=busy)

    async def close(self) -> None:
        pass


def _run(client: _LoadingEngine, engine: engines.Engine) -> bool:
    async def run() -> bool:
        executor = swaps.SwapExecutor(
            engine=engine,
            channel=orders.Channel(
                engine=engine,
                client=client,
                holder="h",
                fencing=7,
                lease_held=lambda: True,
            ),
            store_limiter=weightstore.StoreLimiter(window_s=5.0),
            on_change=lambda: None,
        )
        return await executor.run(_SWAP)

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def _short_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(swaps, "_LOAD_CHECK_INTERVAL_S", 0.0005)


def test_load_in_progress_is_not_taken_for_complete() -> None:
    """Guards against requests and orders to an engine that is still loading.

    After 40 checks a load counted as complete, and the engine refused twelve
    orders and the requests for the model.
    """
    client = _LoadingEngine(busy_reports=60, loads=True)
    engine = world.engine()
    assert _run(client, engine)
    assert client.busy_reports < 0
    assert engine.replicas["m1"].state == engines.LOADED


def test_failed_load_is_not_taken_for_complete() -> None:
    """Guards against requests for a model that the engine failed to load."""
    engine = world.engine()
    assert not _run(_LoadingEngine(busy_reports=3, loads=False), engine)
    assert engine.replicas["m1"].state != engines.LOADED
