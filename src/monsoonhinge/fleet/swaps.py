"""Carries out a swap of models on one engine."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement_plan
from monsoonhinge.fleet import weightstore
from monsoonhinge.runtime import events

# An engine unloads a model without running requests within this time.
_UNLOAD_TIMEOUT_S = 0.1

# Interval of the checks of a load that is later than expected, and number of
# consecutive checks without a response after which it counts as failed.
_LOAD_CHECK_INTERVAL_S = 0.4
_MAX_UNANSWERED_CHECKS = 40


class SwapExecutor:
    """Unloads and loads models on one engine.

    Attributes:
        engine: State of the engine.
        channel: Channel for its orders.
    """

    def __init__(
        self,
        *,
        engine: engines.Engine,
        channel: orders.Channel,
        store_limiter: weightstore.StoreLimiter,
        on_change: Callable[[], None],
    ) -> None:
        self.engine = engine
        self.channel = channel
        self._store_limiter = store_limiter
        self._on_change = on_change

    async def run(self, swap: placement_plan.Swap) -> bool:
        """Carries out a swap; returns whether the model is loaded.

        Raises:
            orders.LeaseLostError: The lease is not held, or another member
                sends orders now.
        """
        loaded = False
        try:
            for name in swap.evictions:
                if not await self._unload(name):
                    return False
            loaded = await self._load(swap)
            return loaded
        finally:
            self._store_limiter.record_finish(
                swap.target,
                swap.model,
                loaded=loaded,
                now=asyncio.get_running_loop().time(),
            )
            self.engine.swapping = False

    async def _unload(self, model: str) -> bool:
        """Unloads a model; returns whether the engine accepted the order."""
        outcome = await self.channel.execute(load=False, model=model)
        if outcome in (orders.Outcome.REFUSED, orders.Outcome.UNKNOWN):
            return False
        await self._wait_for_announcement(
            lambda: model not in self.engine.announced_models, _UNLOAD_TIMEOUT_S
        )
        self.engine.finish_unload(model, asyncio.get_running_loop().time())
        return True

    async def _load(self, swap: placement_plan.Swap) -> bool:
        """Loads a model; returns whether it is loaded."""
        loop = asyncio.get_running_loop()
        if swap.from_store:
            self._store_limiter.record_start(
                swap.target,
                swap.model,
                full_speed_s=swap.load_s,
                now=loop.time(),
            )
        outcome = await self.channel.execute(load=True, model=swap.model)
        if outcome is orders.Outcome.UNKNOWN:
            # It takes no requests, but its memory stays counted.
            self.engine.begin_unload(swap.model, loop.time())
        if outcome in (orders.Outcome.REFUSED, orders.Outcome.UNKNOWN):
            return False
        started_at = loop.time()
        self.engine.begin_load(
            swap.model, ready_at=started_at + swap.load_s, now=started_at
        )
        self._on_change()
        if not await self._wait_until_loaded(swap):
            return False
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

    async def _wait_until_loaded(self, swap: placement_plan.Swap) -> bool:
        """Waits until the engine announces or reports the loaded model.

        A load may take seconds longer than expected, because the engine reads
        from the store if it has evicted the cached copy that it had listed, or
        because others share the speed of the store.

        Returns:
            Whether the model is loaded.
        """
        timeout_s = swap.load_s + _LOAD_CHECK_INTERVAL_S
        unanswered = 0
        while unanswered < _MAX_UNANSWERED_CHECKS:
            if await self._wait_for_announcement(
                lambda: swap.model in self.engine.announced_models, timeout_s
            ):
                return True
            timeout_s = _LOAD_CHECK_INTERVAL_S
            try:
                report = await self.channel.fetch_report()
            except engine_client.NoResponseError:
                unanswered += 1
                continue
            if not report.busy:
                return swap.model in report.models
            unanswered = 0
        return False

    async def _wait_for_announcement(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        """Waits for announcements until a condition is met.

        Returns:
            Whether the condition was met within the timeout.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await self.engine.announcement_received.wait()
        return condition()
