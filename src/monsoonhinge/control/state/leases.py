"""Leases and their fencing numbers."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease and the fencing number of its current grant."""

    holder: str
    fencing: int


class Leases:
    """Leases held, by name; expiry is timed by the leader."""

    def __init__(self) -> None:
        self.held: dict[str, Lease] = {}

    def acquire(
        self, index: int, command: commands.AcquireLease
    ) -> commands.LeaseResult:
        """Grants a lease that nobody holds under the log index."""
        lease = self.held.get(command.name)
        if lease is None:
            lease = Lease(holder=command.holder, fencing=index)
            self.held[command.name] = lease
        return commands.LeaseResult(
            granted=lease.holder == command.holder,
            holder=lease.holder,
            fencing=lease.fencing,
        )

    def end(
        self, command: commands.ReleaseLease | commands.ExpireLease
    ) -> commands.Accepted:
        """Ends a grant; an older grant of the same lease has ended already."""
        lease = self.held.get(command.name)
        if lease is not None and lease.fencing == command.fencing:
            del self.held[command.name]
        return commands.Accepted(accepted=True)

    def holds(self, name: str, fencing: int) -> bool:
        """Returns whether a fencing number is that of the current grant."""
        lease = self.held.get(name)
        return lease is not None and lease.fencing == fencing

    def document(self) -> dict[str, Any]:
        """Returns the leases by name."""
        return {
            name: dataclasses.asdict(lease) for name, lease in self.held.items()
        }

    def to_rows(self) -> Iterator[rows.Row]:
        """Yields the rows of the snapshot."""
        for name, lease in self.held.items():
            yield [name, lease.holder, lease.fencing], b""

    @classmethod
    def from_rows(cls, table: Iterator[rows.Row]) -> "Leases":
        """Reads what ``to_rows`` yielded."""
        result = cls()
        for (name, holder, fencing), _ in table:
            result.held[name] = Lease(holder, fencing)
        return result
