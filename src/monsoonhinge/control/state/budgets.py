"""Checkpoints of token budgets."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands


class Budgets:
    """Latest checkpoint of each team."""

    def __init__(self) -> None:
        self.checkpoints: dict[str, commands.CheckpointBudget] = {}

    def checkpoint(
        self, command: commands.CheckpointBudget
    ) -> commands.Accepted:
        """Records a checkpoint; granted tokens and time never decrease.

        The caller has checked the fencing number.
        """
        known = self.checkpoints.get(command.team)
        if known is not None and command.granted < known.granted:
            return commands.Accepted(
                reason=f"{known.granted} tokens are granted already"
            )
        # A leader whose clock is behind would otherwise cause the time between
        # the two clocks to be refilled twice.
        now_ms = max(command.now_ms, known.now_ms if known else 0)
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
