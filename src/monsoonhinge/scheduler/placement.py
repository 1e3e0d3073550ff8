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


@dataclasses.dataclass(slots=True)
class _Room:
    """What a placement needs to know about a target.

    Attributes:
        state: The target as announced.
        free: Bytes that are neither reserved nor promised.
        releasing: Bytes that unloads in progress will free.
        reserved: Whether anything is reserved on it.
        loading: Loads in progress.
        queued_s: Cost of the requests that wait in its engines.
        tiers: Fastest local tier by model and version.
    """

    state: messages.TargetState
    free: int
    releasing: int
    reserved: bool
    loading: int
    queued_s: float
    tiers: dict[tuple[str, str], str]


_Offer = tuple[float, str, list[replica_ledger.Replica]]


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
        self._rooms = {state.target: self._measure(state) for state in targets}
        self._load_s = load_s
        self._eviction_cost = eviction_cost

    def choose(
        self, request: Request, *, evict: bool = True
    ) -> Placement | None:
        """Returns the cheapest placement, or None if there is none now."""
        load_s = {
            tier: self._load_s(request.model, tier)
            for tier in ("memory", "disk", "remote")
        }
        best: tuple[float, int, str] | None = None
        found: _Offer | None = None
        for name, room in self._rooms.items():
            missing = request.reserved_bytes - room.free
            if (missing > room.releasing and not (evict and room.reserved)) or (
                name in request.excluded
            ):
                continue
            offer = self._on(room, request, load_s)
            if offer is None:
                continue
            # Equal costs fill the fullest target, which leaves large gaps
            # for large models.
            rank = (round(offer[0], 6), -missing, name)
            if best is None or rank < best:
                best, found = rank, offer
        if best is None or found is None:
            return None
        cost, tier, victims = found
        return Placement(
            target=best[2],
            tier=tier,
            load_s=load_s[tier],
            ready=best[1] >= 0,
            evict=victims,
            cost=cost,
        )

    @property
    def is_empty(self) -> bool:
        """Whether no target is known."""
        return not self._rooms

    def fits_anywhere(self, request: Request) -> bool:
        """Returns whether any target is large enough when it is empty."""
        return any(
            room.state.memory_bytes >= request.reserved_bytes
            for room in self._rooms.values()
        )

    def promise(self, target: str, size: int) -> None:
        """Keeps memory for a load that waits for an unload."""
        self.promised[target] = self.promised.get(target, 0) + size
        self.refresh(target)

    def refresh(self, target: str) -> None:
        """Takes a decision about a target into account."""
        room = self._rooms.get(target)
        if room is not None:
            self._rooms[target] = self._measure(room.state)

    def _measure(self, state: messages.TargetState) -> _Room:
        held = self._ledger.on_target(state.target)
        reserved = self._ledger.reserved(state.target)
        tiers = {
            (item.model, item.version): item.tier
            for tier in ("disk", "memory")
            for item in state.cached
            if item.tier == tier
        }
        return _Room(
            state=state,
            free=state.memory_bytes
            - reserved
            - self.promised.get(state.target, 0),
            releasing=self._ledger.releasing(state.target),
            reserved=reserved > 0,
            loading=sum(replica.state == "loading" for replica in held),
            queued_s=_QUEUED_S * sum(replica.waiting for replica in held),
            tiers=tiers,
        )

    def _on(
        self, room: _Room, request: Request, load_s: dict[str, float]
    ) -> _Offer | None:
        """Returns cost, tier and replicas to unload, or None."""
        missing = request.reserved_bytes - room.free
        victims: list[replica_ledger.Replica] = []
        cost = room.queued_s
        if missing > 0:
            cost += _UNLOAD_S
            missing -= room.releasing
        if missing > 0:
            chosen = self._victims(room.state.target, missing)
            if chosen is None:
                return None
            victims, lost = chosen
            cost += lost
        tier = room.tiers.get((request.model, request.version), "remote")
        cost += load_s[tier] * (1.0 + _LOADING_SHARE * room.loading)
        if room.state.availability_zone in request.zones:
            cost += _SAME_ZONE_SHARE * load_s[tier]
        return cost, tier, victims

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
