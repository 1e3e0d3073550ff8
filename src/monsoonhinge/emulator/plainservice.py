"""Emulated plain HTTP service, such as a ledger."""

import asyncio
import collections
import json
from typing import Any

from aiohttp import web

from monsoonhinge.emulator import options
from monsoonhinge.emulator import target as targets

_MAX_COUNTED_PATHS = 10_000


class Service(targets.Target):
    """A service that counts how often non-idempotent calls take effect.

    Attributes:
        effect_counts: Number of non-idempotent calls by path.
    """

    def __init__(self, config: options.Emulator) -> None:
        super().__init__(config)
        self.effect_counts: collections.Counter[str] = collections.Counter()

    def count_effect(self, request: web.Request) -> int:
        """Counts a non-idempotent call.

        Returns:
            Number of such calls of its path so far; 0 for an idempotent call.
        """
        if request.method != "POST" or not request.path.startswith(
            tuple(self.config.non_repeatable)
        ):
            return 0
        path = request.path
        if (
            path not in self.effect_counts
            and len(self.effect_counts) >= _MAX_COUNTED_PATHS
        ):
            path = "other"
        self.effect_counts[path] += 1
        return self.effect_counts[path]

    def dump(self) -> dict[str, Any]:
        """Returns the state for tests, with the effect counts."""
        return {**super().dump(), "effects": self.effect_counts}


def create_application(service: Service) -> web.Application:
    """Creates the HTTP application of the service."""

    async def call(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if service.faults.consume("refused", request.path):
            return web.Response(
                status=503, headers=targets.request_id_headers(service, request)
            )
        run_count = service.record_request(request, body)
        effect = service.count_effect(request)
        service.request_started()
        try:
            await targets.apply_delay(service, request)
            await asyncio.sleep(service.config.service_s)
        except asyncio.CancelledError:
            service.cancelled_requests += 1
            raise
        finally:
            service.request_ended()
        response_body = json.dumps(
            {
                "path": request.path,
                "runs": run_count,
                "effect": effect,
                "received": body.decode(errors="replace"),
            }
        ).encode()
        headers = targets.request_id_headers(service, request)
        if service.faults.consume("truncated", request.path):
            return await targets.send_truncated_body(
                request, response_body, headers
            )
        return web.Response(
            body=response_body, content_type="application/json", headers=headers
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    targets.add_fault_routes(app, service)
    app.router.add_route("*", "/{tail:.*}", call)
    return app
