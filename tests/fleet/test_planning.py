"""Tests of planning rounds that fail and of the lease that requires them."""

import asyncio
from collections.abc import Callable
import types
import typing
from typing import Any

import pytest

from monsoonhinge.config import ingress
from monsoonhinge.config import view as config_view
from monsoonhinge.fleet import controller
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import leasing
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import planning
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import fleet
from tests.fleet import world

_BROKEN = "broken"


class _Engines:
    """Engines that accept all orders."""

    def __init__(self) -> None:
        self.loaded: set[str] = set()

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        self.loaded.add(target)
        return engine_client.OrderResponse.STARTED

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        return world.report({})

    async def close(self) -> None:
        pass


def _need(service: str) -> fleet.ModelNeed:
    return fleet.ModelNeed(
        service=service,
        model="m1",
        waiting=1,
        arrived=1,
        rate_per_ks=100,
        timely_for_ms=20_000,
        patient_for_ms=20_000,
    )


def _view(*services: str) -> config_view.View:
    return config_view.View(
        version=1,
        objects={
            f"ingress_service/{name}": ingress.IngressService(
                name=name, engine=world.LIMITS
            )
            for name in services
        },
    )


def _controller(
    client: _Engines, *services: str
) -> controller.PlacementController:
    registry = target_registry.Registry(silent_after_s=60.0)
    for number, service in enumerate(services):
        registration = world.registration(
            f"engine-{service}", address=f"10.0.0.{number + 1}:80"
        )
        registration.service = service
        registry.record_announcement(registration, 0.0)
    tracker = demand.DemandTracker()
    needs = [_need(service) for service in services]
    tracker.update(
        fleet.FleetDemand(gateway="g1", needs=needs),
        asyncio.get_running_loop().time(),
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


def _fail_for_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    plan: Callable[..., Any] = placement.plan

    def failing(*, service: str, **arguments: Any) -> Any:
        if service == _BROKEN:
            raise OverflowError("cannot convert float infinity to integer")
        return plan(service=service, **arguments)

    monkeypatch.setattr(placement, "plan", failing)


def test_service_that_cannot_be_planned_stops_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one service whose data ends the loads of all services."""
    _fail_for_broken(monkeypatch)
    client = _Engines()

    async def run() -> bool:
        placer = _controller(client, _BROKEN, "sound")
        view = _view(_BROKEN, "sound")
        loop = asyncio.get_running_loop()
        placer.reconcile(view, loop.time())
        await asyncio.sleep(0.4)
        planned = placer.reconcile(view, loop.time())
        await asyncio.sleep(0.1)
        placer.stop()
        return planned

    assert asyncio.run(run())
    assert client.loaded == {"engine-sound"}


def test_holder_whose_planning_fails_counts_as_planning(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease kept by a member that plans nothing."""
    _fail_for_broken(monkeypatch)

    async def run() -> bool:
        placer = _controller(_Engines(), _BROKEN)
        planned = placer.reconcile(
            _view(_BROKEN), asyncio.get_running_loop().time()
        )
        placer.stop()
        return planned

    assert not asyncio.run(run())


def test_planning_ends_with_the_first_round_that_raises() -> None:
    """Guards against a planner that is gone after one exception."""
    rounds = []

    def plan(now: float) -> bool:
        rounds.append(now)
        if len(rounds) == 1:
            raise OverflowError
        return True

    async def run() -> None:
        loop = planning.PlanningLoop(plan=plan)
        task = asyncio.create_task(loop.run())
        await asyncio.sleep(0.5)
        task.cancel()

    asyncio.run(run())
    assert len(rounds) > 2


class _Lease:
    """A lease that is granted at once, and what was done with it."""

    name = "fleet"
    holder = "h"

    def __init__(self) -> None:
        self.fencing = 0
        self.calls: list[str] = []

    async def acquire_or_renew(self) -> None:
        self.fencing = 7
        self.calls.append("acquire")

    async def release(self) -> None:
        self.fencing = 0
        self.calls.append("release")


def _lease_loop(lease: _Lease, works: Callable[[], bool]) -> leasing.LeaseLoop:
    state = types.SimpleNamespace(
        state_machine=types.SimpleNamespace(leases={}, version=1)
    )
    return leasing.LeaseLoop(
        lease=typing.cast(Any, lease),
        acquire_or_renew=lease.acquire_or_renew,
        driver=typing.cast(Any, types.SimpleNamespace(is_leader=True)),
        replicated_state=typing.cast(Any, state),
        on_attempt=lambda: None,
        works=works,
    )


@pytest.mark.parametrize("works", [True, False])
def test_member_that_cannot_plan_keeps_the_lease(works: bool) -> None:
    """Guards against a lease renewed for ever while its work is not done."""
    lease = _Lease()

    async def run() -> None:
        task = asyncio.create_task(_lease_loop(lease, lambda: works).run())
        await asyncio.sleep(0.5)
        task.cancel()

    asyncio.run(run())
    if works:
        assert lease.fencing and "release" not in lease.calls
    else:
        # It stays away for seconds, so that another member can hold it.
        assert lease.calls == ["acquire", "release"]
