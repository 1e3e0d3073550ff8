"""Plans adapter loads and unloads within the adapter memory of replicas."""

from collections.abc import Callable, Iterable
import math

from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.scheduler import demand as gateway_demand
from monsoonhinge.scheduler import ledger as replica_ledger
from monsoonhinge.scheduler import readiness
from monsoonhinge.scheduler import weightstore

# Upper end of the usual range of adapter load times.
_ADAPTER_LOAD_S = 0.025


class AdapterPlanner:
    """Decides the adapter loads and unloads of one planning step.

    Attributes:
        changes: Decisions of this step; they are already applied to the
            ledger.
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

    def ensure_loaded(
        self,
        adapter: str,
        replicas: Iterable[replica_ledger.Replica],
        needs: dict[gateway_demand.DemandKey, gateway_demand.Need],
        now: float,
    ) -> readiness.Estimate | None:
        """Ensures that one of the loaded replicas has or gets an adapter.

        Returns:
            An estimate of when the adapter is ready, or None if a replica
            already has it.
        """
        config = self._view.adapters.get(adapter)
        if config is None:
            return readiness.Estimate.impossible("unknown adapter")
        model = self._view.models[config.model]
        if config.bytes > model.adapter_slot_bytes:
            return readiness.Estimate.impossible("adapter exceeds its memory")
        candidates = sorted(replicas, key=_request_load)
        for replica in candidates:
            if adapter in self._settled_adapters(replica):
                return None
        loading = readiness.Estimate(now + _ADAPTER_LOAD_S)
        for replica in candidates:
            if adapter in self._ledger.possible_adapters(replica):
                return loading
        wanted = {key[1] for key, need in needs.items() if need.waiting}
        used = wanted | {key[1] for key in needs}
        for replica in candidates:
            free_bytes = model.adapter_slot_bytes - self._adapter_bytes(replica)
            if free_bytes >= config.bytes:
                if self._store.may_load_adapter():
                    self._add_change("load_adapter", adapter, replica, now)
                return loading
            if self._free_memory(replica, config.bytes - free_bytes, used, now):
                return loading
        return readiness.Estimate(now + readiness.NO_MEMORY_WAIT_S)

    def _settled_adapters(self, replica: replica_ledger.Replica) -> set[str]:
        changing = {
            adapter_change.change.adapter
            for adapter_change in self._ledger.adapter_changes.values()
            if adapter_change.replica_id == replica.replica_id
        }
        return replica.adapters - changing

    def _adapter_bytes(self, replica: replica_ledger.Replica) -> float:
        total_bytes = 0.0
        for name in self._ledger.possible_adapters(replica):
            config = self._view.adapters.get(name)
            # The size of an adapter that was removed from the configuration
            # is unknown, so its replica counts as full.
            total_bytes += config.bytes if config else math.inf
        return total_bytes

    def _free_memory(
        self,
        replica: replica_ledger.Replica,
        missing_bytes: float,
        used: set[str],
        now: float,
    ) -> bool:
        """Unloads adapters that no request uses.

        Returns:
            Whether enough memory is free once the unloads are done.
        """
        for adapter_change in self._ledger.adapter_changes.values():
            if (
                adapter_change.replica_id == replica.replica_id
                and adapter_change.change.action == "unload_adapter"
            ):
                config = self._view.adapters.get(adapter_change.change.adapter)
                missing_bytes -= config.bytes if config else 0
        chosen = []
        for name in sorted(self._settled_adapters(replica) - used):
            if missing_bytes <= 0:
                break
            config = self._view.adapters.get(name)
            missing_bytes -= config.bytes if config else math.inf
            chosen.append(name)
        if missing_bytes > 0:
            return False
        for name in chosen:
            self._add_change("unload_adapter", name, replica, now)
        return True

    def _add_change(
        self,
        action: str,
        adapter: str,
        replica: replica_ledger.Replica,
        now: float,
    ) -> None:
        replica_change = replica.change
        change = commands.ReplicaChange(
            action=action,
            decision_id=f"{replica.replica_id}/{self._new_id()}",
            target=replica_change.target,
            incarnation=replica_change.incarnation,
            model=replica_change.model,
            model_version=replica_change.model_version,
            adapter=adapter,
        )
        if action == "load_adapter":
            self._store.record_adapter_start(change.decision_id)
        self._ledger.apply(change, now)
        self.changes.append(change)


def _request_load(replica: replica_ledger.Replica) -> tuple[int, str]:
    return replica.running + replica.waiting, replica.replica_id
