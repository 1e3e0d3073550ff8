"""Emulated weight store that engines share."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from monsoonhinge.runtime import settings

# Longest sleep before the speed of a load is checked again.
_MAX_SLEEP_S = 0.01
_MAX_KEPT_LOADS = 1000


class WeightStore:
    """Serves loads that slow each other down beyond a number at a time.

    Attributes:
        active_loads: Loads in progress by kind (``model`` or ``adapter``).
        full_speed_loads: Number of concurrent loads that run at full speed, by
            kind. More loads share this bandwidth equally.
        peak_loads: Largest number of loads in progress at a time, by kind.
        recent_loads: Most recent loads, with their kind, holder and seconds.
    """

    def __init__(self, *, full_speed_loads: dict[str, int]) -> None:
        self.full_speed_loads = full_speed_loads
        self.active_loads = dict.fromkeys(full_speed_loads, 0)
        self.peak_loads = dict.fromkeys(full_speed_loads, 0)
        self.recent_loads: list[dict[str, Any]] = []
        self._virtual_time: dict[str, tuple[float, float]] = {}

    async def load(self, *, kind: str, load_id: str, load_s: float) -> float:
        """Waits until a load is complete and returns its time in seconds.

        Args:
            kind: ``model`` or ``adapter``.
            load_id: Reservation id on the engine, for the record.
            load_s: Load time at full speed.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        finish_at = self._advance_virtual_time(kind, started_at) + load_s
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
                remaining_s = finish_at - self._advance_virtual_time(
                    kind, loop.time()
                )
        finally:
            self._advance_virtual_time(kind, loop.time())
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

    def _advance_virtual_time(self, kind: str, now: float) -> float:
        """Advances the virtual time of a kind of loads and returns it.

        Virtual time runs at the speed of the loads in progress: it is the
        full-speed load time in seconds that each of them has completed.
        """
        virtual_s, updated_at = self._virtual_time.get(kind, (0.0, now))
        virtual_s += (now - updated_at) * self._speed_factor(kind)
        self._virtual_time[kind] = (virtual_s, now)
        return virtual_s


def create_application(store: WeightStore) -> web.Application:
    """Creates the HTTP application of the store.

    ``POST /loads`` responds when the load is complete. A closed connection, as
    when an engine crashes, cancels the load.
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
    """Loads weights from the shared store; without one, only waits."""

    def __init__(self, address: settings.Address | None) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def load(self, *, kind: str, load_id: str, load_s: float) -> None:
        """Waits until a load is complete.

        Raises:
            aiohttp.ClientError: The store is unreachable or failed.
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
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()
