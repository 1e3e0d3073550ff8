"""Linearizable reads that wait for their confirmation by a quorum."""

import asyncio
from collections.abc import Iterable

from monsoonhinge.consensus import types


class PendingReads:
    """Waiting reads by their number."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[int]] = {}
        self._next_id = 1

    def add(self) -> tuple[int, asyncio.Future[int]]:
        """Adds a read; returns its number and the future of its index."""
        read_id = self._next_id
        self._next_id += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._futures[read_id] = future
        return read_id, future

    def resolve(
        self,
        *,
        confirmed: Iterable[tuple[int, int]],
        failed: Iterable[int],
        leader: str,
    ) -> None:
        """Ends reads.

        Args:
            confirmed: Number and commit index of each confirmed read.
            failed: Numbers of the reads that this member cannot confirm.
            leader: Name of the leader, or "" if it is not known.
        """
        for read_id, index in confirmed:
            future = self._futures.pop(read_id)
            if not future.done():
                future.set_result(index)
        for read_id in failed:
            self._fail(self._futures.pop(read_id), leader)

    def fail_all(self) -> None:
        """Ends all reads, since this member does not lead any more."""
        for future in self._futures.values():
            self._fail(future, "")
        self._futures.clear()

    def _fail(self, future: asyncio.Future[int], leader: str) -> None:
        if not future.done():
            future.set_exception(types.NotLeader(leader=leader, step="read"))
