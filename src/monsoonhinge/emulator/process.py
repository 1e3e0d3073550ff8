"""The process of a stand-in target."""

import asyncio
from typing import Any

from aiohttp import web

from monsoonhinge.emulator import engine
from monsoonhinge.emulator import options


class EmulatorProcess:
    """Runs a stand-in engine or plain service."""

    def __init__(self, config: options.Emulator) -> None:
        self.config = config
        self.target = engine.Target(config)
        self._runner: web.AppRunner | None = None
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: options.Emulator) -> "EmulatorProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and announcing."""
        make = (
            engine.engine_application
            if self.config.kind == "engine"
            else engine.service_application
        )
        self._runner = web.AppRunner(
            make(self.target), access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self.config.listen.host, self.config.listen.port
        ).start()
        self._task = asyncio.get_running_loop().create_task(
            self.target.announce_forever()
        )

    async def finish(self) -> None:
        """Announces that the target is leaving."""
        await asyncio.sleep(self.config.announce_s * 2)

    async def stop(self) -> None:
        """Closes everything."""
        if self._task is not None:
            self._task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def drain(self) -> None:
        """Begins to leave."""
        self.target.leaving = True

    def ready(self) -> str:
        """Returns why the process is not ready, or ""."""
        return "leaving" if self.target.leaving else ""

    def dump(self) -> dict[str, Any]:
        """Returns what the target received and runs."""
        return {
            "announcement": self.target.announcement(),
            "received": self.target.received[-1000:],
            "runs": self.target.runs,
        }
