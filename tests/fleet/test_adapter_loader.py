"""Tests of adapter loads on one engine."""

import asyncio

from monsoonhinge.fleet import adapter_loader
from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from tests.fleet import world


class _SilentEngine:
    """Engine whose responses to orders are lost.

    Attributes:
        answers: Whether it answers, and accepts each order, from now on.
    """

    def __init__(self) -> None:
        self.answers = False

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        if self.answers:
            return engine_client.OrderResponse.STARTED
        raise engine_client.NoResponseError("no response")

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        raise engine_client.NoResponseError("no response")

    async def close(self) -> None:
        pass


class _Loader:
    """Loads adapters on one engine that does not respond at first."""

    def __init__(self) -> None:
        self.engine = world.engine(models=("m1",))
        self.client = _SilentEngine()
        self.channel = orders.Channel(
            engine=self.engine,
            client=self.client,
            holder="h",
            fencing=7,
            lease_held=lambda: True,
        )
        self.unknown: list[str] = []
        self._loader = adapter_loader.AdapterLoader(
            on_change=lambda: None,
            on_lease_lost=lambda: None,
            on_state_unknown=lambda engine: self.unknown.append(engine.target),
        )

    async def load(self, adapter: str) -> None:
        """Carries out the load of one adapter."""
        load = adapters.AdapterLoad("t1", "m1", adapter, None)
        self._loader.reserve(self.engine, load, 0.0)
        await self._loader.run(self.engine, self.channel, load)

    def adapters(self) -> list[str]:
        """Returns the adapters that count as loaded."""
        return sorted(self.engine.replicas["m1"].adapters)


def test_adapter_of_an_unanswered_order_still_counts() -> None:
    """Guards against one adapter more than an engine has room for.

    The engine may have carried out an order whose response was lost.
    """
    loader = _Loader()
    asyncio.run(loader.load("a1"))
    assert loader.engine.adapter_count() == 1
    assert loader.unknown == ["t1"]


def test_adapter_of_an_unanswered_order_counts_after_a_report_without_it() -> (
    None
):
    """Guards against an order that is carried out after the state was read."""
    loader = _Loader()
    asyncio.run(loader.load("a1"))
    loader.engine.apply_report(world.report({"m1": []}), 100.0)
    assert loader.adapters() == ["a1"]
    loader.engine.apply_report(world.report({"m1": []}, order_count=1), 101.0)
    assert loader.adapters() == []


def test_next_accepted_order_frees_the_slot_of_an_unanswered_one() -> None:
    """Guards against slots that lost responses take for good."""
    loader = _Loader()

    async def run() -> None:
        await loader.load("a1")
        loader.client.answers = True
        await loader.load("a2")

    asyncio.run(run())
    assert loader.adapters() == ["a2"]


def test_unanswered_order_is_void_after_some_time() -> None:
    """Guards against memory that is kept for an idle engine without orders."""
    loader = _Loader()
    asyncio.run(loader.load("a1"))
    announcement = world.registration(models=("m1",), sequence=2)
    loader.engine.apply_announcement(announcement, 1e9)
    assert loader.adapters() == []


def test_model_of_an_unanswered_order_still_counts() -> None:
    """Guards against one model more than an engine has room for."""
    loader = _Loader()
    loader.engine.begin_load("m2", ready_at=1.0, now=0.0)

    async def run() -> orders.Outcome:
        return await loader.channel.execute(load=True, model="m2")

    assert asyncio.run(run()) is orders.Outcome.UNKNOWN
    loader.engine.apply_report(world.report({"m1": []}), 100.0)
    assert "m2" in loader.engine.replicas


def test_adapter_of_an_unanswered_order_is_not_evicted() -> None:
    """Guards against an unload that the engine does not count.

    It answered that the adapter was not there, did not count the order, and
    carried out the delayed load afterwards, on top of a further one.
    """
    engine = world.engine(models=("m1",))
    names = [f"a{number}" for number in range(world.LIMITS.adapter_capacity)]
    for age, name in enumerate(names):
        engine.replicas["m1"].adapters[name] = float(age)
    engine.unsettled.add(("m1", "a0"), expected_order_count=0, now=50.0)
    need = demand.Need(waiting=1, adapters={"new": 1})
    (load,) = adapters.plan(
        service=world.SERVICE,
        fleet=[engine],
        needs={world.key("m1"): need},
        in_flight=(),
        now=100.0,
    )
    assert load.eviction == ("m1", "a1")


class _ConflictingEngine(_SilentEngine):
    """Engine that has carried out an order which this member knows not of."""

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        return engine_client.OrderResponse.CONFLICT

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        return world.report({"m1": ["a1", "a2"]}, order_count=1)


def test_conflict_at_an_eviction_leaves_an_engine_without_orders() -> None:
    """Guards against an engine whose state is never read again."""
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters = {"a1": 0.0}
    unknown: list[str] = []
    loader = adapter_loader.AdapterLoader(
        on_change=lambda: None,
        on_lease_lost=lambda: None,
        on_state_unknown=lambda item: unknown.append(item.target),
    )
    channel = orders.Channel(
        engine=engine,
        client=_ConflictingEngine(),
        holder="h",
        fencing=7,
        lease_held=lambda: True,
    )
    load = adapters.AdapterLoad("t1", "m1", "a3", ("m1", "a1"))
    loader.reserve(engine, load, 0.0)
    asyncio.run(loader.run(engine, channel, load))
    assert unknown == ["t1"]
    assert "a3" not in engine.replicas["m1"].adapters
