"""Which engine loads which model, and what gives way, without any I/O.

Load pattern: many rare models are asked for at once while a few busy ones
carry most requests. An engine carries out one order at a time, so loads that
finish while their requests are still in time go first, and each model goes
where it loads fastest at the least loss to others.
"""

from collections.abc import Mapping, Sequence
import dataclasses
import math

from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines

# A request that is answered late is worth this share of one in time.
_LATE_SHARE = 0.15

# Each rank counts this much less than the one before.
_RANK_FACTOR = 0.8

# A model that was just loaded stays until its requests had time to arrive.
_MIN_STAY_S = 0.25

# A second replica pays once this many requests run on one engine.
_CROWDED = 14
_CROWDED_RATIO = 1.6

# Loads from the store at a time while requests arrive, as a share of the
# engines: an engine that reads from the store for seconds serves no others.
_STORE_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """A load and the unloads that make room for it.

    Attributes:
        target: Engine.
        model: Model to load; "" if nothing is to be loaded.
        evict: Models to unload first.
        load_s: Expected duration of the load.
        from_store: Whether the weights come from the store.
        reason: Why, for the log.
    """

    target: str
    model: str
    evict: tuple[str, ...]
    load_s: float
    from_store: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """What the weight store is doing.

    Attributes:
        loading: Loads in flight.
        may_start: Loads that may start now within its rate.
    """

    loading: int
    may_start: int


def plan(
    *,
    service: str,
    fleet: Sequence[engines.Engine],
    needs: Mapping[demand.ModelKey, demand.Need],
    store: StoreState,
    now: float,
) -> list[Swap]:
    """Returns the swaps to begin now, at most one for each engine."""
    planner = _Planner(service, fleet, needs, store, now)
    planner.serve_waiting()
    planner.relieve_crowded()
    return planner.swaps


class _Planner:
    def __init__(
        self,
        service: str,
        fleet: Sequence[engines.Engine],
        needs: Mapping[demand.ModelKey, demand.Need],
        store: StoreState,
        now: float,
    ) -> None:
        self.service = service
        self.fleet = fleet
        self.now = now
        self.needs = {
            key.model: need
            for key, need in needs.items()
            if key.service == service
        }
        self.free = {
            engine.target: engine
            for engine in fleet
            if not engine.swapping
            and engine.accepted is not None
            and now >= engine.retry_at
        }
        self.store_starts = store.may_start
        self.store_loading = store.loading
        self.swaps: list[Swap] = []

    def serve_waiting(self) -> None:
        """Loads what requests wait for, the most valuable first."""
        wanted = [
            (model, need)
            for model, need in self.needs.items()
            if need.waiting
            and not any(e.serves(model, self.now) for e in self.fleet)
        ]
        wanted.sort(key=lambda item: self._urgency(*item))
        for model, need in wanted:
            self._load(model, need, "waiting")

    def relieve_crowded(self) -> None:
        """Adds a replica of the busiest model of a crowded engine."""
        if not self.free or len(self.fleet) < 2:
            return
        loads = {e.target: sum(e.running.values()) for e in self.fleet}
        mean = sum(loads.values()) / len(loads)
        for engine in self.fleet:
            if loads[engine.target] < max(_CROWDED, mean * _CROWDED_RATIO):
                continue
            model = max(engine.running, key=engine.running.__getitem__)
            holders = [e for e in self.fleet if e.serves(model, self.now)]
            if any(e.held[model].state == engines.LOADING for e in holders):
                continue
            if 2 * len(holders) > len(self.fleet) or any(
                loads[e.target] < mean for e in holders
            ):
                continue
            need = self.needs.get(model)
            if need is not None:
                self._load(model, need, "crowded")

    def _urgency(self, model: str, need: demand.Need) -> tuple[bool, float]:
        slack = need.timely_until - self.now
        fastest = min(
            (e.load_s(model) for e in self.fleet if e.knows(model)),
            default=math.inf,
        )
        timely = slack >= fastest
        value = need.waiting * _RANK_FACTOR**need.priority
        return not timely, slack if timely else -value

    def _load(self, model: str, need: demand.Need, reason: str) -> None:
        best: tuple[float, Swap] | None = None
        for engine in self.free.values():
            if not engine.knows(model) or model in engine.held:
                continue
            from_store = engine.from_store(model)
            if from_store and not self._store_free():
                continue
            evict = self._evictions(engine, model)
            if evict is None:
                continue
            load_s = engine.load_s(model)
            if from_store:
                load_s *= max(1.0, (self.store_loading + 1) / 4)
            cost = self._cost(engine, evict, load_s, need)
            swap = Swap(
                target=engine.target,
                model=model,
                evict=evict,
                load_s=load_s,
                from_store=from_store,
                reason=reason,
            )
            if best is None or cost < best[0]:
                best = (cost, swap)
        if best is None:
            return
        swap = best[1]
        del self.free[swap.target]
        if swap.from_store:
            self.store_starts -= 1
            self.store_loading += 1
        self.swaps.append(swap)

    def _cost(
        self,
        engine: engines.Engine,
        evict: tuple[str, ...],
        load_s: float,
        need: demand.Need,
    ) -> float:
        """Returns the seconds that a swap costs requests, weighted."""
        lost = sum(self._loss(name) for name in evict)
        # An engine that loads cannot load adapters meanwhile.
        held_up = load_s * sum(
            self.needs[name].rate
            for name, held in engine.held.items()
            if held.adapters and name in self.needs
        )
        return load_s * (1 + need.waiting) + lost + held_up

    def _loss(self, model: str) -> float:
        """Returns the expected seconds that requests lose by an eviction."""
        need = self.needs.get(model)
        rate = 0.0 if need is None else need.rate
        others = sum(e.serves(model, self.now) for e in self.fleet) - 1
        return rate * 10.0 / (1 + 4 * max(0, others))

    def _store_free(self) -> bool:
        limit = max(1, round(_STORE_SHARE * len(self.fleet)))
        return self.store_starts > 0 and self.store_loading < limit

    def _evictions(
        self, engine: engines.Engine, model: str
    ) -> tuple[str, ...] | None:
        """Returns what to unload for a model; None if that is impossible."""
        missing = engine.size_bytes(model) - engine.free_bytes()
        if missing <= 0:
            return ()
        candidates = [
            (self._loss(name), held.used_at, name)
            for name, held in engine.held.items()
            if self._may_evict(engine, name, held)
        ]
        evict = []
        for _, _, name in sorted(candidates):
            evict.append(name)
            missing -= engine.size_bytes(name)
            missing -= len(engine.held[name].adapters) * engine.adapter_bytes(
                name
            )
            if missing <= 0:
                return tuple(evict)
        return None

    def _may_evict(
        self, engine: engines.Engine, name: str, held: engines.Held
    ) -> bool:
        if held.state != engines.LOADED or engine.running.get(name):
            return False
        if self.now - held.since < _MIN_STAY_S and held.used_at:
            return False
        need = self.needs.get(name)
        if need is None:
            return True
        others = any(
            other is not engine and other.serves(name, self.now)
            for other in self.fleet
        )
        return others or not need.waiting
