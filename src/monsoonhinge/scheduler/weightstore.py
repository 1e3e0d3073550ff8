"""Weight store: load limits, fair order and learned load times."""

from collections.abc import Iterable, Mapping
import dataclasses
import heapq
import statistics

from monsoonhinge.config import schema

# Load starts that may accumulate. A larger burst would exceed the rate in the
# first second after an idle period.
LOAD_BURST = 1.0

# Weighted loads by which a team may be ahead of the least served waiting team.
MAX_TEAM_LEAD_LOADS = 2.0

# Load time from each tier as a fraction of the nominal load time, which is that
# from the store.
INITIAL_LOAD_TIME_FACTORS = {"remote": 1.0, "disk": 0.4, "memory": 0.1}

_FACTOR_SMOOTHING = 0.3

# Upper bound of the estimate while loads hang, as a multiple of the learned
# load time.
_MAX_STALL_FACTOR = 20.0
_EPSILON = 1e-9
_PLANNING_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """A load that waits to be started.

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
class _ActiveLoad:
    started_at: float
    nominal_s: float
    tier: str


class WeightStore:
    """Decides when loads may start.

    Attributes:
        limits: Limits from the configuration.
        active_loads: Model loads in progress, by decision id.
        active_adapter_loads: Decision ids of the adapter loads in progress.
        load_time_factors: Learned ratio of actual to nominal load time, by
            tier.
    """

    def __init__(self, limits: schema.Store, *, now: float) -> None:
        self.limits = limits
        self.active_loads: dict[str, _ActiveLoad] = {}
        self.active_adapter_loads: set[str] = set()
        self.load_time_factors = dict(INITIAL_LOAD_TIME_FACTORS)
        # A new lease holder does not know when the last load started, so it
        # starts without tokens.
        self._load_tokens = 0.0
        self._refilled_at = now
        self._served_loads: dict[str, float] = {}
        self._weights: Mapping[str, float] = {}

    def configure(
        self, limits: schema.Store, weights: Mapping[str, float]
    ) -> None:
        """Applies new limits and team weights."""
        self.limits = limits
        self._weights = weights

    def may_load(self, now: float) -> bool:
        """Returns whether a load from the store may start now."""
        self._refill(now)
        return self._load_tokens >= 1.0 - _EPSILON and self.free_slots() > 0

    def free_slots(self) -> int:
        """Returns how many more loads from the store may run concurrently."""
        used = sum(load.tier == "remote" for load in self.active_loads.values())
        return self.limits.concurrent_loads - used

    def may_load_adapter(self) -> bool:
        """Returns whether an adapter load may start now."""
        return (
            len(self.active_adapter_loads)
            < self.limits.concurrent_adapter_loads
        )

    def record_start(
        self, load_id: str, *, nominal_s: float, tier: str, now: float
    ) -> None:
        """Records the start of a model load.

        Loads from local tiers do not use the store and do not count towards
        its limits.
        """
        self._refill(now)
        if tier == "remote":
            self._load_tokens -= 1.0
        self.active_loads[load_id] = _ActiveLoad(now, nominal_s, tier)

    def record_adapter_start(self, load_id: str) -> None:
        """Records an adapter load that starts, or one that is in progress."""
        self.active_adapter_loads.add(load_id)

    def restore(self, load_id: str, *, nominal_s: float, now: float) -> None:
        """Records a model load that is already in progress.

        Its start time and tier are unknown: it counts as started now and from
        the store.
        """
        self.active_loads[load_id] = _ActiveLoad(now, nominal_s, "remote")

    def record_finish(self, load_id: str, *, loaded: bool, now: float) -> None:
        """Removes a load and, if it succeeded, learns from its duration."""
        self.active_adapter_loads.discard(load_id)
        load = self.active_loads.pop(load_id, None)
        if load is None or not loaded or load.nominal_s <= 0:
            return
        measured = (now - load.started_at) / load.nominal_s
        self.load_time_factors[load.tier] += _FACTOR_SMOOTHING * (
            measured - self.load_time_factors[load.tier]
        )

    def load_s(self, nominal_s: float, tier: str, now: float) -> float:
        """Returns the expected duration of a load.

        Loads in progress that already take longer than expected raise the
        estimate, so that a stalled store is detected before any load ends. The
        lower median is used because a single load can hang by itself.
        """
        factor = self.load_time_factors[tier]
        elapsed = [
            (now - load.started_at) / load.nominal_s
            for load in self.active_loads.values()
            if load.tier == tier and load.nominal_s > 0
        ]
        if elapsed:
            stalled = statistics.median_low(elapsed)
            factor = max(factor, min(stalled, _MAX_STALL_FACTOR * factor))
        return nominal_s * factor

    def prioritize(self, requests: Iterable[LoadRequest]) -> list[LoadRequest]:
        """Sorts loads by deadline within fair shares of the teams.

        A team whose weighted loads exceed those of the least served waiting
        team by more than ``MAX_TEAM_LEAD_LOADS`` has to wait.
        """
        queues: dict[str, list[LoadRequest]] = {}
        for request in requests:
            queues.setdefault(request.team, []).append(request)
        for queue in queues.values():
            queue.sort(key=_urgency, reverse=True)
        self._reset_returning_teams(queues)
        served = dict(self._served_loads)
        result = []
        while queues:
            floor = min(served[team] for team in queues)
            team = min(
                (
                    team
                    for team in queues
                    if served[team] <= floor + MAX_TEAM_LEAD_LOADS
                ),
                key=lambda team: _urgency(queues[team][-1]),
            )
            result.append(queues[team].pop())
            served[team] += 1.0 / self._weights.get(team, 1.0)
            if not queues[team]:
                del queues[team]
        return result

    def charge_team(self, team: str) -> None:
        """Charges a started load to a team's share of the store."""
        self._served_loads[team] = self._served_loads.get(
            team, 0.0
        ) + 1.0 / self._weights.get(team, 1.0)

    def ready_times(
        self, ordered: Iterable[LoadRequest], now: float
    ) -> list[float]:
        """Estimates the completion time of each load when started in order."""
        self._refill(now)
        slots = []
        for load in self.active_loads.values():
            if load.tier == "remote":
                expected = self.load_s(load.nominal_s, "remote", now)
                slots.append(max(now, load.started_at + expected))
        slots += [now] * (self.limits.concurrent_loads - len(slots))
        heapq.heapify(slots)
        interval = 1.0 / self.limits.loads_per_s
        start = now + max(0.0, 1.0 - self._load_tokens) * interval
        result = []
        for request in ordered:
            begins = max(start, heapq.heappop(slots))
            ends = begins + self.load_s(request.nominal_s, "remote", now)
            heapq.heappush(slots, ends)
            result.append(ends)
            start = begins + interval
        return result

    def _reset_returning_teams(
        self, queues: Mapping[str, list[LoadRequest]]
    ) -> None:
        """Raises the served loads of idle teams to the least of a waiting team.

        A team therefore gets no credit for the time in which it was idle.
        """
        waiting = [
            self._served_loads[team]
            for team in queues
            if team in self._served_loads
        ]
        floor = min(waiting, default=0.0)
        self._served_loads = {
            team: max(self._served_loads.get(team, floor), floor)
            for team in {*queues, *self._served_loads}
        }

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            gained = (now - self._refilled_at) * self.limits.loads_per_s
            # The bucket must hold the starts of one planning interval, or the
            # rate of a fast store would be lost between planning steps.
            burst = max(
                LOAD_BURST, self.limits.loads_per_s * _PLANNING_INTERVAL_S
            )
            self._load_tokens = min(burst, self._load_tokens + gained)
            self._refilled_at = now


def _urgency(request: LoadRequest) -> tuple[float, str, str]:
    return request.deadline, request.model, request.adapter
