"""Tests of the placement controller."""

import asyncio
from collections.abc import Callable

import pytest

from monsoonhinge.config import ingress
from monsoonhinge.config import view as config_view
from monsoonhinge.fleet import controller
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import fleet
from tests.fleet import world

_BUSY_ENGINES = 2
_FREE_ENGINES = 4


class _Engines:
    """Engines of which some carry out a load of an earlier lease holder."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, engine_client.Order]] = []

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        self.orders.append((target, order))
        return engine_client.OrderResponse.STARTED

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        return world.report({}, busy=target.startswith("busy"))

    async def close(self) -> None:
        pass

    def loads(self) -> set[str]:
        """Returns the targets that were ordered to load a model."""
        return {target for target, order in self.orders if order.load}


def _controller(
    client: _Engines,
    tracker: demand.DemandTracker,
    publish: Callable[
        [fleet.Placements | fleet.ModelDelays], None
    ] = lambda message: None,
) -> controller.PlacementController:
    registry = target_registry.Registry(silent_after_s=60.0)
    names = [f"busy{number}" for number in range(_BUSY_ENGINES)]
    names += [f"free{number}" for number in range(_FREE_ENGINES)]
    for number, name in enumerate(names):
        registry.record_announcement(
            world.registration(name, address=f"10.0.0.{number + 1}:80"), 0.0
        )
    return controller.PlacementController(
        fencing=7,
        holder="h",
        registry=registry,
        demand_tracker=tracker,
        client=client,
        loads_window_s=5.0,
        lease_held=lambda: True,
        publish=publish,
        on_lease_lost=lambda: None,
    )


def _demand(model: str) -> fleet.FleetDemand:
    return fleet.FleetDemand(
        gateway="g1",
        needs=[
            fleet.ModelNeed(
                service=world.SERVICE,
                model=model,
                waiting=1,
                arrived=1,
                rate_per_ks=116,
                timely_for_ms=20_000,
                patient_for_ms=20_000,
            )
        ],
    )


def test_new_lease_holder_counts_the_store_loads_in_progress() -> None:
    """Guards against new store loads on top of those of the last holder."""
    client = _Engines()

    async def run() -> None:
        tracker = demand.DemandTracker()
        placer = _controller(client, tracker)
        service = ingress.IngressService(
            name=world.SERVICE, engine=world.LIMITS
        )
        view = config_view.View(
            version=1, objects={f"ingress_service/{world.SERVICE}": service}
        )
        loop = asyncio.get_running_loop()
        placer.reconcile(view, loop.time())
        # Reads the state of the free engines, which takes two reports.
        await asyncio.sleep(0.4)
        tracker.update(_demand("m1"), loop.time())
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.1)
        placer.stop()

    asyncio.run(run())
    assert not client.orders


_LOAD_S = 1.0
_SILENT_AFTER_S = 0.3
_MODEL = "m1"


class _SlowReporters:
    """Engines that stop announcing themselves while one loads a model.

    Attributes:
        replies: Whether they still reply to reports.
        loads: Targets that were ordered to load the model.
    """

    def __init__(self, *, replies: bool) -> None:
        self.replies = replies
        self.loads: list[str] = []
        self.on_leaving: Callable[[str], None] = lambda target: None
        self._loaded_at = float("inf")

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        if order.load:
            self.loads.append(target)
            self._loaded_at = asyncio.get_running_loop().time() + _LOAD_S
        return engine_client.OrderResponse.STARTED

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        if not self.loads or target != self.loads[0]:
            return world.report({})
        if not self.replies:
            raise engine_client.NoResponseError("no response")
        if asyncio.get_running_loop().time() < self._loaded_at:
            return world.report({}, order_count=1, busy=True)
        return world.report({_MODEL: []}, order_count=1)

    async def close(self) -> None:
        pass


def _play_silence(client: _SlowReporters) -> list[str]:
    """Lets the engine that loads a model fall silent; returns who loads it."""

    async def run() -> list[str]:
        loop = asyncio.get_running_loop()
        registry = target_registry.Registry(silent_after_s=_SILENT_AFTER_S)
        tracker = demand.DemandTracker()
        placer = controller.PlacementController(
            fencing=7,
            holder="h",
            registry=registry,
            demand_tracker=tracker,
            client=client,
            loads_window_s=5.0,
            lease_held=lambda: True,
            publish=lambda message: None,
            on_lease_lost=lambda: None,
        )
        # With other models, engines without work would load them.
        limits = world.LIMITS.model_copy(
            update={"models": [world.model(_MODEL)]}
        )
        service = ingress.IngressService(name=world.SERVICE, engine=limits)
        view = config_view.View(
            version=1, objects={f"ingress_service/{world.SERVICE}": service}
        )
        started_at = loop.time()
        sequence = 0
        while loop.time() < started_at + 2.5 * _LOAD_S:
            sequence += 1
            for number in range(_FREE_ENGINES):
                name = f"t{number}"
                if name in client.loads[:1]:
                    continue
                registration = world.registration(
                    name,
                    address=f"10.0.0.{number + 1}:80",
                    sequence=sequence,
                    on_disk=(_MODEL,),
                )
                registry.record_announcement(registration, loop.time())
            registry.expire(loop.time())
            if loop.time() > started_at + 0.4:
                tracker.update(_demand(_MODEL), loop.time())
            placer.reconcile(view, loop.time())
            await asyncio.sleep(0.05)
        placer.stop()
        return client.loads

    return asyncio.run(run())


def test_load_of_a_silent_engine_is_not_started_again_elsewhere() -> None:
    """Guards against giving up work of an engine that is slow to report."""
    loads = _play_silence(_SlowReporters(replies=True))
    assert len(loads) == 1


def test_load_of_an_engine_that_does_not_reply_is_started_elsewhere() -> None:
    """Guards against waiting for an engine that is gone."""
    loads = _play_silence(_SlowReporters(replies=False))
    assert len(set(loads)) >= 2


def test_model_of_a_leaving_engine_is_loaded_elsewhere_before_it_is_gone() -> (
    None
):
    """Guards against requests that wait until a leaving engine has left."""
    client = _Engines()

    async def run() -> None:
        loop = asyncio.get_running_loop()
        registry = target_registry.Registry(silent_after_s=60.0)
        for number, models in enumerate(((_MODEL,), ())):
            registration = world.registration(
                f"t{number}", address=f"10.0.0.{number}:80", models=models
            )
            registry.record_announcement(registration, loop.time())
        tracker = demand.DemandTracker()
        placer = controller.PlacementController(
            fencing=7,
            holder="h",
            registry=registry,
            demand_tracker=tracker,
            client=client,
            loads_window_s=5.0,
            lease_held=lambda: True,
            publish=lambda message: None,
            on_lease_lost=lambda: None,
        )
        limits = world.LIMITS.model_copy(
            update={"models": [world.model(_MODEL)]}
        )
        service = ingress.IngressService(name=world.SERVICE, engine=limits)
        view = config_view.View(
            version=1, objects={f"ingress_service/{world.SERVICE}": service}
        )
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.4)
        tracker.update(_demand(_MODEL), loop.time())
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.05)
        # The engine with the model is fenced by an order to load it.
        assert client.loads() == {"t0"}
        registry.record_leaving("t0", loop.time())
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.05)
        placer.stop()

    asyncio.run(run())
    assert client.loads() == {"t0", "t1"}


def test_gateways_learn_which_models_wait_for_the_store() -> None:
    """Guards against requests that wait in vain, since nobody tells them."""
    published: list[fleet.Placements | fleet.ModelDelays] = []

    async def run() -> None:
        tracker = demand.DemandTracker()
        placer = _controller(_Engines(), tracker, publish=published.append)
        service = ingress.IngressService(
            name=world.SERVICE, engine=world.LIMITS
        )
        view = config_view.View(
            version=1, objects={f"ingress_service/{world.SERVICE}": service}
        )
        loop = asyncio.get_running_loop()
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.4)
        tracker.update(_demand("m1"), loop.time())
        placer.reconcile(view, loop.time())
        placer.stop()

    asyncio.run(run())
    delays = [
        delay
        for message in published
        if isinstance(message, fleet.ModelDelays)
        for delay in message.delays
    ]
    assert [(delay.service, delay.model) for delay in delays] == [
        (world.SERVICE, "m1")
    ]
    assert delays[0].ready_in_ms == 6000


@pytest.mark.parametrize("kept", ["no service", "failing service"])
def test_delays_of_a_service_that_is_not_planned_are_withdrawn(
    monkeypatch: pytest.MonkeyPatch, kept: str
) -> None:
    """Guards against refusals for good on an estimate of long ago."""
    sent: list[fleet.ModelDelays] = []

    def publish(message: fleet.Placements | fleet.ModelDelays) -> None:
        if isinstance(message, fleet.ModelDelays):
            sent.append(message)

    async def run() -> None:
        tracker = demand.DemandTracker()
        placer = _controller(_Engines(), tracker, publish)
        service = ingress.IngressService(
            name=world.SERVICE, engine=world.LIMITS
        )
        objects = {f"ingress_service/{world.SERVICE}": service}
        view = config_view.View(version=1, objects=objects)
        loop = asyncio.get_running_loop()
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.4)
        for number in range(20):
            tracker.update(_demand(f"m{number}"), loop.time())
        placer.reconcile(view, loop.time())
        assert sent[-1].delays
        if kept == "no service":
            view = config_view.View(version=2, objects={})
        else:
            monkeypatch.setattr(placer, "_plan_service", _fail)
        await asyncio.sleep(0.6)
        placer.reconcile(view, loop.time())
        assert not sent[-1].delays
        placer.stop()

    asyncio.run(run())


def _fail(*_: object) -> None:
    raise ValueError("cannot be planned")
