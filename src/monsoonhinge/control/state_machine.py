"""Deterministic state machine of the control cluster."""

from collections.abc import Callable
import struct
from typing import Any

from monsoonhinge.control.state import budgets
from monsoonhinge.control.state import calls
from monsoonhinge.control.state import configuration
from monsoonhinge.control.state import decisions
from monsoonhinge.control.state import keys
from monsoonhinge.control.state import leases
from monsoonhinge.control.state import rows
from monsoonhinge.protocol import commands
from monsoonhinge.runtime import errors

_SCHEDULER_LEASE = "scheduler"

# Snapshot header: format id and log index of the last applied command.
_HEADER = struct.Struct("<8sQ")
_FORMAT = b"mhstate1"


class StateMachine:
    """State that is identical on every control member at the same log index.

    Attributes:
        index: Log index of the last applied command.
        configuration: Configuration in effect and its history.
        keys: Caller keys and the tombstones of withdrawn keys.
        lease_table: Granted leases.
        call_table: Records of non-repeatable calls.
        decision_table: Replicas that the scheduler has decided on.
        budget_table: Checkpoints of the token budgets.
    """

    def __init__(self) -> None:
        self.index = 0
        self.configuration = configuration.Configuration()
        self.keys = keys.Keys()
        self.lease_table = leases.Leases()
        self.call_table = calls.Calls()
        self.decision_table = decisions.Decisions()
        self.budget_table = budgets.Budgets()

    @property
    def version(self) -> int:
        """Configuration version in effect; 0 before the first."""
        return self.configuration.version

    @property
    def objects(self) -> dict[str, bytes]:
        """Canonical JSON objects by ``kind/name``; replaced on every change."""
        return self.configuration.objects

    @property
    def leases(self) -> dict[str, leases.Lease]:
        """Granted leases by name."""
        return self.lease_table.held

    @property
    def calls(self) -> dict[calls.CallKey, calls.Call]:
        """Call records by team, route and idempotency key."""
        return self.call_table.records

    @property
    def decisions(self) -> dict[str, commands.ReplicaChange]:
        """Latest change of each decided replica by decision id."""
        return self.decision_table.decided

    @property
    def budgets(self) -> dict[str, commands.CheckpointBudget]:
        """Latest budget checkpoint of each team."""
        return self.budget_table.checkpoints

    def apply(self, index: int, command: commands.Command) -> commands.Result:
        """Applies one committed command.

        Args:
            index: Log index of the command.
            command: The command.

        Raises:
            errors.ProtocolError: The index has already been applied. Applying
                it again could issue the same fencing token twice.
        """
        if index <= self.index:
            raise errors.ProtocolError(
                f"index {index} does not follow the applied index {self.index}",
                step="apply",
            )
        self.index = index
        match command:
            case commands.PublishConfig():
                return self.configuration.publish(command)
            case commands.ReplaceConfig():
                return self.configuration.replace(command)
            case commands.GrantKey():
                return self.keys.grant(self.configuration, command)
            case commands.WithdrawKey():
                return self.keys.withdraw(self.configuration, command)
            case commands.AcquireLease():
                return self.lease_table.acquire(index, command)
            case commands.ReleaseLease() | commands.ExpireLease():
                return self.lease_table.end(command)
            case commands.ClaimCall():
                return self.call_table.claim(command)
            case commands.FinishCall():
                return self.call_table.finish(command)
            case commands.AbandonCalls():
                self.call_table.abandon(command.gateway)
                return commands.Accepted(accepted=True)
            case commands.DropCalls():
                self.call_table.drop(command.before_ms)
                return commands.Accepted(accepted=True)
            case commands.DecideReplicas():
                if not self.lease_table.holds(
                    _SCHEDULER_LEASE, command.fencing
                ):
                    return commands.Accepted(reason="old fencing number")
                return self.decision_table.decide(command)
            case commands.CheckpointBudget():
                if not self.lease_table.holds(command.shard, command.fencing):
                    return commands.Accepted(reason="old fencing number")
                return self.budget_table.checkpoint(command)

    def document(self, section: str) -> dict[str, Any]:
        """Returns one section of the state as a JSON-compatible document.

        Raises:
            errors.ProtocolError: There is no such section.
        """
        match section:
            case "config":
                return self.configuration.document()
            case "keys":
                return self.keys.document()
            case "leases":
                return self.lease_table.document()
            case "decisions":
                return self.decision_table.document()
            case "budgets":
                return self.budget_table.document()
            case "calls":
                return self.call_table.document()
            case _:
                raise errors.ProtocolError(
                    f"unknown section {section!r}", step="read state"
                )

    def snapshot(self) -> bytes:
        """Returns the encoded state; equal states have equal encodings."""
        return self.capture()()

    def capture(self) -> Callable[[], bytes]:
        """Captures the whole state without encoding it.

        Returns:
            Function that encodes the captured state. It may run in another
            thread while commands are applied, since encoding hundreds of
            megabytes takes longer than an election timeout.
        """
        header = _HEADER.pack(_FORMAT, self.index)
        tables = [
            rows.copy_table(table)
            for table in (
                self.configuration,
                self.keys,
                self.lease_table,
                self.call_table,
                self.decision_table,
                self.budget_table,
            )
        ]
        return lambda: b"".join(
            [header, *(rows.encode(table.to_rows()) for table in tables)]
        )

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with a snapshot.

        Raises:
            errors.ProtocolError: The snapshot is malformed; the state is
                unchanged.
        """
        try:
            restored = self._read(data)
        except (ValueError, TypeError, KeyError, StopIteration) as error:
            raise errors.ProtocolError(
                f"malformed snapshot: {error}", step="restore snapshot"
            ) from error
        self.__dict__.update(restored.__dict__)

    @classmethod
    def _read(cls, data: bytes) -> "StateMachine":
        reader = rows.Reader(data)
        format_id, index = _HEADER.unpack(reader.take(_HEADER.size))
        if format_id != _FORMAT:
            raise ValueError(f"unknown format {bytes(format_id)!r}")
        result = cls()
        result.index = index
        result.configuration = configuration.Configuration.from_rows(
            reader.table()
        )
        result.keys = keys.Keys.from_rows(reader.table())
        result.lease_table = leases.Leases.from_rows(reader.table())
        result.call_table = calls.Calls.from_rows(reader.table())
        result.decision_table = decisions.Decisions.from_rows(reader.table())
        result.budget_table = budgets.Budgets.from_rows(reader.table())
        reader.check_end()
        return result
