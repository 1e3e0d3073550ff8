"""Limits, order and learned speed of loads from the weight store."""

from collections.abc import Iterable, Mapping
import dataclasses
import heapq
import statistics

from monsoonhinge.config import schema

# A larger burst would exceed the rate in the first second after an idle time.
RATE_BURST = 1.0

# Loads by which a team may run ahead of the others before they go first.
SHARE_LEAD = 2.0

# Load time from a tier as a fraction of the nominal time from the store.
INITIAL_SPEED = {"remote": 1.0, "disk": 0.4, "memory": 0.1}

_SPEED_SMOOTHING = 0.3

# Bounds the estimate while loads hang, as multiple of the learned time.
_MAX_STALL = 20.0
_EPSILON = 1e-9
_STEP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """A load that waits for its turn.

    Attributes:
        model: Model to load.
        adapter: Adapter to load, or "".
        team: Team whose request has the earliest deadline.
        deadline: Earliest deadline in seconds.
        nominal_s: Load time from the store at full speed.
    """

    model: str
    adapter: str
    team: str
    deadline: float
    nominal_s: float


@dataclasses.dataclass(slots=True)
class _InFlight:
    started_at: float
    nominal_s: float
    tier: str


class WeightStore:
    """Decides when loads may start.

    Attributes:
        limits: Limits from the configuration.
        in_flight: Model loads from the store in progress, by decision id.
        adapters_in_flight: Adapter loads in progress, by decision id.
        speed: Learned load time over nominal load time, per tier.
    """

    def __init__(self, limits: schema.Store, *, now: float) -> None:
        self.limits = limits
        self.in_flight: dict[str, _InFlight] = {}
        self.adapters_in_flight: set[str] = set()
        self.speed = dict(INITIAL_SPEED)
        # A new holder does not know when the last load started.
        self._tokens = 0.0
        self._filled_at = now
        self._served: dict[str, float] = {}
        self._weights: Mapping[str, float] = {}

    def configure(
        self, limits: schema.Store, weights: Mapping[str, float]
    ) -> None:
        """Takes new limits and team weights."""
        self.limits = limits
        self._weights = weights

    def may_load(self, now: float) -> bool:
        """Returns whether a load from the store may start now."""
        self._fill(now)
        return self._tokens >= 1.0 - _EPSILON and self.free_slots() > 0

    def free_slots(self) -> int:
        """Returns how many more loads may run at a time."""
        used = sum(load.tier == "remote" for load in self.in_flight.values())
        return self.limits.concurrent_loads - used

    def may_load_adapter(self) -> bool:
        """Returns whether an adapter load may start now."""
        return (
            len(self.adapters_in_flight) < self.limits.concurrent_adapter_loads
        )

    def start(
        self, load_id: str, *, nominal_s: float, tier: str, now: float
    ) -> None:
        """Counts a model load that starts; loads in progress are restored too.

        Local tiers do not use the store, so they take none of its limits.
        """
        self._fill(now)
        if tier == "remote":
            self._tokens -= 1.0
        self.in_flight[load_id] = _InFlight(now, nominal_s, tier)

    def start_adapter(self, load_id: str) -> None:
        """Counts an adapter load that starts or is restored."""
        self.adapters_in_flight.add(load_id)

    def restore(self, load_id: str, *, nominal_s: float, now: float) -> None:
        """Counts a load in progress that an earlier scheduler started."""
        self.in_flight[load_id] = _InFlight(now, nominal_s, "remote")

    def finish(self, load_id: str, *, loaded: bool, now: float) -> None:
        """Ends a load and learns from its time if it succeeded."""
        self.adapters_in_flight.discard(load_id)
        load = self.in_flight.pop(load_id, None)
        if load is None or not loaded or load.nominal_s <= 0:
            return
        measured = (now - load.started_at) / load.nominal_s
        self.speed[load.tier] += _SPEED_SMOOTHING * (
            measured - self.speed[load.tier]
        )

    def load_s(self, nominal_s: float, tier: str, now: float) -> float:
        """Returns the expected time of a load.

        Loads in progress that already take longer than expected count, so a
        store that stalls is noticed before any load completes. The lower
        median is taken because a single load can hang on its own.
        """
        factor = self.speed[tier]
        elapsed = [
            (now - load.started_at) / load.nominal_s
            for load in self.in_flight.values()
            if load.tier == tier and load.nominal_s > 0
        ]
        if elapsed:
            stalled = statistics.median_low(elapsed)
            factor = max(factor, min(stalled, _MAX_STALL * factor))
        return nominal_s * factor

    def order(self, wanted: Iterable[Wanted]) -> list[Wanted]:
        """Sorts loads by deadline, sharing the store between teams.

        A team goes first by deadline only while it is at most ``SHARE_LEAD``
        weighted loads ahead of the least served waiting team.
        """
        queues: dict[str, list[Wanted]] = {}
        for item in wanted:
            queues.setdefault(item.team, []).append(item)
        for queue in queues.values():
            queue.sort(key=_urgency, reverse=True)
        self._admit(queues)
        served = dict(self._served)
        result = []
        while queues:
            floor = min(served[team] for team in queues)
            team = min(
                (team for team in queues if served[team] <= floor + SHARE_LEAD),
                key=lambda team: _urgency(queues[team][-1]),
            )
            result.append(queues[team].pop())
            served[team] += 1.0 / self._weights.get(team, 1.0)
            if not queues[team]:
                del queues[team]
        return result

    def charge(self, team: str) -> None:
        """Counts a started load against a team's share of the store."""
        self._served[team] = self._served.get(
            team, 0.0
        ) + 1.0 / self._weights.get(team, 1.0)

    def ready_times(self, ordered: Iterable[Wanted], now: float) -> list[float]:
        """Estimates when each load, in order, would be complete."""
        self._fill(now)
        slots = []
        for load in self.in_flight.values():
            if load.tier == "remote":
                expected = self.load_s(load.nominal_s, "remote", now)
                slots.append(max(now, load.started_at + expected))
        slots += [now] * (self.limits.concurrent_loads - len(slots))
        heapq.heapify(slots)
        interval = 1.0 / self.limits.loads_per_s
        start = now + max(0.0, 1.0 - self._tokens) * interval
        result = []
        for item in ordered:
            begins = max(start, heapq.heappop(slots))
            ends = begins + self.load_s(item.nominal_s, "remote", now)
            heapq.heappush(slots, ends)
            result.append(ends)
            start = begins + interval
        return result

    def _admit(self, queues: Mapping[str, list[Wanted]]) -> None:
        """Lets returning teams start level: idle time earns no credit."""
        waiting = [
            self._served[team] for team in queues if team in self._served
        ]
        floor = min(waiting, default=0.0)
        self._served = {
            team: max(self._served.get(team, floor), floor)
            for team in {*queues, *self._served}
        }

    def _fill(self, now: float) -> None:
        if now > self._filled_at:
            gained = (now - self._filled_at) * self.limits.loads_per_s
            # Planning steps are apart, so a fast store needs more than one.
            burst = max(RATE_BURST, self.limits.loads_per_s * _STEP_S)
            self._tokens = min(burst, self._tokens + gained)
            self._filled_at = now


def _urgency(item: Wanted) -> tuple[float, str, str]:
    return item.deadline, item.model, item.adapter
