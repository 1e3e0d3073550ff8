"""Operations HTTP server of every process."""

import json
import typing
from typing import Any

from aiohttp import web
import prometheus_client

from monsoonhinge.runtime import settings


class OperatedProcess(typing.Protocol):
    """Interface of a process to its operations server."""

    def not_ready_reason(self) -> str:
        """Returns why the process cannot do its work, or "" if it is ready."""

    def dump(self) -> dict[str, Any]:
        """Returns the state as a JSON-compatible document without secrets."""

    def drain(self) -> None:
        """Starts a graceful shutdown."""


class Operations:
    """Serves health, readiness, metrics, the state dump and drain requests."""

    def __init__(self, *, process: OperatedProcess) -> None:
        self._process = process
        self._runner: web.AppRunner | None = None

    async def start(self, address: settings.Address) -> None:
        """Starts listening on the operations address."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._readiness)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/debug/state", self._state)
        application.router.add_post("/drain", self._drain)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, address.host, address.port, reuse_address=True
        ).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        reason = self._process.not_ready_reason()
        return web.Response(
            text=f"{reason or 'ready'}\n", status=503 if reason else 200
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=prometheus_client.generate_latest(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self._process.dump(), dumps=_dumps)

    async def _drain(self, request: web.Request) -> web.Response:
        self._process.drain()
        return web.Response(text="draining\n", status=202)


def _dumps(document: Any) -> str:
    return json.dumps(document, indent=2, default=str)
