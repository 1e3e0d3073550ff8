"""Chooses the target of a load and the idle replicas that make room."""

from collections.abc import Callable, Iterable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import ledger as replica_ledger

# Each load in progress on a target delays another by this share of its time.
_LOADING_SHARE = 0.25

# Spreading over zones is worth this share of the load time.
_SAME_ZONE_SHARE = 0.1

# Time until a target has freed the memory of an unloaded replica.
_UNLOAD_S = 0.2

# Each request queued in the engines of a target counts as this much time.
_QUEUED_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a load goes.

    Attributes:
        target: Id of the target.
        tier: Where it finds the checkpoint: ``memory``, ``disk``, ``remote``.
        load_s: Expected load time in seconds.
        ready: Whether the memory is free now.
        evict: Idle replicas to unload first.
        cost: Cost by which targets were compared, in seconds.
    """

    target: str
    tier: str
    load_s: float
    ready: bool
    evict: list[replica_ledger.Replica]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A replica that needs a target.

    Attributes:
        model: Model name.
        version: Model version.
        reserved_bytes: Memory that the replica takes.
        zones: Zones that already have a replica of the model.
        excluded: Targets that must not get it.
    """

    model: str
    version: str
    reserved_bytes: int
    zones: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()


class Placer:
    """Compares targets for one planning step.

    Attributes:
        promised: Bytes by target kept for loads that wait for an unload.
    """

    def __init__(
        self,
        *,
        ledger: replica_ledger.Ledger,
        targets: Iterable[messages.TargetState],
        load_s: Callable[[str, str], float],
        eviction_cost: Callable[[replica_ledger.Replica], float | None],
    ) -> None:
        """Makes a placer.

        Args:
            ledger: Decided replicas.
            targets: Live engines that may get orders and new work.
            load_s: Returns the load time of a model from a tier.
            eviction_cost: Returns the cost of unloading a replica, or None if
                it must stay.
        """
        self.promised: dict[str, int] = {}
        self._ledger = ledger
        self._targets = list(targets)
        self._load_s = load_s
        self._eviction_cost = eviction_cost

    def choose(
        self, request: Request, *, evict: bool = True
    ) -> Placement | None:
        """Returns the cheapest placement, or None if there is none now."""
        best: tuple[float, int, str] | None = None
        result = None
        for state in self._targets:
            if state.target in request.excluded:
                continue
            placement = self._on(state, request, evict)
            if placement is None:
                continue
            left = self.free(state) - request.reserved_bytes
            # Equal costs fill the fullest target, which leaves large gaps
            # for large models.
            rank = (round(placement.cost, 6), left, state.target)
            if best is None or rank < best:
                best, result = rank, placement
        return result

    def fits_anywhere(self, request: Request) -> bool:
        """Returns whether any target is large enough when it is empty."""
        return any(
            state.memory_bytes >= request.reserved_bytes
            for state in self._targets
        )

    def free(self, state: messages.TargetState) -> int:
        """Returns bytes that are neither reserved nor promised."""
        return (
            state.memory_bytes
            - self._ledger.reserved(state.target)
            - self.promised.get(state.target, 0)
        )

    def promise(self, target: str, size: int) -> None:
        """Keeps memory for a load that waits for an unload."""
        self.promised[target] = self.promised.get(target, 0) + size

    def _on(
        self, state: messages.TargetState, request: Request, evict: bool
    ) -> Placement | None:
        missing = request.reserved_bytes - self.free(state)
        victims: list[replica_ledger.Replica] = []
        cost = 0.0
        if missing > 0:
            cost += _UNLOAD_S
            missing -= self._ledger.releasing(state.target)
        if missing > 0:
            if not evict:
                return None
            chosen = self._victims(state.target, missing)
            if chosen is None:
                return None
            victims, lost = chosen
            cost += lost
        tier = checkpoint_tier(state, request.model, request.version)
        load_s = self._load_s(request.model, tier)
        held = self._ledger.on_target(state.target)
        loading = sum(replica.state == "loading" for replica in held)
        queued = sum(replica.waiting for replica in held)
        cost += load_s * (1.0 + _LOADING_SHARE * loading)
        cost += _QUEUED_S * queued
        if state.availability_zone in request.zones:
            cost += _SAME_ZONE_SHARE * load_s
        return Placement(
            target=state.target,
            tier=tier,
            load_s=load_s,
            ready=request.reserved_bytes <= self.free(state),
            evict=victims,
            cost=cost,
        )

    def _victims(
        self, target: str, missing: int
    ) -> tuple[list[replica_ledger.Replica], float] | None:
        """Returns idle replicas whose memory is enough, and their cost."""
        idle = []
        for replica in self._ledger.on_target(target):
            cost = self._eviction_cost(replica)
            if cost is not None:
                idle.append((cost, replica.replica_id, replica))
        idle.sort(key=lambda item: _cost_per_byte(item[0], item[2]))
        chosen: list[tuple[float, str, replica_ledger.Replica]] = []
        for item in idle:
            if missing <= 0:
                break
            chosen.append(item)
            missing -= item[2].change.reserved_bytes
        if missing > 0:
            return None
        # Cheap small victims may have become unnecessary after a large one.
        for item in list(chosen):
            size = item[2].change.reserved_bytes
            if missing + size <= 0:
                chosen.remove(item)
                missing += size
        return [item[2] for item in chosen], sum(item[0] for item in chosen)


def _cost_per_byte(
    cost: float, replica: replica_ledger.Replica
) -> tuple[float, str]:
    size = max(1, replica.change.reserved_bytes)
    return cost / size, replica.replica_id


def checkpoint_tier(
    state: messages.TargetState, model: str, version: str
) -> str:
    """Returns the fastest tier from which a target can load a checkpoint."""
    tiers = {
        item.tier
        for item in state.cached
        if (item.model, item.version) == (model, version)
    }
    for tier in ("memory", "disk"):
        if tier in tiers:
            return tier
    return "remote"


def replicas_needed(
    model: schema.Model, *, waiting: int, running: int, loaded: int
) -> int:
    """Returns how many replicas a model should have for its demand.

    Args:
        model: The model's configuration.
        waiting: Requests waiting at gateways.
        running: Requests running at targets.
        loaded: Replicas that are loaded.
    """
    needed = model.min_replicas
    if waiting and not loaded:
        # One replica drains twice its concurrency while a second would load.
        needed = max(needed, 1, -(-waiting // (2 * model.max_concurrency)))
    elif waiting and running >= loaded * model.max_concurrency:
        needed = max(needed, loaded + 1)
    return min(needed, model.max_replicas)
