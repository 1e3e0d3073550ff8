"""Checkpoints of the token budgets."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands


class Budgets:
    """Latest budget checkpoint of each team."""

    def __init__(self) -> None:
        self.checkpoints: dict[str, commands.CheckpointBudget] = {}

    def checkpoint(
        self, command: commands.CheckpointBudget
    ) -> commands.Accepted:
        """Records a checkpoint; its tokens and its time never decrease.

        The caller must have checked the fencing token.
        """
        previous = self.checkpoints.get(command.team)
        if previous is not None and command.granted < previous.granted:
            return commands.Accepted(
                reason=f"{previous.granted} tokens are granted already"
            )
        # Without the maximum, a new leader whose clock is behind would refill
        # the buckets twice for the difference between the clocks.
        now_ms = max(command.now_ms, previous.now_ms if previous else 0)
        self.checkpoints[command.team] = dataclasses.replace(
            command, now_ms=now_ms
        )
        return commands.Accepted(accepted=True)

    def document(self) -> dict[str, Any]:
        """Returns the checkpoints by team."""
        return {
            team: dataclasses.asdict(checkpoint)
            for team, checkpoint in self.checkpoints.items()
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        for checkpoint in self.checkpoints.values():
            yield [dataclasses.asdict(checkpoint)], b""

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Budgets":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        for (fields,), _ in table:
            checkpoint = commands.CheckpointBudget(**fields)
            result.checkpoints[checkpoint.team] = checkpoint
        return result
