"""Runs the planning rounds of the holder of the fleet lease."""

import asyncio
from collections.abc import Callable
import contextlib

from monsoonhinge.runtime import supervision

_MAX_INTERVAL_S = 0.1
_BATCH_DELAY_S = 0.005

# Without a successful round for this long, planning has failed.
_MAX_GAP_S = 3.0


class PlanningLoop:
    """Plans after each request, and at a minimum rate without any."""

    def __init__(self, *, plan: Callable[[float], bool]) -> None:
        """Initializes the loop.

        Args:
            plan: Carries out one round at the given time; returns whether
                planning got on, or nothing had to be planned.
        """
        self._plan = plan
        self._requested = asyncio.Event()
        self._progress_at = asyncio.get_running_loop().time()

    def request(self) -> None:
        """Starts a round soon; requests of the same moment share it."""
        self._requested.set()

    def gets_on(self) -> bool:
        """Returns whether a round succeeded lately."""
        now = asyncio.get_running_loop().time()
        return now - self._progress_at <= _MAX_GAP_S

    async def run(self) -> None:
        """Carries out rounds until cancelled, whatever one of them raises."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_INTERVAL_S):
                    await self._requested.wait()
                    await asyncio.sleep(_BATCH_DELAY_S)
            self._requested.clear()
            with supervision.contain("planning"):
                if self._plan(loop.time()):
                    self._progress_at = loop.time()
