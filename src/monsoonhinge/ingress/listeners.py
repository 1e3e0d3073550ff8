"""HTTP listeners of the ingress."""

from collections.abc import Awaitable, Callable
import logging

from aiohttp import web

from monsoonhinge.runtime import settings

_SHUTDOWN_TIMEOUT_S = 0.5

# Long enough that callers close their idle connections first.
_KEEPALIVE_TIMEOUT_S = 75.0
_MAX_HEADER_BYTES = 32 * 1024

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpListeners:
    """Listening addresses, each with its own handler."""

    def __init__(self) -> None:
        self._runners: list[web.ServerRunner] = []

    async def listen(self, handler: Handler, address: settings.Address) -> None:
        """Serves the requests to an address with a handler."""
        # The HTTP server logs excerpts of malformed requests, which may contain
        # caller keys. Its logger is therefore disabled.
        disabled_logger = logging.getLogger("monsoonhinge.ingress.http")
        disabled_logger.disabled = True
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            logger=disabled_logger,
            keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)

    async def stop_accepting(self) -> None:
        """Accepts no more connections; those that are open go on."""
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Closes all addresses and connections."""
        for runner in self._runners:
            await runner.cleanup()
