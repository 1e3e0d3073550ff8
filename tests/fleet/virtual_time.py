"""An event loop whose time passes at once while nothing is ready."""

import asyncio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 0.0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0]._when)
        super()._run_once()
