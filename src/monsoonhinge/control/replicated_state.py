"""Applies the replicated log to the state machine and notifies watchers."""

import asyncio
from collections.abc import Callable

from monsoonhinge.control import config_feed
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import codec


class ReplicatedState:
    """Applies committed commands and pushes new configurations to watchers.

    Attributes:
        state_machine: Deterministic state machine that holds the state.
        index: Index of the last applied command.
        feed: Sends new configurations to the processes that watch them.
    """

    def __init__(self) -> None:
        self.state_machine = state_machine.StateMachine()
        self.index = 0
        self.feed = config_feed.ConfigFeed(self.state_machine)
        self._applied = asyncio.Event()

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies one committed command and returns its result."""
        old_version = self.state_machine.version
        old_objects = self.state_machine.objects
        result = self.state_machine.apply(index, codec.decode_command(data))
        self.index = index
        if self.state_machine.version != old_version:
            self.feed.push_change(old_version, old_objects)
        self._notify()
        return codec.encode_result(result)

    def capture(self) -> Callable[[], bytes]:
        """Captures the state and returns a function that encodes it.

        See ``StateMachine.capture``.
        """
        return self.state_machine.capture()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with a snapshot."""
        self.state_machine.restore(data)
        self.index = self.state_machine.index
        self.feed.push_snapshots()
        self._notify()

    async def wait_for_apply(self) -> None:
        """Waits until a command is applied or a snapshot is restored."""
        await self._applied.wait()

    def _notify(self) -> None:
        self._applied.set()
        self._applied = asyncio.Event()
