"""Makes the writes of the consensus core durable, beside the event loop.

A full disk is no failure: the write is repeated until there is room. Until
then nothing that depends on it is sent, so that the member takes no part in
decisions and loses none.
"""

import asyncio
from collections.abc import Callable
from concurrent import futures

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import metrics
from monsoonhinge.consensus import storage as raft_storage
from monsoonhinge.consensus import types
from monsoonhinge.runtime import events

_RETRY_INTERVAL_S = 0.25


class DurableWriter:
    """Writes to the storage, one write at a time.

    Attributes:
        disk_full: Whether the disk took no more bytes at the last attempt.
    """

    def __init__(
        self, *, storage: raft_storage.Storage, on_full: Callable[[], None]
    ) -> None:
        """Initializes the writer.

        Args:
            storage: Storage of this member.
            on_full: Called after each attempt that found the disk full.
        """
        self.disk_full = False
        self._storage = storage
        self._on_full = on_full
        self._stopped = False
        self._executor = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="storage"
        )

    async def write(self, write: types.Write) -> bool:
        """Makes a write durable.

        Returns:
            Whether it is; False if the writer was stopped before.

        Raises:
            storage_files.StorageError: The disk has failed.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not await self._try_to_write(write):
            await asyncio.sleep(_RETRY_INTERVAL_S)
            if self._stopped:
                return False
        metrics.WRITE_SECONDS.observe(loop.time() - started)
        return True

    def stop(self) -> None:
        """Gives up a write that waits for room."""
        self._stopped = True
        self._executor.shutdown(wait=False)

    async def _try_to_write(self, write: types.Write) -> bool:
        try:
            await asyncio.get_running_loop().run_in_executor(
                self._executor, self._storage.write, write
            )
        except storage_files.DiskFullError as error:
            self._set_full(True, str(error))
            self._on_full()
            return False
        self._set_full(False, "")
        return True

    def _set_full(self, full: bool, error: str) -> None:
        if full == self.disk_full:
            return
        self.disk_full = full
        metrics.DISK_FULL.set(full)
        events.emit(
            events.DEPENDENCY,
            dependency="disk",
            state="lost" if full else "regained",
            error=error,
        )
