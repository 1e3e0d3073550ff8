"""Carries out a swap on one engine, step by step."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.fleet import dialect
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import orders
from monsoonhinge.fleet import placement
from monsoonhinge.fleet import store as weight_store
from monsoonhinge.runtime import events

# An engine drops a model that runs nothing within this time.
_UNLOAD_S = 0.1

# How often a load is checked once it should be finished.
_CHECK_S = 0.4
_MAX_CHECKS = 40


class Swapper:
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
        store: weight_store.StoreBudget,
        changed: Callable[[], None],
    ) -> None:
        self.engine = engine
        self.channel = channel
        self._store = store
        self._changed = changed

    async def run(self, swap: placement.Swap) -> bool:
        """Carries out a swap; returns whether the engine took every order.

        Raises:
            orders.Deposed: Another member gives orders now.
        """
        try:
            for name in swap.evict:
                if not await self._unload(name):
                    return False
            return await self._load(swap)
        finally:
            self._store.finish(swap.target, swap.model)
            self.engine.swapping = False

    async def _unload(self, model: str) -> bool:
        """Unloads a model; returns whether the engine accepted that."""
        outcome = await self.channel.give(load=False, model=model)
        if outcome is orders.Outcome.REFUSED:
            return False
        await self._await_announced(
            lambda: model not in self.engine.listed, _UNLOAD_S
        )
        self.engine.finish_unload(model, asyncio.get_running_loop().time())
        return True

    async def _load(self, swap: placement.Swap) -> bool:
        """Loads a model; returns whether the engine accepted that."""
        loop = asyncio.get_running_loop()
        if swap.from_store:
            self._store.start(swap.target, swap.model, loop.time())
        outcome = await self.channel.give(load=True, model=swap.model)
        if outcome is orders.Outcome.REFUSED:
            return False
        started_at = loop.time()
        self.engine.begin_load(
            swap.model, ready_at=started_at + swap.load_s, now=started_at
        )
        self._changed()
        await self._await_loaded(swap)
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

    async def _await_loaded(self, swap: placement.Swap) -> None:
        """Waits until the engine announces a model, or reports it.

        A load may read from the store for seconds although a copy was listed,
        since copies yield to newer ones.
        """
        patience_s = swap.load_s + _CHECK_S
        for _ in range(_MAX_CHECKS):
            if await self._await_announced(
                lambda: swap.model in self.engine.listed, patience_s
            ):
                return
            patience_s = _CHECK_S
            try:
                report = await self.channel.report()
            except dialect.Unanswered:
                continue
            if swap.model in report.models or not report.busy:
                return

    async def _await_announced(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        """Returns whether an announcement met a condition in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await self.engine.changed.wait()
        return condition()
