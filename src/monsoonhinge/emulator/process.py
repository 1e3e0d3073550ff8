"""The process of an emulated target."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.emulator import engine
from monsoonhinge.emulator import generation
from monsoonhinge.emulator import options
from monsoonhinge.emulator import orders
from monsoonhinge.emulator import plainservice
from monsoonhinge.emulator import target as targets
from monsoonhinge.emulator import weightstore
from monsoonhinge.runtime import supervision

# Gateways stop sending work to a target that announces that it leaves well
# within this time.
_DRAIN_DELAY_S = 4.0


class EmulatorProcess:
    """Runs an emulated engine, plain service or weight store."""

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.target: targets.Target | None = None
        self.store: weightstore.WeightStore | None = None
        self.draining = False
        self._order_executor: orders.OrderExecutor | None = None
        self._runner: web.AppRunner | None = None
        self._supervisor = supervision.Supervisor()

    @classmethod
    def from_config(cls, config: options.Emulator) -> "EmulatorProcess":
        """Creates the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and announcing."""
        self._runner = web.AppRunner(
            self._create_application(),
            access_log=None,
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self.config.listen.host, self.config.listen.port
        ).start()
        if self.target is not None and self.config.gateways:
            self._supervisor.start("announce", self.target.announce_forever)

    async def finish(self) -> None:
        """Announces the drain and waits for the requests in progress.

        It first waits until gateways have stopped sending new requests.
        """
        if self.target is None:
            return
        async with aiohttp.ClientSession() as session:
            await self.target.announce(session)
        await asyncio.sleep(_DRAIN_DELAY_S if self.config.gateways else 0)
        await self.target.idle.wait()

    async def stop(self) -> None:
        """Cancels all tasks and closes the server."""
        self._supervisor.cancel()
        if self._order_executor is not None:
            await self._order_executor.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def drain(self) -> None:
        """Starts draining; ``finish`` waits for its end."""
        self.draining = True
        if self.target is not None:
            self.target.draining = True

    def not_ready_reason(self) -> str:
        """Returns why the process is not ready, or ""."""
        return "leaving" if self.draining else ""

    def dump(self) -> dict[str, Any]:
        """Returns the state of the target or the weight store for tests."""
        if self.target is not None:
            return self.target.dump()
        assert self.store is not None
        return {
            "active": self.store.active_loads,
            "peak": self.store.peak_loads,
            "loads": self.store.recent_loads,
        }

    def _create_application(self) -> web.Application:
        config = self.config
        match config.kind:
            case "engine":
                emulated_engine = engine.Engine(config)
                self.target = emulated_engine
                self._order_executor = orders.OrderExecutor(emulated_engine)
                return generation.create_application(
                    emulated_engine, self._order_executor
                )
            case "service":
                emulated_service = plainservice.Service(config)
                self.target = emulated_service
                return plainservice.create_application(emulated_service)
            case _:
                self.store = weightstore.WeightStore(
                    full_speed_loads={
                        "model": config.store_full_speed,
                        "adapter": config.store_adapter_full_speed,
                    }
                )
                return weightstore.create_application(self.store)
