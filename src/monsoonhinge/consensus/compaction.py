"""Log compaction: snapshots the state machine off the event loop."""

import asyncio
from collections.abc import Callable
import random
import typing

from monsoonhinge.consensus import state as raft_state
from monsoonhinge.runtime import supervision


class Capturable(typing.Protocol):
    """A state machine whose state can be copied for a snapshot."""

    def capture(self) -> Callable[[], bytes]:
        """Copies the state; returns a thread-safe encoder of the copy."""


class Compactor:
    """Takes a snapshot once enough entries follow the previous one.

    Encoding hundreds of megabytes takes longer than an election timeout, so
    it runs in another thread, on a copy of the state.
    """

    def __init__(
        self,
        state_machine: Capturable,
        *,
        threshold_entries: int,
        rng: random.Random,
    ) -> None:
        """Initializes a compactor.

        Args:
            state_machine: The state machine to snapshot.
            threshold_entries: Number of entries applied since the previous
                snapshot at which a new one is taken.
            rng: Adds up to a quarter to the threshold, so that members do not
                all take their snapshots at the same time.
        """
        self._state_machine = state_machine
        self._threshold_entries = threshold_entries + rng.randrange(
            threshold_entries // 4 + 1
        )
        self._retained_entries = threshold_entries // 10
        self._task: asyncio.Task[None] | None = None
        self._supervisor = supervision.Supervisor()

    def compact_if_due(
        self,
        state: raft_state.State,
        *,
        applied_index: int,
        on_compacted: Callable[[], None],
    ) -> None:
        """Starts a snapshot if one is due and none is in progress.

        Args:
            state: State of the consensus core, whose log is compacted.
            applied_index: Index of the last entry the state machine applied.
            on_compacted: Called once the core has a new snapshot to write.
        """
        new_entries = applied_index - state.log.snapshot.last_index
        if self._task is None and new_entries >= self._threshold_entries:
            encode = self._state_machine.capture()
            self._task = self._supervisor.spawn(
                "compact",
                self._compact(state, applied_index, encode, on_compacted),
            )

    async def stop(self) -> None:
        """Cancels a snapshot in progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _compact(
        self,
        state: raft_state.State,
        index: int,
        encode: Callable[[], bytes],
        on_compacted: Callable[[], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            data = await loop.run_in_executor(None, encode)
        finally:
            self._task = None
        # A newer snapshot may have been received from the leader meanwhile.
        if index > state.log.snapshot.last_index:
            state.compact(
                index=index, data=data, retained_entries=self._retained_entries
            )
            on_compacted()
