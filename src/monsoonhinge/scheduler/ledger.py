"""Decided replicas and the memory they reserve."""

from collections.abc import Callable, Iterable, Iterator
import dataclasses

from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages

Footprint = Callable[[str, str], int]


@dataclasses.dataclass(slots=True)
class Replica:
    """A decided replica; its memory is reserved while this record exists.

    Attributes:
        change: The decision as it was committed.
        decided_at: When it was decided, in seconds.
        loaded_at: When the target first reported it loaded, or None.
        last_used_at: When it last ran a request, or was decided.
        state: ``loading``, ``loaded`` or ``unloading``.
        seen: Whether the target has ever reported it.
        expired: Whether the target stopped announcing itself.
        adapters: Adapters that the target reports on it.
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
class AdapterMove:
    """A load or unload of an adapter that the target has not confirmed.

    Its decision id is the id of the replica, a slash and a unique suffix, so
    that an adapter can be loaded again on the same replica.
    """

    change: commands.ReplicaChange
    replica_id: str
    decided_at: float


@dataclasses.dataclass(slots=True)
class Observation:
    """What an announcement says about the decisions.

    Attributes:
        settled: Changes to commit because the target reported the outcome.
        loaded: Replicas reported loaded for the first time.
        surplus: Reported replicas that have no decision.
        adopted: Decisions that a new incarnation of the target carries out.
    """

    settled: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )
    loaded: list[Replica] = dataclasses.field(default_factory=list)
    surplus: list[messages.ReplicaState] = dataclasses.field(
        default_factory=list
    )
    adopted: list[commands.ReplicaChange] = dataclasses.field(
        default_factory=list
    )


def unload_order_id(replica_id: str) -> str:
    """Returns the id of the order that unloads a replica."""
    return f"{replica_id}-unload"


class Ledger:
    """Decided replicas, reserved memory and loads in progress.

    Attributes:
        replicas: Decided replicas by decision id.
        moves: Unconfirmed adapter loads and unloads by decision id.
        surplus: Bytes of reported replicas without a decision, by target.
    """

    def __init__(self, *, footprint: Footprint) -> None:
        """Makes an empty ledger.

        Args:
            footprint: Returns the bytes of a replica of a model version; used
                for replicas that no decision accounts for.
        """
        self.replicas: dict[str, Replica] = {}
        self.moves: dict[str, AdapterMove] = {}
        self.surplus: dict[str, int] = {}
        self.footprint = footprint
        self._on_target: dict[str, dict[str, Replica]] = {}
        self._of_model: dict[str, dict[str, Replica]] = {}
        self._latest: dict[str, tuple[int, int]] = {}

    @classmethod
    def from_decisions(
        cls,
        decisions: Iterable[commands.ReplicaChange],
        *,
        footprint: Footprint,
        now: float,
    ) -> "Ledger":
        """Rebuilds the ledger from the decisions in the log."""
        ledger = cls(footprint=footprint)
        ordered = sorted(decisions, key=lambda change: bool(change.adapter))
        for change in ordered:
            ledger.apply(change, now)
        return ledger

    def apply(self, change: commands.ReplicaChange, now: float) -> None:
        """Takes a decision into account; repeating it changes nothing."""
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
                self.moves[change.decision_id] = AdapterMove(
                    change, replica_id, now
                )
            case "settled":
                self.moves.pop(change.decision_id, None)
                if known is not None:
                    self._remove(known)

    def observe(self, state: messages.TargetState, now: float) -> Observation:
        """Compares an announcement with the decisions.

        Nothing is freed here: the caller commits the settled changes and then
        applies them. Announcements older than the latest one are ignored.
        """
        result = Observation()
        position = (state.incarnation, state.sequence)
        if position <= self._latest.get(state.target, (-1, -1)):
            return result
        self._latest[state.target] = position
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
                # The order reached the target after its restart.
                replica.change = dataclasses.replace(
                    replica.change, incarnation=state.incarnation
                )
                result.adopted.append(replica.change)
            if replica.change.incarnation == state.incarnation:
                self._observe_replica(replica, report, outcomes, now, result)
        self._observe_moves(state, reported, outcomes, result)
        self._observe_surplus(state, result)
        return result

    def expire(self, target: str) -> None:
        """Marks the replicas of a target that stopped announcing itself."""
        for replica in self.on_target(target):
            replica.expired = True

    def on_target(self, target: str) -> Iterable[Replica]:
        """Returns the decided replicas of a target."""
        return self._on_target.get(target, {}).values()

    def of_model(self, model: str, version: str = "") -> Iterator[Replica]:
        """Yields decided replicas of a model that are not being unloaded.

        Replicas on expired targets are left out: they do not count towards
        ``max_replicas``.
        """
        for replica in self._of_model.get(model, {}).values():
            if (
                (not version or replica.change.model_version == version)
                and replica.state != "unloading"
                and not replica.expired
            ):
                yield replica

    def reserved(self, target: str) -> int:
        """Returns bytes that are or may be in use on a target."""
        return self.surplus.get(target, 0) + sum(
            replica.change.reserved_bytes for replica in self.on_target(target)
        )

    def releasing(self, target: str) -> int:
        """Returns bytes that unloads in progress will free."""
        return sum(
            replica.change.reserved_bytes
            for replica in self.on_target(target)
            if replica.state == "unloading"
        )

    def loading(self) -> list[Replica]:
        """Returns loads that no target has confirmed yet."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.state == "loading"
        ]

    def adapter_loads(self) -> list[AdapterMove]:
        """Returns adapter loads that no target has confirmed yet."""
        return [
            move
            for move in self.moves.values()
            if move.change.action == "load_adapter"
        ]

    def adapters_held(self, replica: Replica) -> set[str]:
        """Returns adapters that are or may be on a replica."""
        return replica.adapters | {
            move.change.adapter
            for move in self.moves.values()
            if move.replica_id == replica.replica_id
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
            # A target that never reported the replica may still receive the
            # order, so its absence alone proves nothing.
            known = {replica.replica_id, unload_order_id(replica.replica_id)}
            if replica.seen or known & outcomes.keys():
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

    def _observe_moves(
        self,
        state: messages.TargetState,
        reported: dict[str, messages.ReplicaState],
        outcomes: dict[str, str],
        result: Observation,
    ) -> None:
        for move in self.moves.values():
            change = move.change
            if change.target != state.target:
                continue
            report = reported.get(move.replica_id)
            if report is None:
                gone = move.replica_id not in self.replicas
                if gone or change.incarnation < state.incarnation:
                    result.settled.append(_settled(change))
                continue
            held = change.adapter in report.adapters
            failed = outcomes.get(change.decision_id) in ("failed", "refused")
            if failed or held == (change.action == "load_adapter"):
                result.settled.append(_settled(change))

    def _observe_surplus(
        self, state: messages.TargetState, result: Observation
    ) -> None:
        result.surplus = [
            item
            for item in state.replicas
            if item.order_id not in self.replicas
        ]
        self.surplus[state.target] = sum(
            self.footprint(item.model, item.version) for item in result.surplus
        )

    def _add(self, replica: Replica) -> None:
        self.replicas[replica.replica_id] = replica
        held = self._on_target.setdefault(replica.change.target, {})
        held[replica.replica_id] = replica
        same = self._of_model.setdefault(replica.change.model, {})
        same[replica.replica_id] = replica

    def _remove(self, replica: Replica) -> None:
        del self.replicas[replica.replica_id]
        del self._on_target[replica.change.target][replica.replica_id]
        del self._of_model[replica.change.model][replica.replica_id]


def _settled(change: commands.ReplicaChange) -> commands.ReplicaChange:
    return dataclasses.replace(change, action="settled")
