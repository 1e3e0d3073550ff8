"""Chooses the target of a load and the idle replicas to evict for it."""

from collections.abc import Callable, Iterable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import ledger as replica_ledger

# Each load in progress on a target delays another load by this share of its
# load time.
_CONCURRENT_LOAD_PENALTY = 0.25

# Cost of a second replica in the same availability zone, as a share of the load
# time.
_SAME_ZONE_PENALTY = 0.1

# Expected time until a target has freed the memory of an unloaded replica.
_UNLOAD_DURATION_S = 0.2

# Cost of each request that is queued in the engines of a target.
_QUEUED_REQUEST_COST_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Chosen target of a load.

    Attributes:
        target: Id of the target.
        tier: Source of the checkpoint: ``memory``, ``disk`` or ``remote``.
        load_s: Expected load time in seconds.
        has_memory: Whether enough memory is free now.
        evictions: Idle replicas to unload first.
        cost: Placement cost, in seconds.
    """

    target: str
    tier: str
    load_s: float
    has_memory: bool
    evictions: list[replica_ledger.Replica]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRequest:
    """A replica to place on a target.

    Attributes:
        model: Model name.
        version: Model version.
        reserved_bytes: Memory to reserve for the replica.
        zones: Availability zones that already have a replica of the model.
        excluded: Targets that must not be chosen.
    """

    model: str
    version: str
    reserved_bytes: int
    zones: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _TargetCapacity:
    """Capacity and load of a target during a planning step.

    Attributes:
        state: The target as announced.
        free_bytes: Bytes that are neither reserved nor kept for pending loads.
        releasing_bytes: Bytes that unloads in progress will free.
        has_reservations: Whether any memory is reserved.
        loads_in_progress: Number of loads in progress.
        queue_cost_s: Cost of the requests that are queued in its engines.
        tiers: Fastest local tier by model and version.
    """

    state: messages.TargetState
    free_bytes: int
    releasing_bytes: int
    has_reservations: bool
    loads_in_progress: int
    queue_cost_s: float
    tiers: dict[tuple[str, str], str]


# Cost, tier and evictions of a possible placement.
_Candidate = tuple[float, str, list[replica_ledger.Replica]]


class Placer:
    """Places replicas on targets within one planning step.

    Attributes:
        pending_bytes: Bytes kept for loads that wait for an unload, by target.
    """

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        targets: Iterable[messages.TargetState],
        load_s: Callable[[str, str], float],
        eviction_cost: Callable[[replica_ledger.Replica], float | None],
    ) -> None:
        """Initializes the placer.

        Args:
            ledger: Decided replicas.
            targets: Live engines that accept new work.
            load_s: Returns the load time of a model from a tier.
            eviction_cost: Returns the cost of evicting a replica, or None if it
                must not be evicted.
        """
        self.pending_bytes: dict[str, int] = {}
        self._ledger = ledger
        self._capacities = {
            state.target: self._measure_capacity(state) for state in targets
        }
        self._load_s = load_s
        self._eviction_cost = eviction_cost

    def choose(
        self, request: ReplicaRequest, *, evict: bool = True
    ) -> Placement | None:
        """Returns the cheapest placement, or None if none is possible now."""
        load_s = {
            tier: self._load_s(request.model, tier)
            for tier in ("memory", "disk", "remote")
        }
        best: tuple[float, int, str] | None = None
        found: _Candidate | None = None
        for name, capacity in self._capacities.items():
            missing_bytes = request.reserved_bytes - capacity.free_bytes
            if (
                missing_bytes > capacity.releasing_bytes
                and not (evict and capacity.has_reservations)
            ) or (name in request.excluded):
                continue
            candidate = self._evaluate(capacity, request, load_s)
            if candidate is None:
                continue
            # Ties go to the target with the least free memory, so that other
            # targets keep enough for large models.
            rank = (round(candidate[0], 6), -missing_bytes, name)
            if best is None or rank < best:
                best, found = rank, candidate
        if best is None or found is None:
            return None
        cost, tier, evictions = found
        return Placement(
            target=best[2],
            tier=tier,
            load_s=load_s[tier],
            has_memory=best[1] >= 0,
            evictions=evictions,
            cost=cost,
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is no target to place replicas on."""
        return not self._capacities

    def fits_anywhere(self, request: ReplicaRequest) -> bool:
        """Returns whether any target would be large enough if it were empty."""
        return any(
            capacity.state.memory_bytes >= request.reserved_bytes
            for capacity in self._capacities.values()
        )

    def reserve_pending(self, target: str, size_bytes: int) -> None:
        """Reserves memory for a load that waits for an unload."""
        self.pending_bytes[target] = (
            self.pending_bytes.get(target, 0) + size_bytes
        )
        self.refresh(target)

    def refresh(self, target: str) -> None:
        """Recomputes the capacity of a target after a decision."""
        capacity = self._capacities.get(target)
        if capacity is not None:
            self._capacities[target] = self._measure_capacity(capacity.state)

    def _measure_capacity(self, state: messages.TargetState) -> _TargetCapacity:
        replicas = self._ledger.on_target(state.target)
        reserved = self._ledger.reserved_bytes(state.target)
        tiers = {
            (item.model, item.version): item.tier
            for tier in ("disk", "memory")
            for item in state.cached
            if item.tier == tier
        }
        return _TargetCapacity(
            state=state,
            free_bytes=state.memory_bytes
            - reserved
            - self.pending_bytes.get(state.target, 0),
            releasing_bytes=self._ledger.releasing_bytes(state.target),
            has_reservations=reserved > 0,
            loads_in_progress=sum(
                replica.state == "loading" for replica in replicas
            ),
            queue_cost_s=_QUEUED_REQUEST_COST_S
            * sum(replica.waiting for replica in replicas),
            tiers=tiers,
        )

    def _evaluate(
        self,
        capacity: _TargetCapacity,
        request: ReplicaRequest,
        load_s: dict[str, float],
    ) -> _Candidate | None:
        """Returns cost, tier and evictions of a placement, or None."""
        missing_bytes = request.reserved_bytes - capacity.free_bytes
        evictions: list[replica_ledger.Replica] = []
        cost = capacity.queue_cost_s
        if missing_bytes > 0:
            cost += _UNLOAD_DURATION_S
            missing_bytes -= capacity.releasing_bytes
        if missing_bytes > 0:
            chosen = self._choose_evictions(
                capacity.state.target, missing_bytes
            )
            if chosen is None:
                return None
            evictions, eviction_cost = chosen
            cost += eviction_cost
        tier = capacity.tiers.get((request.model, request.version), "remote")
        cost += load_s[tier] * (
            1.0 + _CONCURRENT_LOAD_PENALTY * capacity.loads_in_progress
        )
        if capacity.state.availability_zone in request.zones:
            cost += _SAME_ZONE_PENALTY * load_s[tier]
        return cost, tier, evictions

    def _choose_evictions(
        self, target: str, missing_bytes: int
    ) -> tuple[list[replica_ledger.Replica], float] | None:
        """Returns idle replicas to evict with their total cost, or None.

        The result is None if they would not free enough memory.
        """
        candidates = []
        for replica in self._ledger.on_target(target):
            cost = self._eviction_cost(replica)
            if cost is not None:
                candidates.append((cost, replica.replica_id, replica))
        candidates.sort(key=lambda item: _cost_per_byte(item[0], item[2]))
        chosen: list[tuple[float, str, replica_ledger.Replica]] = []
        for item in candidates:
            if missing_bytes <= 0:
                break
            chosen.append(item)
            missing_bytes -= item[2].change.reserved_bytes
        if missing_bytes > 0:
            return None
        # A large eviction may have made cheaper, smaller ones unnecessary.
        for item in list(chosen):
            size_bytes = item[2].change.reserved_bytes
            if missing_bytes + size_bytes <= 0:
                chosen.remove(item)
                missing_bytes += size_bytes
        return [item[2] for item in chosen], sum(item[0] for item in chosen)


def _cost_per_byte(
    cost: float, replica: replica_ledger.Replica
) -> tuple[float, str]:
    size_bytes = max(1, replica.change.reserved_bytes)
    return cost / size_bytes, replica.replica_id


def footprint_bytes(model: schema.Model, version: str) -> int:
    """Returns the bytes to reserve for a replica.

    They cover the weights, the KV cache and the adapter slots.
    """
    found = model.version(version)
    weights = found.weights_bytes if found else 0
    return weights + model.kv_bytes_per_replica + model.adapter_slot_bytes


def desired_replicas(
    model: schema.Model, *, waiting: int, running: int, loaded: int
) -> int:
    """Returns how many replicas a model needs for its demand.

    Args:
        model: The model's configuration.
        waiting: Requests waiting at gateways.
        running: Requests running at targets.
        loaded: Number of loaded replicas.
    """
    needed = model.min_replicas
    if waiting and not loaded:
        # While another replica would load, one replica serves about twice its
        # maximum concurrency.
        needed = max(needed, 1, -(-waiting // (2 * model.max_concurrency)))
    elif waiting and running >= loaded * model.max_concurrency:
        needed = max(needed, loaded + 1)
    return min(needed, model.max_replicas)
