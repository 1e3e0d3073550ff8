"""Proposals whose result is pending on the leader."""

import asyncio
import dataclasses

from monsoonhinge.consensus import metrics
from monsoonhinge.consensus import types


@dataclasses.dataclass(slots=True)
class Proposal:
    """A command or membership change whose proposer awaits the result.

    Attributes:
        data: The command; empty for a membership change.
        proposed_at: Event loop time at which it was proposed.
        result: Log index and result, set when the entry has been applied.
        term: Term in which it was appended to the log, 0 before that.
    """

    data: bytes
    proposed_at: float
    result: asyncio.Future[tuple[int, bytes]]
    term: int = 0

    def resolve(
        self, *, index: int, term: int, result: bytes, now: float
    ) -> None:
        """Sets the result from the entry applied at the proposal's index.

        Args:
            index: Log index of the entry.
            term: Term of the entry. If it is not the proposal's term, another
                leader's entry has replaced the proposal, which is rejected.
            result: Result of the state machine.
            now: Event loop time at which the entry was applied.
        """
        if self.term != term:
            self.reject(types.NotLeader(leader="", step="propose"))
        elif not self.result.done():
            self.result.set_result((index, result))
            metrics.PROPOSALS.labels("committed").inc()
            metrics.COMMIT_SECONDS.observe(now - self.proposed_at)

    def reject(self, error: Exception) -> None:
        """Fails the proposal, which may nevertheless have been committed."""
        if not self.result.done():
            self.result.set_exception(error)
            metrics.PROPOSALS.labels("not_leader").inc()
