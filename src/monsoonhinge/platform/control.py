"""HTTP API of the control members for servers and operators."""

import typing

from aiohttp import web

from monsoonhinge.fleet import config_documents
from monsoonhinge.platform import documents
from monsoonhinge.platform import registrations
from monsoonhinge.platform import wire
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import registration_batches
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_TARGET_CHARS = 128


class TargetRegistry(typing.Protocol):
    """Registry of targets that the HTTP API updates."""

    def register(self, registration: fleet.Registration) -> bool:
        """Records an announcement; returns whether to acknowledge it."""

    def deregister(self, target: str) -> bool:
        """Records a deregistration; returns whether to acknowledge it."""


class ConfigStore(typing.Protocol):
    """Store of the configuration that the HTTP API reads and changes."""

    async def submit(
        self, source: bytes, translate: config_documents.Translate
    ) -> commands.ConfigResult:
        """Puts a document in effect, unless a higher version already is."""

    async def newest(self) -> bytes:
        """Returns the newest document, or b"" if there is none yet."""


class ControlApi:
    """Handles the HTTP requests of servers and operators.

    Attributes:
        address: Address to which servers are told to send announcements.
    """

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        config: ConfigStore,
        address: str,
        key_secret: bytes,
    ) -> None:
        self.address = address
        self._registry = registry
        self._config = config
        self._key_secret = key_secret

    def make_application(self) -> web.Application:
        """Creates the HTTP application with all routes."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_put(wire.CONFIG_PATH, self._put_config)
        app.router.add_get(wire.CONFIG_PATH, self._get_config)
        app.router.add_put(wire.INSTANCE_PATH, self._announce)
        app.router.add_delete(wire.INSTANCE_PATH, self._deregister)
        return app

    async def _put_config(self, request: web.Request) -> web.Response:
        source = await request.read()
        try:
            result = await self._config.submit(source, self._translate)
        except documents.InvalidDocument as error:
            events.emit(
                events.CONFIG_CHANGE, outcome="invalid", message=str(error)
            )
            return _error(400, str(error))
        except errors.MonsoonhingeError:
            return _error(503, "the change could not be confirmed")
        if result.code != "accepted":
            return _error(400, result.message)
        return web.json_response({"version": result.version})

    def _translate(self, source: bytes) -> documents.Document:
        return documents.Document.from_bytes(
            source, key_secret=self._key_secret
        )

    async def _get_config(self, request: web.Request) -> web.Response:
        try:
            source = await self._config.newest()
        except (errors.MonsoonhingeError, TimeoutError):
            return _error(503, "the newest configuration is not known")
        if not source:
            return _error(503, "there is no configuration yet")
        return web.Response(body=source, content_type="application/json")

    async def _announce(self, request: web.Request) -> web.Response:
        target = request.match_info["target"]
        if len(target) > _MAX_TARGET_CHARS:
            return _error(400, "the id is too long")
        data = await request.read()
        if len(data) > registration_batches.MAX_ANNOUNCEMENT_BYTES:
            return _error(413, "the announcement is too large")
        try:
            registration = registrations.parse_announcement(target, data)
        except registrations.InvalidAnnouncement:
            return _error(400, "the announcement names no server to use")
        if not self._registry.register(registration):
            return _error(503, "not in touch with the other members")
        return web.json_response({"heartbeatAddress": self.address})

    async def _deregister(self, request: web.Request) -> web.Response:
        if not self._registry.deregister(request.match_info["target"]):
            return _error(503, "not in touch with the other members")
        return web.json_response({})


def _error(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)
