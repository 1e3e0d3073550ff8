"""Loads adapters onto replicas within their adapter memory."""

from collections.abc import Callable, Iterable
import math

from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.scheduler import demand as demand_book
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import verdicts
from monsoonhinge.scheduler import weightstore

# Upper end of the usual adapter load time.
_ADAPTER_LOAD_S = 0.025


class AdapterMover:
    """Decides adapter loads and unloads of one planning step.

    Attributes:
        changes: Decisions, already applied to the ledger.
    """

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        store: weightstore.WeightStore,
        view: config_view.View,
        new_id: Callable[[], str],
    ) -> None:
        self.changes: list[commands.ReplicaChange] = []
        self._ledger = ledger
        self._store = store
        self._view = view
        self._new_id = new_id

    def ensure(
        self,
        adapter: str,
        replicas: Iterable[replica_ledger.Replica],
        needs: dict[demand_book.Key, demand_book.Need],
        now: float,
    ) -> verdicts.Expectation | None:
        """Makes an adapter available on one of the loaded replicas.

        Returns:
            When it is expected, or None if a replica already has it.
        """
        item = self._view.adapters.get(adapter)
        if item is None:
            return verdicts.Expectation.never("unknown adapter")
        model = self._view.models[item.model]
        if item.bytes > model.adapter_slot_bytes:
            return verdicts.Expectation.never("adapter exceeds its memory")
        candidates = sorted(replicas, key=_load)
        for replica in candidates:
            if adapter in self._settled(replica):
                return None
        soon = verdicts.Expectation(now + _ADAPTER_LOAD_S)
        for replica in candidates:
            if adapter in self._ledger.adapters_held(replica):
                return soon
        wanted = {key[1] for key, need in needs.items() if need.waiting}
        used = wanted | {key[1] for key in needs}
        for replica in candidates:
            free = model.adapter_slot_bytes - self._bytes_held(replica)
            if free >= item.bytes:
                if self._store.may_load_adapter():
                    self._decide("load_adapter", adapter, replica, now)
                return soon
            if self._make_room(replica, item.bytes - free, used, now):
                return soon
        return verdicts.Expectation(now + verdicts.BUSY_S)

    def _settled(self, replica: replica_ledger.Replica) -> set[str]:
        moving = {
            move.change.adapter
            for move in self._ledger.moves.values()
            if move.replica_id == replica.replica_id
        }
        return replica.adapters - moving

    def _bytes_held(self, replica: replica_ledger.Replica) -> float:
        total = 0.0
        for name in self._ledger.adapters_held(replica):
            known = self._view.adapters.get(name)
            # The size of an adapter that was removed is not known any more.
            total += known.bytes if known else math.inf
        return total

    def _make_room(
        self,
        replica: replica_ledger.Replica,
        missing: float,
        used: set[str],
        now: float,
    ) -> bool:
        """Unloads unused adapters; returns whether enough will be free."""
        for move in self._ledger.moves.values():
            if (
                move.replica_id == replica.replica_id
                and move.change.action == "unload_adapter"
            ):
                known = self._view.adapters.get(move.change.adapter)
                missing -= known.bytes if known else 0
        chosen = []
        for name in sorted(self._settled(replica) - used):
            if missing <= 0:
                break
            known = self._view.adapters.get(name)
            missing -= known.bytes if known else math.inf
            chosen.append(name)
        if missing > 0:
            return False
        for name in chosen:
            self._decide("unload_adapter", name, replica, now)
        return True

    def _decide(
        self,
        action: str,
        adapter: str,
        replica: replica_ledger.Replica,
        now: float,
    ) -> None:
        base = replica.change
        change = commands.ReplicaChange(
            action=action,
            decision_id=f"{replica.replica_id}/{self._new_id()}",
            target=base.target,
            incarnation=base.incarnation,
            model=base.model,
            model_version=base.model_version,
            adapter=adapter,
        )
        if action == "load_adapter":
            self._store.start_adapter(change.decision_id)
        self._ledger.apply(change, now)
        self.changes.append(change)


def _load(replica: replica_ledger.Replica) -> tuple[int, str]:
    return replica.running + replica.waiting, replica.replica_id
