"""SIGHUP, which says that the settings file has changed.

This module imports the standard library only, so that a program can install the
handler before it imports anything else.
"""

from collections.abc import Callable
import signal
from typing import Any


class ReloadSignal:
    """Keeps a SIGHUP that arrives while nobody can act on it.

    Attributes:
        pending: Whether the signal has arrived and has not been delivered.
    """

    def __init__(self) -> None:
        self.pending = False
        self._deliver: Callable[[], object] | None = None

    def install(self) -> None:
        """Installs the handler; until then the signal ends the process."""
        signal.signal(signal.SIGHUP, self._receive)

    def subscribe(self, deliver: Callable[[], object]) -> None:
        """Delivers the pending signal, if any, and all later ones.

        Args:
            deliver: Is called between any two steps of the main thread.
        """
        self._deliver = deliver
        if self.pending:
            self.pending = False
            deliver()

    def unsubscribe(self) -> None:
        """Only records later signals."""
        self._deliver = None

    def _receive(self, *_: Any) -> None:
        if self._deliver is None:
            self.pending = True
        else:
            self._deliver()


# The signal of this process.
SIGNAL = ReloadSignal()
