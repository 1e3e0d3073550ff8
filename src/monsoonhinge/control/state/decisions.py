"""Replicas and adapters that the scheduler has decided on."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands

# Settled ids are kept while the same scheduler holds the lease, because a
# command that it has resent may be committed again after the settlement. The
# oldest ids are dropped beyond this number, since a lease may last for hours.
MAX_SETTLED_IDS = 100_000

_ACTIONS = ("load", "unload", "load_adapter", "unload_adapter", "settled")


class Decisions:
    """Decided replicas and adapter changes in progress.

    Attributes:
        decided: Latest change by decision id. The id of an adapter change
            consists of the replica's id, a slash and a suffix.
        settled: Ids of replicas that no longer exist and of completed adapter
            changes, oldest first.
    """

    def __init__(self) -> None:
        self.decided: dict[str, commands.ReplicaChange] = {}
        self.settled: dict[str, None] = {}
        self._fencing = 0
        # Ids of the adapter changes in progress by replica id.
        self._adapters: dict[str, dict[str, None]] = {}

    def decide(self, command: commands.DecideReplicas) -> commands.Accepted:
        """Applies all changes, or none if one of them conflicts with the state.

        The caller must have checked the fencing token.
        """
        if command.fencing != self._fencing:
            self._fencing = command.fencing
            self.settled.clear()
        problems = [
            f"{change.decision_id}: {problem}"
            for change in command.changes
            if (problem := self._problem(change))
        ]
        if problems:
            return commands.Accepted(reason="; ".join(problems))
        for change in command.changes:
            self._apply(change)
        return commands.Accepted(accepted=True)

    def document(self) -> dict[str, Any]:
        """Returns the decided changes by decision id."""
        return {
            name: dataclasses.asdict(change)
            for name, change in self.decided.items()
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        yield [self._fencing, len(self.settled)], b""
        for decision_id in self.settled:
            yield [decision_id], b""
        for name, change in self.decided.items():
            yield [name, dataclasses.asdict(change)], b""

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Decisions":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        (result._fencing, count), _ = next(table)
        for _ in range(count):
            (decision_id,), _ = next(table)
            result.settled[decision_id] = None
        for (_, fields), _ in table:
            result._store(commands.ReplicaChange(**fields))
        return result

    def _problem(self, change: commands.ReplicaChange) -> str:
        if change.action not in _ACTIONS:
            return f"unknown action {change.action!r}"
        replica, slash, suffix = change.decision_id.partition("/")
        if not replica or (slash and not suffix):
            return "an id must not be empty"
        if change.action.endswith("_adapter") != bool(slash) and (
            change.action != "settled"
        ):
            return "only the id of an adapter change has a suffix"
        previous = self.decided.get(change.decision_id)
        if (
            previous is not None
            and change.action in ("load", "unload")
            and (previous.target, previous.model)
            != (change.target, change.model)
        ):
            return "the id belongs to another replica"
        return ""

    def _apply(self, change: commands.ReplicaChange) -> None:
        decision_id = change.decision_id
        if change.action == "settled":
            self._settle(decision_id)
        elif decision_id in self.settled:
            pass
        elif decision_id not in self.decided:
            self._store(change)
        elif change.action == "unload":
            # The memory stays reserved until the replica is reported gone.
            loaded = self.decided[decision_id]
            self.decided[decision_id] = dataclasses.replace(
                loaded, action="unload"
            )

    def _store(self, change: commands.ReplicaChange) -> None:
        replica, slash, _ = change.decision_id.partition("/")
        if slash and replica in self.settled:
            return
        self.decided[change.decision_id] = change
        if slash:
            self._adapters.setdefault(replica, {})[change.decision_id] = None

    def _settle(self, decision_id: str) -> None:
        replica, slash, _ = decision_id.partition("/")
        if slash:
            adapters = self._adapters.get(replica, {})
            adapters.pop(decision_id, None)
            if not adapters:
                self._adapters.pop(replica, None)
        else:
            for adapter_change in self._adapters.pop(replica, ()):
                self.decided.pop(adapter_change, None)
        self.decided.pop(decision_id, None)
        self.settled[decision_id] = None
        while len(self.settled) > MAX_SETTLED_IDS:
            del self.settled[next(iter(self.settled))]
