"""Carries out a swap on one engine, step by step."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import weightstore
from monsoonhinge.runtime import events

# An engine drops a model that runs nothing within this time.
_UNLOAD_TIMEOUT_S = 0.1

# How often a load is checked once it should be finished.
_LOAD_CHECK_INTERVAL_S = 0.4
_MAX_LOAD_CHECKS = 40


class SwapExecutor:
    """Unloads and loads models of one engine.

    Attributes:
        engine: The engine.
        channel: Orders to it.
    """

    def __init__(
        self,
        *,
        engine: engines.Engine,
        channel: orders.Channel,
        store_limiter: weightstore.StoreRateLimiter,
        on_change: Callable[[], None],
    ) -> None:
        self.engine = engine
        self.channel = channel
        self._store_limiter = store_limiter
        self._on_change = on_change

    async def run(self, swap: placement.Swap) -> bool:
        """Carries out a swap; returns whether the engine took every order.

        Raises:
            orders.LeaseLostError: Another member gives orders now.
        """
        try:
            for name in swap.evict:
                if not await self._unload(name):
                    return False
            return await self._load(swap)
        finally:
            self._store_limiter.record_finish(swap.target, swap.model)
            self.engine.swapping = False

    async def _unload(self, model: str) -> bool:
        """Unloads a model; returns whether the engine accepted that."""
        outcome = await self.channel.execute(load=False, model=model)
        if outcome is orders.Outcome.REFUSED:
            return False
        await self._wait_for_announcement(
            lambda: model not in self.engine.announced_models, _UNLOAD_TIMEOUT_S
        )
        self.engine.finish_unload(model, asyncio.get_running_loop().time())
        return True

    async def _load(self, swap: placement.Swap) -> bool:
        """Loads a model; returns whether the engine accepted that."""
        loop = asyncio.get_running_loop()
        if swap.from_store:
            self._store_limiter.record_start(
                swap.target, swap.model, loop.time()
            )
        outcome = await self.channel.execute(load=True, model=swap.model)
        if outcome is orders.Outcome.REFUSED:
            return False
        started_at = loop.time()
        self.engine.begin_load(
            swap.model, ready_at=started_at + swap.load_s, now=started_at
        )
        self._on_change()
        await self._wait_until_loaded(swap)
        self.engine.finish_load(swap.model, loop.time())
        events.emit(
            events.LOADED,
            target=swap.target,
            model=swap.model,
            from_store=swap.from_store,
            expected_s=round(swap.load_s, 3),
            load_s=round(loop.time() - started_at, 3),
        )
        return True

    async def _wait_until_loaded(self, swap: placement.Swap) -> None:
        """Waits until the engine announces a model, or reports it.

        A load may read from the store for seconds although a copy was listed,
        since copies yield to newer ones.
        """
        timeout_s = swap.load_s + _LOAD_CHECK_INTERVAL_S
        for _ in range(_MAX_LOAD_CHECKS):
            if await self._wait_for_announcement(
                lambda: swap.model in self.engine.announced_models, timeout_s
            ):
                return
            timeout_s = _LOAD_CHECK_INTERVAL_S
            try:
                report = await self.channel.fetch_report()
            except engine_client.NoResponseError:
                continue
            if swap.model in report.models or not report.busy:
                return

    async def _wait_for_announcement(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        """Returns whether an announcement met a condition in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await self.engine.announcement_received.wait()
        return condition()
