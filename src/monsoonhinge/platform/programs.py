"""Programs of the deploy file, one for each role."""

import logging
import os
import pathlib
import sys
from typing import Any

from aiohttp import web

from monsoonhinge.fleet import process as fleet_process
from monsoonhinge.ingress import process as ingress_process
from monsoonhinge.platform import bounds
from monsoonhinge.platform import control
from monsoonhinge.platform import engines
from monsoonhinge.platform import requests
from monsoonhinge.platform import wire
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings

_SHUTDOWN_TIMEOUT_S = 0.5


class PlatformControl(fleet_process.FleetProcess):
    """A control member that serves the HTTP API of the platform."""

    def __init__(self, config: settings.Control) -> None:
        super().__init__(config, client=engines.PlatformEngineClient())
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts the control member and then the HTTP API."""
        await super().start()
        address = self.config.registrations
        assert address is not None
        api = control.ControlApi(
            registry=self,
            config=self.config_documents,
            address=str(address),
            key_secret=self.config.key_secret.encode(),
        )
        # The HTTP server logs excerpts of malformed requests, which may
        # contain keys, so its logger is disabled.
        disabled_logger = logging.getLogger("monsoonhinge.platform.http")
        disabled_logger.disabled = True
        self._runner = web.AppRunner(
            api.make_application(),
            access_log=None,
            logger=disabled_logger,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Stops the HTTP API and then the control member."""
        if self._runner is not None:
            await self._runner.cleanup()
        await super().stop()


def _make_ingress(config: settings.Ingress) -> ingress_process.IngressProcess:
    return ingress_process.IngressProcess(
        config, request_dialect=requests.PlatformDialect()
    )


_ROLES: dict[str, tuple[type[settings.Process], Any]] = {
    "control": (bounds.ControlSettings, PlatformControl),
    "ingress": (settings.Ingress, _make_ingress),
}


def main() -> None:
    """Runs the program of a role until it is stopped."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    path = os.environ.get(wire.SETTINGS_VARIABLE, "")
    if role not in _ROLES or not path:
        print(
            f"usage: {wire.SETTINGS_VARIABLE}=FILE python -m "
            f"monsoonhinge.platform {'|'.join(_ROLES)}",
            file=sys.stderr,
        )
        sys.exit(service.EXIT_BAD_SETTINGS)
    model, factory = _ROLES[role]
    service.run(
        role=role,
        options=service.Options(settings=pathlib.Path(path)),
        model=model,
        factory=factory,
        event_log=True,
    )
