"""Tests of adapter loads on one engine."""

import asyncio

from monsoonhinge.fleet import adapter_loader
from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from tests.fleet import world


class _SilentEngine:
    """Engine whose responses to orders are lost."""

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        raise engine_client.NoResponseError("no response")

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        raise engine_client.NoResponseError("no response")

    async def close(self) -> None:
        pass


def test_adapter_of_an_unanswered_order_still_counts() -> None:
    """Guards against one adapter more than an engine has room for.

    The engine may have carried out an order whose response was lost.
    """
    engine = world.engine(models=("m1",))
    load = adapters.AdapterLoad("t1", "m1", "a1", None)

    async def run() -> None:
        loader = adapter_loader.AdapterLoader(
            on_change=lambda: None,
            on_lease_lost=lambda: None,
            on_state_unknown=lambda engine: None,
        )
        loader.reserve(engine, load, 0.0)
        channel = orders.Channel(
            engine=engine,
            client=_SilentEngine(),
            holder="h",
            fencing=7,
            lease_held=lambda: True,
        )
        await loader.run(engine, channel, load)

    asyncio.run(run())
    assert engine.adapter_count() == 1
