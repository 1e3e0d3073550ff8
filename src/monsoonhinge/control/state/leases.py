"""Granted leases and their fencing tokens."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The holder of a lease and the fencing token of its grant."""

    holder: str
    fencing: int


class Leases:
    """Granted leases by name; the leader times their expiry."""

    def __init__(self) -> None:
        self.held: dict[str, Lease] = {}

    def acquire(
        self, index: int, command: commands.AcquireLease
    ) -> commands.LeaseResult:
        """Grants a free lease; the log index becomes the fencing token."""
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
        """Ends a grant; ignored unless the fencing token is the current one."""
        lease = self.held.get(command.name)
        if lease is not None and lease.fencing == command.fencing:
            del self.held[command.name]
        return commands.Accepted(accepted=True)

    def holds(self, name: str, fencing: int) -> bool:
        """Returns whether a fencing token is that of the current grant."""
        lease = self.held.get(name)
        return lease is not None and lease.fencing == fencing

    def document(self) -> dict[str, Any]:
        """Returns the granted leases by name."""
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
