"""Proposals that wait for their result on the leader."""

import asyncio
import dataclasses

from monsoonhinge.consensus import metrics
from monsoonhinge.consensus import types


@dataclasses.dataclass(slots=True)
class Proposal:
    """A command or membership change whose proposer waits.

    Attributes:
        data: The command; empty for a membership change.
        proposed_at: Time of the event loop.
        result: Index and result once committed and applied.
        term: Term in which it was appended to the log.
    """

    data: bytes
    proposed_at: float
    result: asyncio.Future[tuple[int, bytes]]
    term: int = 0

    def resolve(
        self, *, index: int, term: int, result: bytes, now: float
    ) -> None:
        """Notes which entry was committed at the index of the proposal.

        Args:
            index: The index.
            term: Term of the entry; another term means another entry.
            result: Result of the state machine.
            now: Time of the event loop.
        """
        if self.term != term:
            self.reject(types.NotLeader(leader="", step="propose"))
        elif not self.result.done():
            self.result.set_result((index, result))
            metrics.PROPOSALS.labels("committed").inc()
            metrics.COMMIT_SECONDS.observe(now - self.proposed_at)

    def reject(self, error: Exception) -> None:
        """Tells the proposer that it was not, or may not be, committed."""
        if not self.result.done():
            self.result.set_exception(error)
            metrics.PROPOSALS.labels("not_leader").inc()
