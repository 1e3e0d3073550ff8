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

# Requests that come within this time count for a load.
_HORIZON_S = 8.0

# A model that was just loaded stays until its requests had time to arrive.
_MIN_STAY_S = 0.25

# A model that gets this many requests a second is busy.
_BUSY_RATE = 0.8

# Engines that a busy model should be on, as a share of all: enough to lose
# one, and to load adapters on one while another swaps models.
_BUSY_SHARE = 0.4
_BUSY_ADAPTER_SHARE = 0.55

# Time for which a swap from an engine's own disk takes the engine. Engines for
# the rarely used models that are asked for stay free of loads from the store.
_SWAP_S = 1.5

# Adapter requests a second that make an engine worth keeping free of swaps.
_ADAPTER_RATE = 0.3

# Loads from the store at a time while requests arrive, as a share of the
# engines: an engine that reads from the store for seconds serves no others.
_STORE_SHARE = 0.4

# Loads from the store at a time for models without a copy while others are
# asked for, as a share of the engines, and idle engines that they need.
_UNCOPIED_SHARE = 0.2
_IDLE_ENGINES = 2


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
    planner.fill_empty()
    planner.serve_waiting()
    planner.serve_uncopied()
    planner.spread_busy()
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
            and not engine.unreachable
            and engine.accepted is not None
            and now >= engine.retry_at
        }
        self.store_starts = store.may_start
        self.store_loading = store.loading
        self.swaps: list[Swap] = []

    def serve_uncopied(self) -> None:
        """Loads a model without a copy for requests that wait long enough.

        It takes an engine that is idle now, and leaves another one for loads
        from disk, which serve more requests in the same time.
        """
        limit = max(1, round(_UNCOPIED_SHARE * len(self.fleet)))
        if self.store_loading >= limit or len(self.free) < _IDLE_ENGINES:
            return
        patient = [
            (model, need)
            for model, need in self.needs.items()
            if need.waiting
            and not any(e.serves(model, self.now) for e in self.fleet)
            and need.patient_until - self.now >= self._shortest_load(model)
            and not self._has_copy(model)
        ]
        patient.sort(
            key=lambda item: (
                -item[1].waiting * _RANK_FACTOR ** item[1].priority,
                item[1].patient_until,
            )
        )
        for model, need in patient[:1]:
            self._load(model, need, "uncopied")

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

    def spread_busy(self) -> None:
        """Adds replicas of busy models that are on too few engines."""
        busy = [
            (model, need)
            for model, need in self.needs.items()
            if need.rate >= _BUSY_RATE
        ]
        busy.sort(key=lambda item: -item[1].rate)
        for model, need in busy:
            holders = sum(e.serves(model, self.now) for e in self.fleet)
            if holders < self._wanted(need):
                self._load(model, need, "busy")

    def fill_empty(self) -> None:
        """Gives engines that hold nothing the busiest models first."""
        for model, need in sorted(
            self.needs.items(), key=lambda item: -item[1].rate
        ):
            if need.rate < _BUSY_RATE:
                return
            empty = {
                target: engine
                for target, engine in self.free.items()
                if not engine.held
            }
            holders = sum(e.serves(model, self.now) for e in self.fleet)
            if empty and holders < self._wanted(need):
                self._load(model, need, "empty", among=empty)

    def _wanted(self, need: demand.Need) -> int:
        share = _BUSY_SHARE
        if need.adapter_rate >= _ADAPTER_RATE:
            share = _BUSY_ADAPTER_SHARE
        return min(len(self.fleet), max(1, math.ceil(share * len(self.fleet))))

    def _urgency(self, model: str, need: demand.Need) -> tuple[float, float]:
        """Returns a sort key: most value for the time of the load first.

        A load serves what waits and what comes while the model stays. Requests
        that it cannot serve in time any more count little.
        """
        slack = need.timely_until - self.now
        load_s = self._shortest_load(model)
        waiting = need.waiting * (1.0 if slack >= load_s else _LATE_SHARE)
        value = (waiting + need.rate * _HORIZON_S) * _RANK_FACTOR**need.priority
        return -value / load_s, slack

    def _shortest_load(self, model: str) -> float:
        return min(
            (e.load_s(model) for e in self.fleet if e.knows(model)),
            default=math.inf,
        )

    def _has_copy(self, model: str) -> bool:
        return any(
            not engine.from_store(model)
            for engine in self.fleet
            if engine.knows(model)
            and not engine.unreachable
            and engine.accepted is not None
        )

    def _load(
        self,
        model: str,
        need: demand.Need,
        reason: str,
        among: Mapping[str, engines.Engine] | None = None,
    ) -> None:
        best: tuple[float, Swap] | None = None
        for engine in (self.free if among is None else among).values():
            if not engine.knows(model) or model in engine.held:
                continue
            from_store = engine.from_store(model)
            if from_store and not self._may_use_store(
                engine, need, uncopied=reason == "uncopied"
            ):
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

    def _needed_for_adapters(self, engine: engines.Engine) -> bool:
        """Returns whether adapters could be loaded nowhere else meanwhile."""
        for model, held in engine.held.items():
            need = self.needs.get(model)
            if (
                need is None
                or held.state != engines.LOADED
                or need.adapter_rate < _ADAPTER_RATE
            ):
                continue
            if not any(
                other is not engine
                and other.target in self.free
                and model in other.held
                and other.held[model].state == engines.LOADED
                for other in self.fleet
            ):
                return True
        return False

    def _may_use_store(
        self, engine: engines.Engine, need: demand.Need, *, uncopied: bool
    ) -> bool:
        """Returns whether an engine may read from the store for seconds.

        Meanwhile it could make several loads from its own disk, so that a
        rarely used model goes to an engine with few copies, or to one that
        would be idle.
        """
        limit = max(1, round(_STORE_SHARE * len(self.fleet)))
        if self.store_starts <= 0 or self.store_loading >= limit:
            return False
        if self._needed_for_adapters(engine):
            return False
        if uncopied or need.rate >= _BUSY_RATE:
            return True
        most = max(len(e.on_disk) for e in self.fleet)
        if 2 * len(engine.on_disk) <= most:
            return True
        rare = sum(
            item.rate for item in self.needs.values() if item.rate < _BUSY_RATE
        )
        return len(self.free) > max(1, math.ceil(rare * _SWAP_S))

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
        holders = sum(e.serves(name, self.now) for e in self.fleet)
        if need.rate >= _BUSY_RATE:
            return holders > self._wanted(need)
        return holders > 1 or not need.waiting
