"""The process of a stand-in target."""

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

# Gateways have stopped sending work well within the bound on leaving targets.
_LEAVE_S = 4.0


class EmulatorProcess:
    """Runs a stand-in engine, plain service or weight store."""

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.target: targets.Target | None = None
        self.store: weightstore.WeightStore | None = None
        self.leaving = False
        self._orders: orders.Orders | None = None
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: options.Emulator) -> "EmulatorProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and announcing."""
        self._runner = web.AppRunner(
            self._application(), access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self.config.listen.host, self.config.listen.port
        ).start()
        if self.target is not None and self.config.gateways:
            self._task = asyncio.get_running_loop().create_task(
                self.target.announce_forever()
            )

    async def finish(self) -> None:
        """Leaves: announces it, then waits until no work runs or arrives."""
        if self.target is None:
            return
        async with aiohttp.ClientSession() as session:
            await self.target.announce(session)
        await asyncio.sleep(_LEAVE_S if self.config.gateways else 0)
        await self.target.idle.wait()

    async def stop(self) -> None:
        """Closes everything."""
        if self._task is not None:
            self._task.cancel()
        if self._orders is not None:
            await self._orders.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def drain(self) -> None:
        """Begins to leave."""
        self.leaving = True
        if self.target is not None:
            self.target.leaving = True

    def not_ready_reason(self) -> str:
        """Returns why the process is not ready, or ""."""
        return "leaving" if self.leaving else ""

    def dump(self) -> dict[str, Any]:
        """Returns what the target received and runs."""
        if self.target is not None:
            return self.target.dump()
        assert self.store is not None
        return {
            "active": self.store.active,
            "peak": self.store.peak,
            "loads": self.store.loads,
        }

    def _application(self) -> web.Application:
        config = self.config
        match config.kind:
            case "engine":
                found = engine.Engine(config)
                self.target = found
                self._orders = orders.Orders(found)
                return generation.application(found, self._orders)
            case "service":
                service = plainservice.Service(config)
                self.target = service
                return plainservice.application(service)
            case _:
                self.store = weightstore.WeightStore(
                    full_speed={
                        "model": config.store_full_speed,
                        "adapter": config.store_adapter_full_speed,
                    }
                )
                return weightstore.application(self.store)
