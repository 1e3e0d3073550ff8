"""Ledger of decided replicas and of the memory reserved for them."""

from collections.abc import Callable, Iterable, Iterator
import dataclasses

from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages

FootprintLookup = Callable[[str, str], int]


@dataclasses.dataclass(slots=True)
class Replica:
    """A decided replica, whose memory is reserved while this record exists.

    Attributes:
        change: The committed decision.
        decided_at: When it was decided, in seconds.
        loaded_at: When the target first reported it as loaded, or None.
        last_used_at: When it was last reported with a request, or else when it
            was decided.
        state: ``loading``, ``loaded`` or ``unloading``.
        seen: Whether the target has ever reported it.
        expired: Whether the announcements of the target have expired.
        adapters: Adapters that the target reports as loaded on it.
        running: Requests running, as reported.
        waiting: Requests waiting in the engine, as reported.
    """

    change: commands.ReplicaChange
    decided_at: float
    loaded_at: float | None = None
    last_used_at: float = 0.0
    state: str = "loading"
    seen: bool = False
    expired: bool = False
    adapters: set[str] = dataclasses.field(default_factory=set)
    running: int = 0
    waiting: int = 0

    @property
    def replica_id(self) -> str:
        """Id of the decision that created the replica."""
        return self.change.decision_id


@dataclasses.dataclass(slots=True)
class AdapterChange:
    """Load or unload of an adapter that the target has not confirmed yet.

    Its decision id is ``{replica_id}/{suffix}`` with a unique suffix, so that
    an adapter can be loaded again on the same replica.
    """

    change: commands.ReplicaChange
    replica_id: str
    decided_at: float


@dataclasses.dataclass(slots=True)
class Observation:
    """Result of comparing an announcement with the decisions.

    Attributes:
        settled: Changes to commit because their outcome is known.
        loaded: Replicas reported loaded for the first time.
        orphans: Reported replicas without a decision.
        adopted: Decisions that a restarted target executes; they are committed
            again with its new incarnation.
    """

    settled: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )
    loaded: list[Replica] = dataclasses.field(default_factory=list)
    orphans: list[messages.ReplicaState] = dataclasses.field(
        default_factory=list
    )
    adopted: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )


def unload_order_id(replica_id: str) -> str:
    """Returns the id of the order that unloads a replica."""
    return f"{replica_id}-unload"


class Ledger:
    """Tracks decided replicas, reserved memory and adapter changes.

    Attributes:
        replicas: Decided replicas by decision id.
        adapter_changes: Unconfirmed adapter changes by decision id.
        orphan_bytes: Memory of reported replicas without a decision, by
            target.
    """

    def __init__(self, *, footprint_bytes: FootprintLookup) -> None:
        """Initializes an empty ledger.

        Args:
            footprint_bytes: Returns the memory of a replica of a model version;
                used for replicas without a decision.
        """
        self.replicas: dict[str, Replica] = {}
        self.adapter_changes: dict[str, AdapterChange] = {}
        self.orphan_bytes: dict[str, int] = {}
        self.footprint_bytes = footprint_bytes
        self._on_target: dict[str, dict[str, Replica]] = {}
        self._of_model: dict[str, dict[str, Replica]] = {}
        self._latest_position: dict[str, tuple[int, int]] = {}

    @classmethod
    def from_decisions(
        cls,
        decisions: Iterable[commands.ReplicaChange],
        *,
        footprint_bytes: FootprintLookup,
        now: float,
    ) -> "Ledger":
        """Rebuilds the ledger from the decisions in the control log."""
        ledger = cls(footprint_bytes=footprint_bytes)
        ordered = sorted(decisions, key=lambda change: bool(change.adapter))
        for change in ordered:
            ledger.apply(change, now)
        return ledger

    def apply(self, change: commands.ReplicaChange, now: float) -> None:
        """Applies a change; applying it again has no effect."""
        known = self.replicas.get(change.decision_id)
        match change.action:
            case "load":
                if known is None:
                    self._add(Replica(change, now, last_used_at=now))
            case "unload":
                if known is None:
                    known = Replica(change, now, last_used_at=now)
                    self._add(known)
                known.change = change
                known.state = "unloading"
            case "load_adapter" | "unload_adapter":
                replica_id = change.decision_id.rpartition("/")[0]
                self.adapter_changes[change.decision_id] = AdapterChange(
                    change, replica_id, now
                )
            case "settled":
                self.adapter_changes.pop(change.decision_id, None)
                if known is not None:
                    self._remove(known)

    def apply_announcement(
        self, state: messages.TargetState, now: float
    ) -> Observation:
        """Compares an announcement with the decisions.

        This frees no memory: the caller commits the settled changes and then
        applies them. Announcements older than the latest one are ignored.
        """
        result = Observation()
        position = (state.incarnation, state.sequence)
        if position <= self._latest_position.get(state.target, (-1, -1)):
            return result
        self._latest_position[state.target] = position
        reported = {
            item.order_id: item for item in state.replicas if item.order_id
        }
        outcomes = {item.order_id: item.outcome for item in state.orders}
        for replica in list(self.on_target(state.target)):
            replica.expired = False
            report = reported.get(replica.replica_id)
            if replica.change.incarnation < state.incarnation:
                if report is None:
                    result.settled.append(_settled(replica.change))
                    continue
                # The order arrived after the target had restarted.
                replica.change = dataclasses.replace(
                    replica.change, incarnation=state.incarnation
                )
                result.adopted.append(replica.change)
            if replica.change.incarnation == state.incarnation:
                self._observe_replica(replica, report, outcomes, now, result)
        self._observe_adapter_changes(state, reported, outcomes, result)
        self._observe_orphans(state, result)
        return result

    def expire(self, target: str) -> None:
        """Marks the replicas of a target whose announcements have expired."""
        for replica in self.on_target(target):
            replica.expired = True

    def on_target(self, target: str) -> Iterable[Replica]:
        """Returns the decided replicas of a target."""
        return self._on_target.get(target, {}).values()

    def of_model(self, model: str, version: str = "") -> Iterator[Replica]:
        """Yields the decided replicas of a model that are not being unloaded.

        Replicas on expired targets are skipped, so that they do not count
        towards ``max_replicas``.
        """
        for replica in self._of_model.get(model, {}).values():
            if (
                (not version or replica.change.model_version == version)
                and replica.state != "unloading"
                and not replica.expired
            ):
                yield replica

    def reserved_bytes(self, target: str) -> int:
        """Returns the bytes that are or may be in use on a target."""
        return self.orphan_bytes.get(target, 0) + sum(
            replica.change.reserved_bytes for replica in self.on_target(target)
        )

    def releasing_bytes(self, target: str) -> int:
        """Returns the bytes that unloads in progress will free on a target."""
        return sum(
            replica.change.reserved_bytes
            for replica in self.on_target(target)
            if replica.state == "unloading"
        )

    def loading(self) -> list[Replica]:
        """Returns the replicas that no target has reported as loaded yet."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.state == "loading"
        ]

    def adapter_loads(self) -> list[AdapterChange]:
        """Returns the adapter loads that no target has confirmed yet."""
        return [
            adapter_change
            for adapter_change in self.adapter_changes.values()
            if adapter_change.change.action == "load_adapter"
        ]

    def possible_adapters(self, replica: Replica) -> set[str]:
        """Returns the adapters that are or may be loaded on a replica."""
        return replica.adapters | {
            adapter_change.change.adapter
            for adapter_change in self.adapter_changes.values()
            if adapter_change.replica_id == replica.replica_id
        }

    def _observe_replica(
        self,
        replica: Replica,
        report: messages.ReplicaState | None,
        outcomes: dict[str, str],
        now: float,
        result: Observation,
    ) -> None:
        if report is None:
            # The order may still be on its way to a target that has never
            # reported the replica, so a missing report settles nothing.
            order_ids = {
                replica.replica_id,
                unload_order_id(replica.replica_id),
            }
            if replica.seen or order_ids & outcomes.keys():
                result.settled.append(_settled(replica.change))
            return
        replica.seen = True
        if (report.running, report.waiting) != (0, 0):
            replica.last_used_at = now
        replica.running = report.running
        replica.waiting = report.waiting
        replica.adapters = set(report.adapters)
        if report.state == "loaded" and replica.loaded_at is None:
            replica.loaded_at = now
            result.loaded.append(replica)
        if replica.state != "unloading" and report.state != "unloading":
            replica.state = report.state

    def _observe_adapter_changes(
        self,
        state: messages.TargetState,
        reported: dict[str, messages.ReplicaState],
        outcomes: dict[str, str],
        result: Observation,
    ) -> None:
        for adapter_change in self.adapter_changes.values():
            change = adapter_change.change
            if change.target != state.target:
                continue
            report = reported.get(adapter_change.replica_id)
            if report is None:
                removed = adapter_change.replica_id not in self.replicas
                if removed or change.incarnation < state.incarnation:
                    result.settled.append(_settled(change))
                continue
            present = change.adapter in report.adapters
            failed = outcomes.get(change.decision_id) in ("failed", "refused")
            if failed or present == (change.action == "load_adapter"):
                result.settled.append(_settled(change))

    def _observe_orphans(
        self, state: messages.TargetState, result: Observation
    ) -> None:
        result.orphans = [
            item
            for item in state.replicas
            if item.order_id not in self.replicas
        ]
        self.orphan_bytes[state.target] = sum(
            self.footprint_bytes(item.model, item.version)
            for item in result.orphans
        )

    def _add(self, replica: Replica) -> None:
        self.replicas[replica.replica_id] = replica
        on_target = self._on_target.setdefault(replica.change.target, {})
        on_target[replica.replica_id] = replica
        of_model = self._of_model.setdefault(replica.change.model, {})
        of_model[replica.replica_id] = replica

    def _remove(self, replica: Replica) -> None:
        del self.replicas[replica.replica_id]
        del self._on_target[replica.change.target][replica.replica_id]
        del self._of_model[replica.change.model][replica.replica_id]


def _settled(change: commands.ReplicaChange) -> commands.ReplicaChange:
    return dataclasses.replace(change, action="settled")
