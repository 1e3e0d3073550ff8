"""Snapshots of the state machine, encoded beside the event loop."""

import asyncio
from collections.abc import Callable
import random
import typing

from monsoonhinge.consensus import state as raft_state


class Capturable(typing.Protocol):
    """A state machine that can be captured."""

    def capture(self) -> Callable[[], bytes]:
        """Captures the state; the result encodes it in any thread."""


class Compactor:
    """Takes a snapshot when the log has grown by enough entries.

    Encoding hundreds of megabytes takes longer than an election timeout, so
    it runs in another thread on a captured copy.
    """

    def __init__(
        self, *, machine: Capturable, entries: int, rng: random.Random
    ) -> None:
        """Makes a compactor.

        Args:
            machine: The state machine.
            entries: Entries after which a snapshot is due.
            rng: Varies that number, so that members take turns.
        """
        self._machine = machine
        self._entries = entries + rng.randrange(entries // 4 + 1)
        self._keep = entries // 10
        self._task: asyncio.Task[None] | None = None

    def consider(
        self,
        state: raft_state.State,
        *,
        applied: int,
        done: Callable[[], None],
    ) -> None:
        """Begins a snapshot if one is due and none is being made.

        Args:
            state: State of the core.
            applied: Index of the last entry that the state machine applied.
            done: Called once the core has a new snapshot to write.
        """
        behind = applied - state.log.snapshot.last_index
        if self._task is None and behind >= self._entries:
            encode = self._machine.capture()
            self._task = asyncio.get_running_loop().create_task(
                self._take(state, applied, encode, done)
            )

    async def stop(self) -> None:
        """Gives up a snapshot that is being made."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _take(
        self,
        state: raft_state.State,
        index: int,
        encode: Callable[[], bytes],
        done: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            data = await loop.run_in_executor(None, encode)
        finally:
            self._task = None
        # A snapshot of the leader may have been installed meanwhile.
        if index > state.log.snapshot.last_index:
            state.compact(index=index, data=data, keep=self._keep)
            done()
