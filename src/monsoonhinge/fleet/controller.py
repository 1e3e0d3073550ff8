"""Places models on engines while this member holds the fleet lease."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
import functools
from typing import Any

from monsoonhinge.config import ingress
from monsoonhinge.config import view as config_view
from monsoonhinge.fleet import adapter_loader
from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import delay_feed
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import engine_dump
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import placement_feed
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import placement_report
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.fleet import silent_engines
from monsoonhinge.fleet import swaps
from monsoonhinge.fleet import weightstore
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.runtime import supervision

# Delay before another attempt to read the state of an engine.
_SYNC_RETRY_S = 0.4

# Expected time for the unloads of a swap, before its load starts.
_UNLOAD_DURATION_S = 0.1

# Time without new swaps on a silent engine that has not replied yet.
_SILENT_PAUSE_S = 0.3

# Time without new swaps after an engine refused an order.
_REFUSAL_BACKOFF_S = 1.0


class PlacementController:
    """Plans swaps and adapter loads, and sends the orders for them.

    All orders carry the fencing token of one grant of the lease.

    Attributes:
        fencing: Fencing token of the lease.
        engines: Engines by target id.
        demand_tracker: Demand of the gateways.
    """

    def __init__(
        self,
        *,
        fencing: int,
        holder: str,
        registry: target_registry.Registry,
        demand_tracker: demand.DemandTracker,
        client: engine_client.EngineClient,
        loads_window_s: float,
        lease_held: Callable[[], bool],
        publish: Callable[[fleet.Placements | fleet.ModelDelays], None],
        on_lease_lost: Callable[[], None],
    ) -> None:
        self.fencing = fencing
        self.engines: dict[str, engines.Engine] = {}
        self.demand_tracker = demand_tracker
        self._holder = holder
        self._registry = registry
        self._client = client
        self._lease_held = lease_held
        self._on_lease_lost = on_lease_lost
        self._store_limiter = weightstore.StoreLimiter(window_s=loads_window_s)
        self._channels: dict[str, orders.Channel] = {}
        self._tasks: dict[str, supervision.Supervisor] = {}
        self._feed = placement_feed.PlacementFeed(
            fencing=fencing, publish=publish
        )
        self._delay_feed = delay_feed.DelayFeed(
            fencing=fencing, publish=publish
        )
        self._adapter_loader = adapter_loader.AdapterLoader(
            on_change=self._publish_current,
            on_lease_lost=on_lease_lost,
            on_state_unknown=self._resynchronize_engine,
        )
        self._reporter = placement_report.PlacementReporter()
        self._silent_engines = silent_engines.SilentEngines(
            replies=self._replies
        )

    def stop(self) -> None:
        """Cancels all tasks, so that no more orders are sent."""
        for tasks in self._tasks.values():
            tasks.cancel()
        self._silent_engines.stop()

    def reconcile(self, view: config_view.View, now: float) -> bool:
        """Updates the engines, then starts the loads that the plan requires.

        An exception in the planning of a service does not stop the others.

        Returns:
            Whether any service could be planned, or there is none.
        """
        self._sync_engines(view, now)
        running = self.demand_tracker.running_requests()
        unreachable = self.demand_tracker.unreachable_targets()
        for engine in self.engines.values():
            engine.update_usage(running.get(engine.target, {}), now)
            engine.unreachable = engine.target in unreachable
        needs = self.demand_tracker.needs(now)
        services = {
            name: service.engine
            for name, service in view.ingress_services.items()
            if service.engine is not None
        }
        planned = not services
        self._delay_feed.start_round()
        for name, limits in services.items():
            with supervision.contain("plan_service", subject=name):
                self._plan_service(name, limits, needs, now)
                planned = True
        with supervision.contain("publish_placements"):
            self._publish_changes(now)
        with supervision.contain("publish_delays"):
            self._delay_feed.publish(now)
        return planned

    def _plan_service(
        self,
        name: str,
        limits: ingress.IngressEngine,
        needs: Mapping[demand.ModelKey, demand.Need],
        now: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        service_engines = [
            engine
            for engine in self.engines.values()
            if engine.registration.service == name
        ]
        plan = placement.plan(
            service=name,
            fleet=service_engines,
            needs=needs,
            store=placement_plan.StoreState(
                active_loads=len(self._store_limiter.active_loads)
                + sum(engine.busy_while_unknown for engine in service_engines),
                available_starts=self._store_limiter.available_starts(
                    loads_per_s=limits.loads_per_s, now=now
                ),
                max_concurrency=self._store_limiter.max_concurrency,
            ),
            now=now,
        )
        self._delay_feed.record(
            name, plan.queued_loads, store=self._store_limiter, now=now
        )
        for target, model in plan.reactivations:
            self.engines[target].reactivate(model, now)
        for swap in plan.swaps:
            self._start_swap(swap, now)
        for target, model in plan.retirements:
            self._retire(target, model, now)
        for load in adapters.plan(
            service=name,
            fleet=service_engines,
            needs=needs,
            in_flight=self._adapter_loader.in_flight,
            now=now,
        ):
            engine = self.engines[load.target]
            self._adapter_loader.reserve(engine, load, now)
            self._spawn(
                load.target,
                self._adapter_loader.run(
                    engine, self._channels[load.target], load
                ),
            )
        self._reporter.record(
            service=name,
            fleet=service_engines,
            plan=plan,
            needs=needs,
            store_loads=self._store_limiter.active_loads,
            step_s=loop.time() - started_at,
            now=now,
        )

    def snapshot(self, now: float) -> fleet.Placements:
        """Returns the placements of all engines, for a new subscriber."""
        return fleet.Placements(
            fencing=self.fencing,
            placements=[
                placement_feed.placement_message(engine, now)
                for engine in self.engines.values()
            ],
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state for operators, with times relative to ``now``."""
        return {
            "fencing": self.fencing,
            "engines": {
                engine.target: engine_dump.dump(engine, now)
                for engine in self.engines.values()
            },
            "needs": engine_dump.dump_needs(self.demand_tracker.needs(now)),
        }

    def _sync_engines(self, view: config_view.View, now: float) -> None:
        ready = {
            registration.target: registration
            for registration in self._registry.ready_registrations()
        }
        for target in list(self.engines):
            known = self.engines[target].registration
            current = ready.get(target)
            if current is not None and (
                current.incarnation == known.incarnation
            ):
                self._silent_engines.forget(target)
            elif not self._keeps_silent(self.engines[target], now):
                self._remove_engine(target, now)
        for target, registration in ready.items():
            service = view.ingress_services.get(registration.service)
            if service is None or service.engine is None:
                continue
            engine = self.engines.get(target)
            if engine is None:
                self._add_engine(registration, service.engine, now)
                continue
            engine.configure(service.engine)
            if engine.registration.sequence != registration.sequence:
                engine.apply_announcement(registration, now)

    def _keeps_silent(self, engine: engines.Engine, now: float) -> bool:
        """Returns whether an engine that is not ready is only silent."""
        known = engine.registration
        if not self._registry.is_silent(engine.target, known.incarnation):
            return False
        kept = self._silent_engines.is_kept(
            engine.target, known.incarnation, now
        )
        if kept and not self._silent_engines.is_confirmed(engine.target):
            engine.retry_at = max(engine.retry_at, now + _SILENT_PAUSE_S)
        return kept

    async def _replies(self, target: str) -> bool:
        try:
            await self._channels[target].fetch_report()
        except (KeyError, engine_client.NoResponseError):
            return False
        return True

    def _add_engine(
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
            lease_held=self._lease_held,
        )
        self._start_synchronization(engine)

    def _remove_engine(self, target: str, now: float) -> None:
        engine = self.engines.pop(target)
        self._channels.pop(target)
        if target in self._tasks:
            self._tasks.pop(target).cancel()
        for model in engine.replicas:
            self._store_limiter.record_finish(
                target, model, loaded=False, now=now
            )
        self._adapter_loader.forget(target)
        self._silent_engines.forget(target)
        self._feed.forget(target)

    def _spawn(self, target: str, work: Coroutine[Any, Any, None]) -> None:
        self._supervisor(target).spawn("engine_order", work)

    def _supervisor(self, target: str) -> supervision.Supervisor:
        return self._tasks.setdefault(target, supervision.Supervisor())

    def _start_synchronization(self, engine: engines.Engine) -> None:
        self._supervisor(engine.target).start(
            "synchronize_engine",
            functools.partial(self._synchronize_engine, engine),
        )

    async def _synchronize_engine(self, engine: engines.Engine) -> None:
        """Reads the state of an engine, which enables orders to it."""
        channel = self._channels[engine.target]
        try:
            while True:
                try:
                    if await channel.synchronize():
                        return
                except engine_client.NoResponseError as error:
                    events.emit(
                        events.DEPENDENCY,
                        dependency="engine",
                        target=engine.target,
                        state="lost",
                        error=str(error),
                    )
                await asyncio.sleep(_SYNC_RETRY_S)
        except orders.LeaseLostError:
            self._on_lease_lost()

    def _resynchronize_engine(self, engine: engines.Engine) -> None:
        """Sends no orders to an engine until its state is known again."""
        engine.order_count = None
        engine.unknown_since = asyncio.get_running_loop().time()
        self._start_synchronization(engine)

    def _start_swap(self, swap: placement_plan.Swap, now: float) -> None:
        engine = self.engines[swap.target]
        engine.swapping = True
        for name in swap.evictions:
            engine.begin_unload(name, now)
        # Reserves the memory now, so that later plans take it into account.
        engine.begin_load(
            swap.model, ready_at=now + swap.load_s + _UNLOAD_DURATION_S, now=now
        )
        if swap.from_store:
            self._store_limiter.reserve(swap.target, swap.model)
        need = self.demand_tracker.needs(now).get(
            demand.ModelKey(engine.registration.service, swap.model)
        )
        placement_report.emit_swap(
            swap, waiting=need.waiting if need else 0, fencing=self.fencing
        )
        self._spawn(swap.target, self._run_swap(engine, swap))

    def _retire(self, target: str, model: str, now: float) -> None:
        self.engines[target].retire(model, now)
        placement_report.emit_change(
            target, model, reason="retired", fencing=self.fencing
        )

    async def _run_swap(
        self, engine: engines.Engine, swap: placement_plan.Swap
    ) -> None:
        loop = asyncio.get_running_loop()
        executor = swaps.SwapExecutor(
            engine=engine,
            channel=self._channels[swap.target],
            store_limiter=self._store_limiter,
            on_change=self._publish_current,
        )
        try:
            if not await executor.run(swap):
                self._handle_refusal(engine, swap, loop.time())
        except orders.LeaseLostError as error:
            events.emit(
                events.LEASE,
                lease="fleet",
                fencing=self.fencing,
                outcome="deposed",
                error=str(error),
            )
            self._on_lease_lost()
        finally:
            self._publish_current()

    def _handle_refusal(
        self, engine: engines.Engine, swap: placement_plan.Swap, now: float
    ) -> None:
        """Reads the state of an engine again after it refused an order."""
        engine.retry_at = now + _REFUSAL_BACKOFF_S
        self._resynchronize_engine(engine)
        placement_report.emit_change(
            swap.target, swap.model, reason="refused", fencing=self.fencing
        )

    def _publish_current(self) -> None:
        self._publish_changes(asyncio.get_running_loop().time())

    def _publish_changes(self, now: float) -> None:
        self._feed.publish_changes(
            self.engines.values(),
            adapters_in_flight=self._adapter_loader.in_flight,
            now=now,
        )
