"""Stand-in weight store that engines share."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.runtime import settings

_MAX_SLEEP_S = 0.01
_MAX_KEPT_LOADS = 1000


class WeightStore:
    """Serves loads at full speed up to a number, and shares it beyond that.

    Attributes:
        active_loads: Loads in progress by kind (``model`` or ``adapter``).
        peak_loads: Most loads in progress at a time by kind.
        recent_loads: Latest loads: kind, holder, seconds it took.
    """

    def __init__(self, *, full_speed_loads: dict[str, int]) -> None:
        self.full_speed_loads = full_speed_loads
        self.active_loads = dict.fromkeys(full_speed_loads, 0)
        self.peak_loads = dict.fromkeys(full_speed_loads, 0)
        self.recent_loads: list[dict[str, Any]] = []
        self._progress: dict[str, tuple[float, float]] = {}

    async def load(self, *, kind: str, load_id: str, load_s: float) -> float:
        """Waits as long as a load takes and returns that time in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        finish_progress_s = self._update_progress(kind, started_at) + load_s
        self.active_loads[kind] += 1
        self.peak_loads[kind] = max(
            self.peak_loads[kind], self.active_loads[kind]
        )
        try:
            remaining_s = load_s
            while remaining_s > 0:
                await asyncio.sleep(
                    min(_MAX_SLEEP_S, remaining_s / self._speed_factor(kind))
                )
                remaining_s = finish_progress_s - self._update_progress(
                    kind, loop.time()
                )
        finally:
            self._update_progress(kind, loop.time())
            self.active_loads[kind] -= 1
        elapsed_s = loop.time() - started_at
        self.recent_loads.append(
            {"kind": kind, "holder": load_id, "seconds": elapsed_s}
        )
        del self.recent_loads[:-_MAX_KEPT_LOADS]
        return elapsed_s

    def _speed_factor(self, kind: str) -> float:
        return min(
            1.0, self.full_speed_loads[kind] / max(1, self.active_loads[kind])
        )

    def _update_progress(self, kind: str, now: float) -> float:
        """Returns the seconds of load done so far by each load in progress."""
        progress_s, updated_at = self._progress.get(kind, (0.0, now))
        progress_s += (now - updated_at) * self._speed_factor(kind)
        self._progress[kind] = (progress_s, now)
        return progress_s


def create_application(store: WeightStore) -> web.Application:
    """Makes the HTTP application of the store.

    ``POST /loads`` is answered when the load is complete; an engine that dies
    ends its load by closing the connection.
    """

    async def load(request: web.Request) -> web.Response:
        document = await request.json()
        elapsed_s = await store.load(
            kind=document["kind"],
            load_id=document["holder"],
            load_s=float(document["seconds"]),
        )
        return web.json_response({"seconds": elapsed_s})

    app = web.Application()
    app.router.add_post("/loads", load)
    return app


class WeightStoreClient:
    """Loads weights, from the shared store if there is one."""

    def __init__(self, address: settings.Address | None) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def load(self, *, kind: str, load_id: str, load_s: float) -> None:
        """Waits until a load is complete.

        Raises:
            aiohttp.ClientError: The store cannot be reached.
        """
        if self._address is None:
            await asyncio.sleep(load_s)
            return
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        async with self._session.post(
            f"http://{self._address}/loads",
            json={"kind": kind, "holder": load_id, "seconds": load_s},
        ) as response:
            response.raise_for_status()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
