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
_STEP_S = 0.1

# Reports and announcements are this old.
_REPORT_AGE_S = 0.2
_ANNOUNCEMENT_S = 1.2

_LATE_S = (2.0, 12.0)
_SWAP_S = 0.9

# An engine is cut off from its holder for longer than it may be silent.
_CUT_S = 5.0
_SILENT_AFTER_S = 3.6
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
        cut_until: Time until which no order and no report reaches it.
        violations: Orders that exceeded its room.
        running: Requests by (model, adapter).
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        loss: float,
        *,
        cut_share: float = 0.0,
        counts_held: bool = False,
    ) -> None:
        self.name = name
        self.cut_until = 0.0
        self.state = _State({name: [] for name in _MODELS[:3]})
        self.violations: list[str] = []
        self.running: dict[tuple[str, str], int] = {}
        self._rng = rng
        self._loss = loss
        self._cut_share = cut_share
        self._counts_held = counts_held
        self._fencing = 0
        self._history = [(0.0, copy.deepcopy(self.state))]

    async def order(
        self, order: engine_client.Order
    ) -> engine_client.OrderResponse:
        await self._pass_cut()
        await asyncio.sleep(self._rng.uniform(0.001, 0.01))
        if order.fencing < self._fencing:
            return engine_client.OrderResponse.FENCED
        self._fencing = order.fencing
        fate = self._rng.random()
        if fate < self._loss:
            delay_s = self._rng.choice([0.0, self._rng.uniform(*_LATE_S)])
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._accept, order)
            if self._rng.random() < self._cut_share:
                self.cut_until = loop.time() + _CUT_S
            await asyncio.sleep(0.2)
            raise engine_client.NoResponseError("lost")
        response = self._accept(order)
        if fate < 2 * self._loss:
            await asyncio.sleep(0.2)
            raise engine_client.NoResponseError("lost")
        await asyncio.sleep(self._rng.uniform(0.001, 0.01))
        return response

    async def _pass_cut(self) -> None:
        if asyncio.get_running_loop().time() < self.cut_until:
            await asyncio.sleep(0.2)
            raise engine_client.NoResponseError("cut off")

    async def fetch_report(self) -> engine_client.Report:
        await self._pass_cut()
        await asyncio.sleep(0.005)
        return self.report()

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
            return self._already_holds()
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

    def _already_holds(self) -> engine_client.OrderResponse:
        # The pages leave open whether such an order counts as accepted.
        self.state.sequence += self._counts_held
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
            return self._already_holds()
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
        return await self._engines[target].fetch_report()

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


@dataclasses.dataclass(frozen=True)
class _Troubles:
    """What happens in a run besides lost and late orders.

    Attributes:
        loss: Part of the orders that are lost or late, and of the responses.
        cut_share: Part of the orders without a response after which the
            engine is cut off.
        holder_interval_s: Mean time between changes of the lease holder; 0
            without any.
        counts_held: Whether engines count orders that hold already.
        pause_s: Longest time between two sets of requests.
        duration_s: Duration of the run.
    """

    loss: float
    cut_share: float = 0.0
    holder_interval_s: float = 0.0
    counts_held: bool = False
    pause_s: float = _REQUEST_S
    duration_s: float = _DURATION_S


class _Run:
    """A lease holder, its successors and the engines.

    Attributes:
        engines: Engines by target id.
    """

    def __init__(self, seed: int, troubles: _Troubles) -> None:
        self.rng = random.Random(seed)
        self.engines = {
            f"t{number}": _Engine(
                f"t{number}",
                self.rng,
                troubles.loss,
                cut_share=troubles.cut_share,
                counts_held=troubles.counts_held,
            )
            for number in range(_ENGINES)
        }
        self._troubles = troubles
        self._registry = target_registry.Registry(
            silent_after_s=_SILENT_AFTER_S
        )
        self._tracker = demand.DemandTracker()
        self._fencing = 7
        self._placer = self._new_holder()
        limits = world.LIMITS.model_copy(
            update={"models": [world.model(name) for name in _MODELS]}
        )
        service = ingress.IngressService(name=world.SERVICE, engine=limits)
        self._view = config_view.View(
            version=1, objects={f"ingress_service/{world.SERVICE}": service}
        )
        self._arrived: dict[tuple[str, str], int] = {}
        self._sequence = 0
        self._announce_at = 0.0

    async def play(self) -> list[str]:
        """Returns the orders that exceeded the room of an engine."""
        loop = asyncio.get_running_loop()
        last_at = request_at = loop.time()
        while loop.time() < self._troubles.duration_s:
            self._trouble(loop.time() - last_at)
            last_at = loop.time()
            self._registry.expire(loop.time())
            if loop.time() >= self._announce_at:
                self._announce_at = loop.time() + _ANNOUNCEMENT_S
                self._announce(loop.time())
            if loop.time() >= request_at:
                request_at = loop.time() + self.rng.uniform(
                    0.05, self._troubles.pause_s
                )
                self._tracker.update(
                    _demand(self.rng, self._arrived), loop.time()
                )
            self._placer.reconcile(self._view, loop.time())
            await asyncio.sleep(_STEP_S)
        self._placer.stop()
        return [
            item for fake in self.engines.values() for item in fake.violations
        ]

    def _new_holder(self) -> controller.PlacementController:
        return controller.PlacementController(
            fencing=self._fencing,
            holder="h",
            registry=self._registry,
            demand_tracker=self._tracker,
            client=_Client(self.engines),
            loads_window_s=5.0,
            lease_held=lambda: True,
            publish=lambda message: None,
            on_lease_lost=lambda: None,
        )

    def _trouble(self, elapsed_s: float) -> None:
        """Draws the troubles of the time that has passed."""
        holder_s = self._troubles.holder_interval_s
        if holder_s and self.rng.random() < elapsed_s / holder_s:
            self._placer.stop()
            self._fencing += 1
            self._placer = self._new_holder()

    def _announce(self, now: float) -> None:
        self._sequence += 1
        for number, (name, fake) in enumerate(self.engines.items()):
            if now < fake.cut_until:
                continue
            registration = world.registration(
                name, address=f"10.0.0.{number}:80", sequence=self._sequence
            )
            registration.models = [
                fleet.HeldModel(name=model, adapters=list(held))
                for model, held in fake.report().models.items()
            ]
            registration.on_disk = list(_MODELS)
            self._registry.record_announcement(registration, now)


async def _play(seed: int, troubles: _Troubles) -> list[str]:
    return await _Run(seed, troubles).play()


def _check(troubles: _Troubles) -> None:
    for seed in range(_SEEDS):
        with asyncio.Runner(
            loop_factory=virtual_time.VirtualTimeLoop
        ) as runner:
            assert not runner.run(_play(seed, troubles)), f"seed {seed}"


@pytest.mark.parametrize("loss", [0.05, 0.2, 0.35])
def test_no_order_exceeds_the_room_of_an_engine(loss: float) -> None:
    """Guards against a target that crashes with too many adapters or models.

    Orders are lost, carried out without a response, or carried out late.
    """
    _check(_Troubles(loss=loss))


@pytest.mark.parametrize("loss", [0.05, 0.2, 0.35])
@pytest.mark.parametrize("counts_held", [False, True])
def test_no_order_exceeds_the_room_after_a_cut(
    loss: float, counts_held: bool
) -> None:
    """Guards against orders on a state that lacks an order carried out late.

    An engine that is heard again after a cut may still carry out an order.
    """
    _check(
        _Troubles(
            loss=loss,
            cut_share=0.7,
            counts_held=counts_held,
            pause_s=6.0,
            duration_s=200.0,
        )
    )


@pytest.mark.parametrize("loss", [0.05, 0.2, 0.35])
@pytest.mark.parametrize("counts_held", [False, True])
def test_no_order_exceeds_the_room_after_a_change_of_the_holder(
    loss: float, counts_held: bool
) -> None:
    """Guards against late orders of an earlier holder of the lease.

    They are carried out although the engine has seen a higher fencing token.
    """
    _check(
        _Troubles(
            loss=loss,
            cut_share=0.3,
            holder_interval_s=8.0,
            counts_held=counts_held,
            pause_s=6.0,
            duration_s=200.0,
        )
    )
