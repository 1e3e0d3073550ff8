"""Tests of the placement controller."""

import asyncio

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


def _controller(
    client: _Engines, tracker: demand.DemandTracker
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
        publish=lambda message: None,
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
