"""Carries out planned adapter loads."""

import asyncio
from collections.abc import Callable

from monsoonhinge.fleet import adapters
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import orders


class AdapterLoader:
    """Loads adapters on engines and evicts others for them.

    Attributes:
        in_flight: Loads in progress, as (target, model, adapter).
    """

    def __init__(
        self,
        *,
        on_change: Callable[[], None],
        on_lease_lost: Callable[[], None],
        on_state_unknown: Callable[[engines.Engine], None],
    ) -> None:
        self.in_flight: set[tuple[str, str, str]] = set()
        self._on_change = on_change
        self._on_lease_lost = on_lease_lost
        self._on_state_unknown = on_state_unknown

    def reserve(
        self, engine: engines.Engine, load: adapters.AdapterLoad, now: float
    ) -> None:
        """Reserves memory and a slot, so that later plans count them."""
        engine.replicas[load.model].adapters[load.adapter] = now
        engine.adapters_in_flight.add((load.model, load.adapter))
        self.in_flight.add((load.target, load.model, load.adapter))

    def forget(self, target: str) -> None:
        """Drops the loads of an engine that is gone."""
        self.in_flight = {item for item in self.in_flight if item[0] != target}

    async def run(
        self,
        engine: engines.Engine,
        channel: orders.Channel,
        load: adapters.AdapterLoad,
    ) -> None:
        """Carries out a reserved load."""
        done = False
        try:
            if load.eviction and not await self._unload(
                engine, channel, load.eviction
            ):
                return
            outcome = await channel.execute(
                load=True, model=load.model, adapter=load.adapter
            )
            done = outcome is not orders.Outcome.REFUSED
            if outcome is orders.Outcome.UNKNOWN:
                self._on_state_unknown(engine)
            elif done:
                await asyncio.sleep(adapters.ADAPTER_LOAD_S)
        except orders.LeaseLostError:
            self._on_lease_lost()
        finally:
            if not done and load.model in engine.replicas:
                engine.replicas[load.model].adapters.pop(load.adapter, None)
            engine.adapters_in_flight.discard((load.model, load.adapter))
            self.in_flight.discard((load.target, load.model, load.adapter))
            self._on_change()

    async def _unload(
        self,
        engine: engines.Engine,
        channel: orders.Channel,
        eviction: tuple[str, str],
    ) -> bool:
        """Unloads an adapter; returns whether its memory is free now."""
        model, adapter = eviction
        outcome = await channel.execute(
            load=False, model=model, adapter=adapter
        )
        if outcome is orders.Outcome.APPLIED:
            if model in engine.replicas:
                engine.replicas[model].adapters.pop(adapter, None)
            return True
        if outcome in (orders.Outcome.STARTED, orders.Outcome.UNKNOWN):
            # Either the adapter has running requests, and the engine refuses
            # other orders until they end; or its state is not the known one.
            self._on_state_unknown(engine)
        return False
