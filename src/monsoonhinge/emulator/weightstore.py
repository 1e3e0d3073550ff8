"""Stand-in weight store that engines share."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.runtime import settings

_STEP_S = 0.01
_LOG_LOADS = 1000


class WeightStore:
    """Serves loads at full speed up to a number, and shares it beyond that.

    Attributes:
        active: Loads in progress by kind (``model`` or ``adapter``).
        peak: Most loads in progress at a time by kind.
        loads: Latest loads: kind, holder, seconds it took.
    """

    def __init__(self, *, full_speed: dict[str, int]) -> None:
        self.full_speed = full_speed
        self.active = dict.fromkeys(full_speed, 0)
        self.peak = dict.fromkeys(full_speed, 0)
        self.loads: list[dict[str, Any]] = []
        self._done: dict[str, tuple[float, float]] = {}

    async def load(self, *, kind: str, holder: str, seconds: float) -> float:
        """Waits as long as a load takes and returns that time in seconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        target = self._advance(kind, started) + seconds
        self.active[kind] += 1
        self.peak[kind] = max(self.peak[kind], self.active[kind])
        try:
            left = seconds
            while left > 0:
                await asyncio.sleep(min(_STEP_S, left / self._speed(kind)))
                left = target - self._advance(kind, loop.time())
        finally:
            self._advance(kind, loop.time())
            self.active[kind] -= 1
        took = loop.time() - started
        self.loads.append({"kind": kind, "holder": holder, "seconds": took})
        del self.loads[:-_LOG_LOADS]
        return took

    def _speed(self, kind: str) -> float:
        return min(1.0, self.full_speed[kind] / max(1, self.active[kind]))

    def _advance(self, kind: str, now: float) -> float:
        """Returns the seconds of load done so far by each load in progress."""
        done, at = self._done.get(kind, (0.0, now))
        done += (now - at) * self._speed(kind)
        self._done[kind] = (done, now)
        return done


def application(store: WeightStore) -> web.Application:
    """Makes the HTTP application of the store.

    ``POST /loads`` is answered when the load is complete; an engine that dies
    ends its load by closing the connection.
    """

    async def load(request: web.Request) -> web.Response:
        document = await request.json()
        took = await store.load(
            kind=document["kind"],
            holder=document["holder"],
            seconds=float(document["seconds"]),
        )
        return web.json_response({"seconds": took})

    app = web.Application()
    app.router.add_post("/loads", load)
    return app


class Client:
    """Loads weights, from the shared store if there is one."""

    def __init__(self, address: settings.Address | None) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def load(self, *, kind: str, holder: str, seconds: float) -> None:
        """Waits until a load is complete.

        Raises:
            aiohttp.ClientError: The store cannot be reached.
        """
        if self._address is None:
            await asyncio.sleep(seconds)
            return
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        async with self._session.post(
            f"http://{self._address}/loads",
            json={"kind": kind, "holder": holder, "seconds": seconds},
        ) as response:
            response.raise_for_status()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
