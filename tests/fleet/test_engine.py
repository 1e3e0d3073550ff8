"""Tests of the state of an engine and of the orders to it."""

import asyncio

import pytest

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from tests.fleet import world


class _FakeClient:
    """Returns the given responses in order; ``None`` raises no response."""

    def __init__(
        self,
        *responses: engine_client.OrderResponse | None,
        reports: list[engine_client.Report] | None = None,
    ) -> None:
        self.responses = list(responses)
        self.reports = reports or []
        self.orders: list[engine_client.Order] = []

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        self.orders.append(order)
        response = self.responses.pop(0)
        if response is None:
            raise engine_client.NoResponseError("no response")
        return response

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        return self.reports.pop(0) if len(self.reports) > 1 else self.reports[0]

    async def close(self) -> None:
        pass


def _channel(
    engine: engines.Engine, client: _FakeClient, *, lease_held: bool = True
) -> orders.Channel:
    return orders.Channel(
        engine=engine,
        client=client,
        holder="h",
        fencing=7,
        lease_held=lambda: lease_held,
    )


def test_planned_load_reduces_the_free_memory() -> None:
    """Guards against a second load into memory that is already reserved."""
    engine = world.engine(models=("m1", "m2"))
    engine.begin_load("m3", ready_at=1.0, now=0.0)
    assert engine.free_bytes() == 10 * world.GIGABYTE


def test_delayed_announcement_does_not_restore_an_unloaded_model() -> None:
    """Guards against an unloaded model that is still counted as loaded."""
    engine = world.engine(models=("m1",))
    engine.begin_unload("m1", 1.0)
    engine.finish_unload("m1", 1.1)
    engine.apply_announcement(
        world.registration(sequence=2, models=("m1",)), 2.0
    )
    assert "m1" not in engine.replicas


def test_model_is_removed_after_two_announcements_without_it() -> None:
    """Guards against removing a model because of one delayed announcement."""
    engine = world.engine(models=("m1",))
    engine.apply_announcement(world.registration(sequence=2), 10.0)
    assert "m1" in engine.replicas
    engine.apply_announcement(world.registration(sequence=3), 11.0)
    assert "m1" not in engine.replicas


def test_latest_cached_copies_replace_earlier_ones() -> None:
    """Guards against a load from a cached copy that was evicted."""
    engine = world.engine(on_disk=("m1",))
    engine.apply_announcement(
        world.registration(sequence=2, on_disk=("m2",)), 1.0
    )
    assert engine.loads_from_store("m1")
    assert not engine.loads_from_store("m2")


async def _execute(channel: orders.Channel, **order: object) -> orders.Outcome:
    return await channel.execute(**order)  # type: ignore[arg-type]


def test_unanswered_order_is_repeated_under_the_same_count() -> None:
    """Guards against an order that is carried out twice after a retry."""
    client = _FakeClient(None, engine_client.OrderResponse.STARTED)
    engine = world.engine()
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1")
    )
    assert outcome is orders.Outcome.STARTED
    assert [order.expected_order_count for order in client.orders] == [0, 0]
    assert engine.order_count == 1


def test_order_applied_without_response_is_recognized() -> None:
    """Guards against a loaded model that placement does not know."""
    conflict = engine_client.OrderResponse.CONFLICT
    client = _FakeClient(
        None, *[conflict] * 9, reports=[world.report({"m1": []}, order_count=1)]
    )
    engine = world.engine()
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1")
    )
    assert outcome is orders.Outcome.APPLIED
    assert engine.order_count == 1


def test_fenced_member_stops() -> None:
    """Guards against two members that send orders at the same time."""
    client = _FakeClient(engine_client.OrderResponse.FENCED)
    with pytest.raises(orders.LeaseLostError):
        asyncio.run(
            _execute(_channel(world.engine(), client), load=True, model="m1")
        )


def test_no_order_without_the_lease() -> None:
    """Guards against orders after the lease has ended."""
    client = _FakeClient()
    channel = _channel(world.engine(), client, lease_held=False)
    with pytest.raises(orders.LeaseLostError):
        asyncio.run(_execute(channel, load=True, model="m1"))
    assert not client.orders


def test_member_without_the_lease_does_not_fence_an_engine() -> None:
    """Guards against an order of a holder that was frozen past its lease.

    An order that an engine refused makes the holder read its state again, and
    fence it. Engines that do not check fencing tokens accept that order.
    """
    client = _FakeClient(
        engine_client.OrderResponse.APPLIED,
        reports=[world.report({"m1": []}, order_count=3)],
    )
    channel = _channel(world.engine(), client, lease_held=False)
    with pytest.raises(orders.LeaseLostError):
        asyncio.run(channel.synchronize())
    assert not client.orders


def test_load_is_not_repeated_once_memory_is_taken() -> None:
    """Guards against exceeding the memory limit after an unplanned model."""
    engine = world.engine(models=("m1", "m2", "m3"))
    engine.begin_load("m4", ready_at=1.0, now=0.0)
    client = _FakeClient()
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m4")
    )
    assert outcome is orders.Outcome.REFUSED
    assert not client.orders


def test_engine_state_stays_unknown_while_an_order_is_in_progress() -> None:
    """Guards against a load into memory that an earlier holder's load uses."""
    client = _FakeClient(
        reports=[world.report({"m1": []}, order_count=3, busy=True)]
    )
    engine = world.engine(models=("m1",))
    engine.order_count = None
    assert not asyncio.run(_channel(engine, client).synchronize())
    assert engine.order_count is None


def test_takeover_fences_before_it_believes() -> None:
    """Guards against delayed orders of an earlier lease holder."""
    client = _FakeClient(
        engine_client.OrderResponse.APPLIED,
        reports=[world.report({"m1": []}, order_count=3)],
    )
    engine = world.engine()
    engine.order_count = None
    assert asyncio.run(_channel(engine, client).synchronize())
    assert client.orders[0].fencing == 7
    assert client.orders[0].model == "m1"
    assert engine.order_count == 3
    assert set(engine.replicas) == {"m1"}


def test_report_keeps_the_adapter_of_a_load_that_is_under_way() -> None:
    """Guards against one adapter more than an engine has room for.

    A load waited for its turn for longer than a report may be old. A report
    without its adapter freed the place, and then the engine accepted it.
    """
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters["a1"] = 0.0
    engine.adapters_in_flight.add(("m1", "a1"))
    engine.apply_report(world.report({"m1": []}), 100.0)
    assert engine.adapter_count() == 1
    engine.adapters_in_flight.clear()
    engine.apply_report(world.report({"m1": []}), 101.0)
    assert engine.adapter_count() == 0


def test_report_keeps_the_model_of_a_swap_that_is_under_way() -> None:
    """Guards against memory that is free between two orders of a swap."""
    engine = world.engine(models=("m1",))
    engine.swapping = True
    engine.begin_load("m2", ready_at=10.0, now=0.0)
    engine.apply_report(world.report({"m1": []}), 1.0)
    assert "m2" in engine.replicas


def test_order_that_holds_already_is_not_void_later() -> None:
    """Guards against a loaded adapter whose place counts as free.

    Its first order was carried out without a response, the second one was
    answered as holding already.
    """
    client = _FakeClient(
        None,
        engine_client.OrderResponse.APPLIED,
        engine_client.OrderResponse.STARTED,
    )
    engine = world.engine(models=("m1",))
    engine.replicas["m1"].adapters.update(a1=0.0, a2=0.0)
    channel = _channel(engine, client)

    async def run() -> None:
        await channel.execute(load=True, model="m1", adapter="a1")
        await channel.execute(load=True, model="m1", adapter="a2")

    asyncio.run(run())
    assert engine.adapter_count() == 2


def test_state_is_not_read_while_an_order_is_under_way() -> None:
    """Guards against a report that settles an order that is still sent."""
    client = _FakeClient(
        engine_client.OrderResponse.APPLIED,
        reports=[world.report({"m1": []}, order_count=3)],
    )
    engine = world.engine(models=("m1",))
    channel = _channel(engine, client)

    async def run() -> None:
        async with channel._lock:
            reading = asyncio.create_task(channel.synchronize())
            await asyncio.sleep(0.4)
            assert engine.order_count == 0
        assert await reading
        assert engine.order_count == 3

    asyncio.run(run())


def test_order_is_sent_again_with_the_count_of_a_state_that_was_not_read() -> (
    None
):
    """Guards against an order beyond the room, after a late one was accepted.

    The room was determined on the state with the count that the order states.
    """
    conflict = engine_client.OrderResponse.CONFLICT
    client = _FakeClient(
        *[conflict] * 9,
        reports=[world.report({"m1": ["a9"]}, order_count=1)],
    )
    engine = world.engine(models=("m1",))
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1", adapter="a1")
    )
    assert outcome is orders.Outcome.UNKNOWN
    assert {order.expected_order_count for order in client.orders} == {0}
    assert engine.order_count == 0


def test_order_that_took_effect_brings_the_count_without_the_state() -> None:
    """Guards against later orders on a state older than their count."""
    conflict = engine_client.OrderResponse.CONFLICT
    client = _FakeClient(
        None,
        *[conflict] * 9,
        reports=[world.report({"m1": ["a1", "a9"]}, order_count=2)],
    )
    engine = world.engine(models=("m1",))
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1", adapter="a1")
    )
    assert outcome is orders.Outcome.APPLIED
    assert engine.order_count == 2
    assert set(engine.replicas["m1"].adapters) == {"a1", "a9"}


def test_adapter_is_ordered_beyond_the_places_of_an_engine() -> None:
    """Guards against an order on a state that has filled up meanwhile."""
    client = _FakeClient(engine_client.OrderResponse.STARTED)
    engine = world.engine(models=("m1",))
    places = world.LIMITS.adapter_capacity
    engine.replicas["m1"].adapters = {f"a{n}": 0.0 for n in range(places + 1)}
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1", adapter="a1")
    )
    assert outcome is orders.Outcome.REFUSED
    assert not client.orders


def test_fence_that_counts_as_an_order_keeps_the_state_unknown() -> None:
    """Guards against an engine that gets no orders for good."""
    applied = engine_client.OrderResponse.APPLIED
    client = _FakeClient(
        applied,
        reports=[
            world.report({"m1": []}, order_count=3),
            world.report({"m1": []}, order_count=4),
        ],
    )
    engine = world.engine(models=("m1",))
    engine.order_count = None
    channel = _channel(engine, client)

    async def run() -> list[bool]:
        return [await channel.synchronize() for _ in range(2)]

    assert asyncio.run(run()) == [False, True]
    assert engine.order_count == 4
    assert len(client.orders) == 1


def test_own_load_in_progress_is_given_up() -> None:
    """Guards against a load without a response that counts as failed."""
    conflict = engine_client.OrderResponse.CONFLICT
    client = _FakeClient(
        None,
        *[conflict] * 9,
        reports=[
            world.report({}, busy=True, order_count=1),
            world.report({"m1": []}, order_count=1),
        ],
    )
    engine = world.engine()
    outcome = asyncio.run(
        _execute(_channel(engine, client), load=True, model="m1")
    )
    assert outcome is orders.Outcome.APPLIED
    assert engine.order_count == 1
