"""How long idle replicas stay and when to load them ahead of a call."""

from collections.abc import Iterator, Set
import dataclasses
import math
import typing

from monsoonhinge.config import schema

# Bounds how often two models can displace each other.
RESIDENCE_LOADS = 4.0

_SHORTEST_GAP_S = 0.5
_BUCKET_RATIO = 1.25
_BUCKETS = 48
_EDGES = [_SHORTEST_GAP_S * _BUCKET_RATIO**i for i in range(_BUCKETS)]
_MIDDLES = [edge * _BUCKET_RATIO**0.5 for edge in _EDGES]

# Older gaps fade, so that a model which changes its habit is learned anew.
_DECAY = 0.97

# Memory use from which an idle replica costs more, up to twice as much.
_SCARCE_FROM = 0.8

# Weight of all models' gaps in the estimate for a model with few calls.
_PRIOR_GAPS = 1.0

# Share of the gaps that pre-warming may miss on each side.
_MISSED_SHARE = 0.05
_PREWARM_GAPS = 3.0

# Span over which the chance of a call counts against an eviction.
_EVICTION_HORIZON_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to do with a model between two calls.

    Attributes:
        keep_s: Seconds after the last call until an idle replica is unloaded.
        warm_from_s: Seconds after the last call at which it is loaded again;
            infinite when the next call cannot be predicted.
        warm_until_s: Seconds after the last call until the warmed replica
            stays.
    """

    keep_s: float
    warm_from_s: float = math.inf
    warm_until_s: float = math.inf


class _Gaps:
    """Decayed histogram of the gaps between calls of one model."""

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.total = 0.0

    def add(self, gap_s: float) -> None:
        """Adds a gap and fades the older ones."""
        self.counts = [count * _DECAY for count in self.counts]
        self.counts[_bucket(gap_s)] += 1.0
        self.total = self.total * _DECAY + 1.0


@dataclasses.dataclass(slots=True)
class _Model:
    gaps: _Gaps = dataclasses.field(default_factory=_Gaps)
    idle_since: float | None = None
    plan: Plan | None = None
    planned_for: tuple[float, float, schema.Policy] | None = None


class Retention(typing.Protocol):
    """Decides how long idle replicas stay."""

    def update(self, active: Set[str], now: float) -> None:
        """Learns which models have requests waiting or running."""

    def idle_since(self, model: str) -> float | None:
        """Returns when the model was last in use, or None if never."""

    def plan(self, model: str, *, load_s: float, pressure: float) -> Plan:
        """Returns what to do with the model until its next call.

        Args:
            model: Model name.
            load_s: Expected load time in seconds.
            pressure: Share of the fleet's memory that is reserved, 0 to 1.
        """

    def residence_s(self, load_s: float) -> float:
        """Returns how long a loaded replica cannot be displaced."""

    def eviction_cost(self, model: str, *, load_s: float, now: float) -> float:
        """Returns the expected cost of unloading an idle replica now."""


class KeepAlive:
    """Learns gaps between calls per model and weighs costs.

    Attributes:
        policy: Operator's weights and bounds.
    """

    def __init__(self, policy: schema.Policy) -> None:
        self.policy = policy
        self._models: dict[str, _Model] = {}
        self._all = _Gaps()
        self._active: set[str] = set()

    def update(self, active: Set[str], now: float) -> None:
        """See Retention."""
        for model in active - self._active:
            known = self._models.setdefault(model, _Model())
            if known.idle_since is not None:
                gap = now - known.idle_since
                if gap >= _SHORTEST_GAP_S:
                    known.gaps.add(gap)
                    self._all.add(gap)
                    known.plan = None
        for model in self._active | active:
            self._models[model].idle_since = now
        self._active = set(active)

    def idle_since(self, model: str) -> float | None:
        """See Retention."""
        known = self._models.get(model)
        return known.idle_since if known else None

    def plan(self, model: str, *, load_s: float, pressure: float) -> Plan:
        """Returns the plan with the lowest expected cost."""
        known = self._models.setdefault(model, _Model())
        # Rounded so that small changes do not cause a new search.
        inputs = (round(load_s, 1), round(pressure, 1), self.policy)
        if known.plan is None or known.planned_for != inputs:
            known.plan = self._search(known, *inputs[:2])
            known.planned_for = inputs
        return known.plan

    def residence_s(self, load_s: float) -> float:
        """See Retention."""
        return max(self.policy.min_keep_s, RESIDENCE_LOADS * load_s)

    def eviction_cost(self, model: str, *, load_s: float, now: float) -> float:
        """See Retention; the cost is the load weighed by a call's chance."""
        known = self._models.setdefault(model, _Model())
        idle_s = 0.0 if known.idle_since is None else now - known.idle_since
        shares = self._shares(known)
        first = _bucket(idle_s)
        last = _bucket(idle_s + _EVICTION_HORIZON_S)
        later = sum(shares[first:])
        chance = sum(shares[first : last + 1]) / later if later > 0 else 0.0
        return self.policy.cold_start_weight * load_s * chance

    def _shares(self, known: _Model) -> list[float]:
        total = known.gaps.total + _PRIOR_GAPS
        prior_total = self._all.total + 1.0
        return [
            (own + _PRIOR_GAPS * (shared + 1.0 / _BUCKETS) / prior_total)
            / total
            for own, shared in zip(
                known.gaps.counts, self._all.counts, strict=True
            )
        ]

    def _search(self, known: _Model, load_s: float, pressure: float) -> Plan:
        policy = self.policy
        shares = self._shares(known)
        cold = policy.cold_start_weight * load_s
        scarcity = max(0.0, pressure - _SCARCE_FROM) / (1.0 - _SCARCE_FROM)
        idle = policy.idle_weight * (1.0 + scarcity)
        lowest, highest = policy.min_keep_s, policy.max_keep_s
        best = Plan(keep_s=lowest)
        best_cost = math.inf
        for keep_s, held_s, missed in _keep_choices(shares, lowest, highest):
            cost = idle * held_s + cold * missed
            if cost < best_cost - 1e-9:
                best, best_cost = Plan(keep_s=keep_s), cost
        if known.gaps.total >= _PREWARM_GAPS:
            warm = _warm_plan(known.gaps, lowest, load_s)
            if warm is not None and (
                _warm_cost(shares, warm, idle=idle, cold=cold) < best_cost
            ):
                return warm
        return best


def _bucket(gap_s: float) -> int:
    if gap_s <= _SHORTEST_GAP_S:
        return 0
    index = math.log(gap_s / _SHORTEST_GAP_S, _BUCKET_RATIO)
    return min(_BUCKETS - 1, int(index))


def _keep_choices(
    shares: list[float], lowest: float, highest: float
) -> Iterator[tuple[float, float, float]]:
    """Yields keep times, the expected time held and the share missed."""
    choices = sorted({lowest, highest, *_EDGES})
    index = 0
    returned_s = 0.0
    missed = sum(shares)
    for keep_s in choices:
        while index < _BUCKETS and _MIDDLES[index] <= keep_s:
            returned_s += shares[index] * _MIDDLES[index]
            missed -= shares[index]
            index += 1
        if lowest <= keep_s <= highest:
            yield keep_s, returned_s + missed * keep_s, missed


def _warm_cost(
    shares: list[float], plan: Plan, *, idle: float, cold: float
) -> float:
    cost = 0.0
    for share, gap in zip(shares, _MIDDLES, strict=True):
        held = min(gap, plan.keep_s) + max(
            0.0, min(gap, plan.warm_until_s) - plan.warm_from_s
        )
        missed = plan.keep_s < gap < plan.warm_from_s or gap > plan.warm_until_s
        cost += share * (idle * held + cold * missed)
    return cost


def _warm_plan(gaps: _Gaps, keep_s: float, load_s: float) -> Plan | None:
    """Returns a plan that loads the model again before the likely next call."""
    low = high = None
    seen = 0.0
    for index, count in enumerate(gaps.counts):
        seen += count
        if low is None and seen >= _MISSED_SHARE * gaps.total:
            low = _EDGES[index]
        if high is None and seen >= (1 - _MISSED_SHARE) * gaps.total:
            high = _EDGES[index] * _BUCKET_RATIO
    if low is None or high is None or low - load_s <= keep_s:
        return None
    return Plan(keep_s=keep_s, warm_from_s=low - load_s, warm_until_s=high)
