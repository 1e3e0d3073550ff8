"""Plays random orders against engines that lose, delay and refuse them."""

import asyncio
from collections.abc import Callable
import copy
import dataclasses
import random

import pytest

from monsoonhinge.config import ingress
from monsoonhinge.config import view as config_view
from monsoonhinge.fleet import controller
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import fleet
from tests.fleet import virtual_time
from tests.fleet import world

_MODELS = ("m1", "m2", "m3", "m4", "m5")
_ADAPTERS = tuple(f"a{number}" for number in range(14))
_ENGINES = 2
_DURATION_S = 40.0
_SEEDS = 20
_REQUEST_S = 0.4

# Reports and announcements are this old.
_REPORT_AGE_S = 0.2
_ANNOUNCEMENT_S = 1.2

_LATE_S = (2.0, 12.0)
_SWAP_S = 0.9
_ADAPTER_S = 0.015


@dataclasses.dataclass
class _State:
    """What an engine holds.

    Attributes:
        models: Loaded adapters by model.
        pending: Adapters that are being loaded, as (model, adapter).
        sequence: Number of accepted orders.
        busy: Whether a model is being loaded or unloaded.
    """

    models: dict[str, list[str]]
    pending: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    sequence: int = 0
    busy: bool = False


class _Engine:
    """An engine that answers orders as the platform's servers do.

    Attributes:
        violations: Orders that exceeded its room.
        running: Requests by (model, adapter).
    """

    def __init__(self, name: str, rng: random.Random, loss: float) -> None:
        self.name = name
        self.state = _State({name: [] for name in _MODELS[:3]})
        self.violations: list[str] = []
        self.running: dict[tuple[str, str], int] = {}
        self._rng = rng
        self._loss = loss
        self._history = [(0.0, copy.deepcopy(self.state))]

    async def order(
        self, order: engine_client.Order
    ) -> engine_client.OrderResponse:
        await asyncio.sleep(self._rng.uniform(0.001, 0.01))
        fate = self._rng.random()
        if fate < self._loss:
            delay_s = self._rng.choice([0.0, self._rng.uniform(*_LATE_S)])
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._accept, order)
            await asyncio.sleep(0.2)
            raise engine_client.NoResponseError("lost")
        response = self._accept(order)
        if fate < 2 * self._loss:
            await asyncio.sleep(0.2)
            raise engine_client.NoResponseError("lost")
        await asyncio.sleep(self._rng.uniform(0.001, 0.01))
        return response

    def report(self) -> engine_client.Report:
        now = asyncio.get_running_loop().time() - _REPORT_AGE_S
        state = [known for at, known in self._history if at <= max(0.0, now)][
            -1
        ]
        return engine_client.Report(
            models=copy.deepcopy(state.models),
            busy=state.busy,
            order_count=state.sequence,
            pending_adapters=list(state.pending),
            in_memory=[],
            on_disk=list(_MODELS),
            waiting=0,
            running=0,
        )

    def _accept(
        self, order: engine_client.Order
    ) -> engine_client.OrderResponse:
        state = self.state
        if state.busy or order.expected_order_count != state.sequence:
            return engine_client.OrderResponse.CONFLICT
        if order.adapter:
            response = self._accept_adapter(order)
        else:
            response = self._accept_model(order)
        self._record()
        return response

    def _accept_adapter(
        self, order: engine_client.Order
    ) -> engine_client.OrderResponse:
        state, item = self.state, (order.model, order.adapter)
        held = state.models.get(order.model)
        present = held is not None and (
            order.adapter in held or item in state.pending
        )
        if held is None and order.load:
            return engine_client.OrderResponse.CONFLICT
        if present == order.load:
            return engine_client.OrderResponse.APPLIED
        state.sequence += 1
        if order.load:
            state.pending.append(item)
            count = len(state.pending) + sum(map(len, state.models.values()))
            if count > world.LIMITS.adapter_capacity:
                self.violations.append(f"{order} with {count} adapters")
            asyncio.get_running_loop().call_later(
                _ADAPTER_S, self._finish_adapter, item
            )
            return engine_client.OrderResponse.STARTED
        if held is not None and order.adapter in held:
            held.remove(order.adapter)
        return engine_client.OrderResponse.APPLIED

    def _finish_adapter(self, item: tuple[str, str]) -> None:
        self.state.pending.remove(item)
        if item[0] in self.state.models:
            self.state.models[item[0]].append(item[1])
        self._record()

    def _accept_model(
        self, order: engine_client.Order
    ) -> engine_client.OrderResponse:
        state = self.state
        if (order.model in state.models) == order.load:
            return engine_client.OrderResponse.APPLIED
        state.sequence += 1
        state.busy = True
        if order.load and len(state.models) >= 3:
            self.violations.append(f"{order} beside {sorted(state.models)}")
        delay_s = _SWAP_S if order.load else 0.03
        asyncio.get_running_loop().call_later(
            delay_s, self._finish_model, order
        )
        return engine_client.OrderResponse.STARTED

    def _finish_model(self, order: engine_client.Order) -> None:
        self.state.busy = False
        if order.load:
            self.state.models[order.model] = []
        else:
            self.state.models.pop(order.model, None)
        self._record()

    def _record(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, copy.deepcopy(self.state)))


class _Client:
    """Sends orders to the engines of a test."""

    def __init__(self, engines: dict[str, _Engine]) -> None:
        self.on_leaving: Callable[[str], None] = lambda target: None
        self._engines = engines

    async def order(
        self,
        *,
        address: str,
        target: str,
        order: engine_client.Order,
        timeout_s: float,
    ) -> engine_client.OrderResponse:
        return await self._engines[target].order(order)

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> engine_client.Report:
        await asyncio.sleep(0.005)
        return self._engines[target].report()

    async def close(self) -> None:
        pass


def _demand(
    rng: random.Random, arrived: dict[tuple[str, str], int]
) -> fleet.FleetDemand:
    """Returns the demand for some models and adapters."""
    items = [(rng.choice(_MODELS[:2]), rng.choice(_ADAPTERS)) for _ in range(3)]
    items.append((rng.choice(_MODELS), ""))
    needs = []
    for model, adapter in items:
        arrived[model, adapter] = arrived.get((model, adapter), 0) + 1
        needs.append(
            fleet.ModelNeed(
                service=world.SERVICE,
                model=model,
                adapter=adapter,
                waiting=1,
                arrived=arrived[model, adapter],
                rate_per_ks=116,
                timely_for_ms=3000,
                patient_for_ms=12_000,
            )
        )
    return fleet.FleetDemand(gateway="g1", needs=needs)


async def _play(seed: int, loss: float) -> list[str]:
    """Returns the orders that exceeded the room of an engine."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    fakes = {
        f"t{number}": _Engine(f"t{number}", rng, loss)
        for number in range(_ENGINES)
    }
    registry = target_registry.Registry(silent_after_s=60.0)
    tracker = demand.DemandTracker()
    placer = controller.PlacementController(
        fencing=7,
        holder="h",
        registry=registry,
        demand_tracker=tracker,
        client=_Client(fakes),
        loads_window_s=5.0,
        lease_held=lambda: True,
        publish=lambda message: None,
        on_lease_lost=lambda: None,
    )
    limits = world.LIMITS.model_copy(
        update={"models": [world.model(name) for name in _MODELS]}
    )
    service = ingress.IngressService(name=world.SERVICE, engine=limits)
    view = config_view.View(
        version=1, objects={f"ingress_service/{world.SERVICE}": service}
    )
    arrived: dict[tuple[str, str], int] = {}
    sequence, announce_at = 0, 0.0
    while loop.time() < _DURATION_S:
        if loop.time() >= announce_at:
            announce_at = loop.time() + _ANNOUNCEMENT_S
            sequence += 1
            for number, (name, fake) in enumerate(fakes.items()):
                registration = world.registration(
                    name, address=f"10.0.0.{number}:80", sequence=sequence
                )
                registration.models = [
                    fleet.HeldModel(name=model, adapters=list(held))
                    for model, held in fake.report().models.items()
                ]
                registration.on_disk = list(_MODELS)
                registry.record_announcement(registration, loop.time())
        tracker.update(_demand(rng, arrived), loop.time())
        placer.reconcile(view, loop.time())
        await asyncio.sleep(rng.uniform(0.05, _REQUEST_S))
    placer.stop()
    return [item for fake in fakes.values() for item in fake.violations]


@pytest.mark.parametrize("loss", [0.05, 0.2, 0.35])
def test_no_order_exceeds_the_room_of_an_engine(loss: float) -> None:
    """Guards against a target that crashes with too many adapters or models.

    Orders are lost, carried out without a response, or carried out late.
    """
    for seed in range(_SEEDS):
        with asyncio.Runner(
            loop_factory=virtual_time.VirtualTimeLoop
        ) as runner:
            assert not runner.run(_play(seed, loss)), f"seed {seed}"
