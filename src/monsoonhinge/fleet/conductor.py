"""Places models while this member holds the lease of the fleet."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from monsoonhinge.config import view as config_view
from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import dialect
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.fleet import store as weight_store
from monsoonhinge.fleet import swaps
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events

# Time until an engine that has not answered is asked for its state again.
_CHECK_S = 0.4

# Time for the unloads of a swap, until its load begins.
_UNLOAD_S = 0.1

# Gateways learn of changed running counts at most this often.
_PUBLISH_RUNNING_S = 0.5

# An engine that refused an order is left alone for this long.
_REFUSED_PAUSE_S = 1.0


class Conductor:
    """Decides and orders for all engines under one fencing number.

    Attributes:
        fencing: Fencing number of the lease.
        engines: Engines by target id.
        book: Demand of the gateways.
    """

    def __init__(
        self,
        *,
        fencing: int,
        holder: str,
        registry: target_registry.Registry,
        book: demand.DemandBook,
        client: dialect.Engines,
        loads_window_s: float,
        held: Callable[[], bool],
        publish: Callable[[fleet.Placements], None],
        deposed: Callable[[], None],
    ) -> None:
        self.fencing = fencing
        self.engines: dict[str, engines.Engine] = {}
        self.book = book
        self._holder = holder
        self._registry = registry
        self._client = client
        self._held = held
        self._publish = publish
        self._deposed = deposed
        self._store = weight_store.StoreBudget(window_s=loads_window_s)
        self._channels: dict[str, orders.Channel] = {}
        self._tasks: dict[str, set[asyncio.Task[None]]] = {}
        self._published: dict[str, fleet.Placement] = {}
        self._running_at = 0.0
        self._adapter_orders: set[tuple[str, str, str]] = set()

    def stop(self) -> None:
        """Gives no more orders."""
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()

    def step(self, view: config_view.View, now: float) -> None:
        """Begins what is due."""
        self._follow_registry(view, now)
        running = self.book.running()
        unreachable = self.book.unreachable()
        for engine in self.engines.values():
            engine.use(running.get(engine.target, {}), now)
            engine.unreachable = engine.target in unreachable
        needs = self.book.needs(now)
        for name, service in view.ingress_services.items():
            if service.engine is None:
                continue
            own = [
                engine
                for engine in self.engines.values()
                if engine.registration.service == name
            ]
            planned = placement.plan(
                service=name,
                fleet=own,
                needs=needs,
                store=placement.StoreState(
                    loading=len(self._store.loading),
                    may_start=self._store.may_start(
                        loads_per_s=service.engine.loads_per_s, now=now
                    ),
                ),
                now=now,
            )
            for swap in planned:
                self._begin(swap, now)
            for move in adapters.plan(
                service=name,
                fleet=own,
                needs=needs,
                ordered=self._adapter_orders,
                now=now,
            ):
                self._begin_adapter(move, now)
        self._publish_changes(now)

    def snapshot(self, now: float) -> fleet.Placements:
        """Returns all placements, for a new subscriber."""
        return fleet.Placements(
            fencing=self.fencing,
            placements=[
                engine.placement(now) for engine in self.engines.values()
            ],
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state for operators; times are seconds from now."""
        return {
            "fencing": self.fencing,
            "engines": {
                engine.target: engine.dump(now)
                for engine in self.engines.values()
            },
            "needs": {
                key.model: {
                    "service": key.service,
                    "waiting": need.waiting,
                    "rate": round(need.rate, 3),
                }
                for key, need in self.book.needs(now).items()
            },
        }

    def _follow_registry(self, view: config_view.View, now: float) -> None:
        serving = {
            registration.target: registration
            for registration in self._registry.serving()
        }
        for target in list(self.engines):
            known = self.engines[target].registration
            current = serving.get(target)
            if current is None or current.incarnation != known.incarnation:
                self._drop(target)
        for target, registration in serving.items():
            service = view.ingress_services.get(registration.service)
            if service is None or service.engine is None:
                continue
            engine = self.engines.get(target)
            if engine is None:
                self._add(registration, service.engine, now)
                continue
            engine.configure(service.engine)
            if engine.registration.sequence != registration.sequence:
                engine.announced(registration, now)

    def _add(
        self, registration: fleet.Registration, limits: Any, now: float
    ) -> None:
        engine = engines.Engine(
            registration=registration, limits=limits, now=now
        )
        self.engines[engine.target] = engine
        self._channels[engine.target] = orders.Channel(
            engine=engine,
            client=self._client,
            holder=self._holder,
            fencing=self.fencing,
            may_order=self._held,
        )
        self._spawn(engine.target, self._introduce(engine))

    def _drop(self, target: str) -> None:
        engine = self.engines.pop(target)
        self._channels.pop(target)
        for task in self._tasks.pop(target, ()):
            task.cancel()
        for model in engine.held:
            self._store.finish(target, model)
        self._adapter_orders = {
            item for item in self._adapter_orders if item[0] != target
        }
        self._published.pop(target, None)

    def _spawn(self, target: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.setdefault(target, set()).add(task)
        task.add_done_callback(
            lambda done: self._tasks.get(target, set()).discard(done)
        )

    async def _introduce(self, engine: engines.Engine) -> None:
        """Learns the state of an engine before it gets orders."""
        channel = self._channels[engine.target]
        try:
            while True:
                try:
                    if await channel.introduce():
                        return
                except dialect.Unanswered as error:
                    events.emit(
                        events.DEPENDENCY,
                        dependency="engine",
                        target=engine.target,
                        state="lost",
                        error=str(error),
                    )
                await asyncio.sleep(_CHECK_S)
        except orders.Deposed:
            self._deposed()

    def _begin(self, swap: placement.Swap, now: float) -> None:
        engine = self.engines[swap.target]
        engine.swapping = True
        for name in swap.evict:
            engine.begin_unload(name, now)
        # The memory is taken from now on, whatever else is planned meanwhile.
        engine.begin_load(
            swap.model, ready_at=now + swap.load_s + _UNLOAD_S, now=now
        )
        need = self.book.needs(now).get(
            demand.ModelKey(engine.registration.service, swap.model)
        )
        events.emit(
            events.PLACEMENT,
            target=swap.target,
            model=swap.model,
            evict=list(swap.evict),
            load_s=round(swap.load_s, 3),
            from_store=swap.from_store,
            reason=swap.reason,
            waiting=need.waiting if need else 0,
            fencing=self.fencing,
        )
        self._spawn(swap.target, self._swap(engine, swap))

    async def _swap(self, engine: engines.Engine, swap: placement.Swap) -> None:
        loop = asyncio.get_running_loop()
        swapper = swaps.Swapper(
            engine=engine,
            channel=self._channels[swap.target],
            store=self._store,
            changed=lambda: self._publish_changes(loop.time()),
        )
        try:
            if not await swapper.run(swap):
                self._refused(engine, swap, loop.time())
        except orders.Deposed as error:
            events.emit(
                events.LEASE,
                lease="fleet",
                fencing=self.fencing,
                outcome="deposed",
                error=str(error),
            )
            self._deposed()
        finally:
            self._publish_changes(loop.time())

    def _refused(
        self, engine: engines.Engine, swap: placement.Swap, now: float
    ) -> None:
        """Learns anew what an engine holds after it refused an order."""
        engine.accepted = None
        engine.retry_at = now + _REFUSED_PAUSE_S
        self._spawn(engine.target, self._introduce(engine))
        events.emit(
            events.PLACEMENT,
            target=swap.target,
            model=swap.model,
            reason="refused",
            fencing=self.fencing,
        )

    def _begin_adapter(self, move: adapters.Move, now: float) -> None:
        engine = self.engines[move.target]
        engine.held[move.model].adapters[move.adapter] = now
        self._adapter_orders.add((move.target, move.model, move.adapter))
        self._spawn(move.target, self._move_adapter(engine, move))

    async def _move_adapter(
        self, engine: engines.Engine, move: adapters.Move
    ) -> None:
        loop = asyncio.get_running_loop()
        channel = self._channels[move.target]
        done = False
        try:
            if move.evict and not await self._drop_adapter(engine, move.evict):
                return
            outcome = await channel.give(
                load=True, model=move.model, adapter=move.adapter
            )
            done = outcome is not orders.Outcome.REFUSED
            if done:
                await asyncio.sleep(adapters.LOAD_S)
        except orders.Deposed:
            self._deposed()
        finally:
            if not done and move.model in engine.held:
                engine.held[move.model].adapters.pop(move.adapter, None)
            self._adapter_orders.discard(
                (move.target, move.model, move.adapter)
            )
            self._publish_changes(loop.time())

    async def _drop_adapter(
        self, engine: engines.Engine, evict: tuple[str, str]
    ) -> bool:
        """Unloads an adapter; returns whether its memory is free."""
        model, adapter = evict
        outcome = await self._channels[engine.target].give(
            load=False, model=model, adapter=adapter
        )
        if outcome is orders.Outcome.HOLDS:
            if model in engine.held:
                engine.held[model].adapters.pop(adapter, None)
            return True
        if outcome is orders.Outcome.STARTED:
            # It still runs requests; until they end, nothing else is taken.
            engine.accepted = None
            self._spawn(engine.target, self._introduce(engine))
        return False

    def _publish_changes(self, now: float) -> None:
        with_running = now - self._running_at >= _PUBLISH_RUNNING_S
        changed = []
        for target, engine in self.engines.items():
            made = engine.placement(now)
            for model in made.models:
                model.adapters = [
                    adapter
                    for adapter in model.adapters
                    if (target, model.name, adapter) not in self._adapter_orders
                ]
            known = self._published.get(target)
            if known is None or _differs(made, known, with_running):
                self._published[target] = made
                changed.append(made)
        if with_running:
            self._running_at = now
        if changed:
            self._publish(
                fleet.Placements(fencing=self.fencing, placements=changed)
            )


def _differs(
    made: fleet.Placement, known: fleet.Placement, with_running: bool
) -> bool:
    if with_running and made.running != known.running:
        return True
    return [_state(model) for model in made.models] != [
        _state(model) for model in known.models
    ]


def _state(model: fleet.PlacedModel) -> tuple[str, str, tuple[str, ...]]:
    return model.name, model.state, tuple(model.adapters)
