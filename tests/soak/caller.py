"""Callers that keep connections, leave early and come back after refusals."""

import asyncio
import itertools
import random

from tests.soak import http11
from tests.soak import record as records

HOST = "soak.example"
KEY = "a key of the soak"

_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
# Path prefixes of the routes, with whether they may run more than once.
ROUTES = {"/once/": False, "/stream/": False, "/often/": True}

_DEADLINE_S = 1.5
_LEAVES_SHARE = 0.1
_NEW_CONNECTION_SHARE = 0.2
_MAX_RETRY_DELAY_S = 0.5

_numbers = itertools.count()


class Caller:
    """Sends one request after the other until it is cancelled."""

    def __init__(
        self, *, gateways: list[str], record: records.Record, rng: random.Random
    ) -> None:
        self._gateways = gateways
        self._record = record
        self._rng = rng
        self._connections: dict[str, http11.Connection] = {}

    async def run(self) -> None:
        """Sends requests; runs until cancelled, and closes its connections."""
        try:
            await self._send_forever()
        finally:
            for gateway in list(self._connections):
                self._drop(gateway)

    async def _send_forever(self) -> None:
        while True:
            prefix = self._rng.choice(list(ROUTES))
            method = self._rng.choice(_METHODS)
            if prefix == "/stream/":
                method = "POST"
            call = await self._send(method, prefix)
            if call.status in (429, 503):
                await asyncio.sleep(self._rng.uniform(0.05, _MAX_RETRY_DELAY_S))
                await self._send(method, prefix)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def _send(self, method: str, prefix: str) -> records.Call:
        number = next(_numbers)
        call = records.Call(
            request_id=f"r{number:08x}",
            method=method,
            path=f"{prefix}{number}?n={number}",
            repeatable=ROUTES[prefix],
            gateway=self._rng.choice(self._gateways),
            sent_at=asyncio.get_running_loop().time(),
        )
        self._record.calls[call.request_id] = call
        patience_s = _DEADLINE_S + 0.6
        if self._rng.random() < _LEAVES_SHARE:
            patience_s = self._rng.uniform(0.0, 0.3)
        try:
            async with asyncio.timeout(patience_s):
                response = await self._exchange(call)
        except http11.MalformedResponseError as error:
            call.malformed_head = str(error)
            self._drop(call.gateway)
            return call
        except (OSError, EOFError, TimeoutError) as error:
            call.error = type(error).__name__
            call.ended_at = asyncio.get_running_loop().time()
            self._drop(call.gateway)
            return call
        call.status = response.status
        call.body = response.body
        call.signature = response.headers.get("x-server-signature", "")
        if response.headers.get("connection", "").lower() == "close":
            self._drop(call.gateway)
        return call

    async def _exchange(self, call: records.Call) -> http11.Message:
        if self._rng.random() < _NEW_CONNECTION_SHARE:
            self._drop(call.gateway)
        connection = self._connections.get(call.gateway)
        if connection is None:
            connection = await http11.Connection.open(call.gateway)
            self._connections[call.gateway] = connection
        body = b"" if call.method in ("GET", "HEAD", "OPTIONS") else b"kegs"
        return await connection.send(
            call.method,
            call.path,
            {
                "Host": HOST,
                "X-Request-Id": call.request_id,
                "X-Deadline-Ms": str(int(_DEADLINE_S * 1000)),
                "Authorization": f"Bearer {KEY}",
            },
            body,
        )

    def _drop(self, gateway: str) -> None:
        connection = self._connections.pop(gateway, None)
        if connection is not None:
            connection.close()
