"""Stand-in for a plain HTTP service such as a ledger."""

import asyncio
import collections
import json
from typing import Any

from aiohttp import web

from monsoonhinge.emulator import options
from monsoonhinge.emulator import target as targets

_KEPT_EFFECTS = 10_000


class Service(targets.Target):
    """A service whose non-repeatable calls have an effect each time.

    Attributes:
        effects: Count of effects by path, of calls that must run once.
    """

    def __init__(self, config: options.Emulator) -> None:
        super().__init__(config)
        self.effects: collections.Counter[str] = collections.Counter()

    def apply(self, request: web.Request) -> int:
        """Counts the effect of a call and returns the count so far."""
        if request.method != "POST" or not request.path.startswith(
            tuple(self.config.non_repeatable)
        ):
            return 0
        path = request.path
        if path not in self.effects and len(self.effects) >= _KEPT_EFFECTS:
            path = "other"
        self.effects[path] += 1
        return self.effects[path]

    def dump(self) -> dict[str, Any]:
        """Returns what tests look at."""
        return {**super().dump(), "effects": self.effects}


def application(service: Service) -> web.Application:
    """Makes the HTTP application of the service."""

    async def call(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if service.faults.take("refused", request.path):
            return web.Response(
                status=503, headers=targets.echo(service, request)
            )
        runs = service.record(request, body)
        effect = service.apply(request)
        service.begin()
        try:
            await targets.delay(service, request)
            await asyncio.sleep(service.config.service_s)
        except asyncio.CancelledError:
            service.cancelled += 1
            raise
        finally:
            service.end()
        answer = json.dumps(
            {
                "path": request.path,
                "runs": runs,
                "effect": effect,
                "received": body.decode(errors="replace"),
            }
        ).encode()
        headers = targets.echo(service, request)
        if service.faults.take("truncated", request.path):
            return await targets.send_truncated(request, answer, headers)
        return web.Response(
            body=answer, content_type="application/json", headers=headers
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    targets.add_fault_routes(app, service)
    app.router.add_route("*", "/{tail:.*}", call)
    return app
