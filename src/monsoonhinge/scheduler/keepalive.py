"""Keep-alive policy: how long idle replicas stay and when to prewarm them."""

from collections.abc import Iterator, Set
import dataclasses
import math
import typing

from monsoonhinge.config import schema

# A replica cannot be evicted for this many load times after its load, which
# bounds how often two models can evict each other.
MIN_RESIDENCY_LOADS = 4.0

_MIN_GAP_S = 0.5
_BUCKET_RATIO = 1.25
_BUCKET_COUNT = 48
_BUCKET_EDGES_S = [_MIN_GAP_S * _BUCKET_RATIO**i for i in range(_BUCKET_COUNT)]
_BUCKET_MIDPOINTS_S = [edge * _BUCKET_RATIO**0.5 for edge in _BUCKET_EDGES_S]

# Factor for older gaps per new gap, so that the histogram follows a model whose
# call pattern changes.
_GAP_DECAY = 0.97

# Above this memory pressure the cost of an idle replica rises linearly, up to
# twice the cost at full memory.
_SCARCE_MEMORY_PRESSURE = 0.8

# Weight of the histogram of all models in the estimate for one model, in gaps.
# It dominates for models with few calls.
_PRIOR_WEIGHT_GAPS = 1.0

# Share of the gaps on each side that the prewarm window need not cover.
_PREWARM_TAIL_SHARE = 0.05
# Fewer (decayed) gaps than this are too few to predict the next call.
_MIN_PREWARM_GAPS = 3.0

# An eviction costs the probability of a call within this time.
_EVICTION_HORIZON_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Keep-alive plan of a model between two calls.

    Attributes:
        keep_s: Seconds after the last call until an idle replica is unloaded.
        prewarm_at_s: Seconds after the last call at which the model is loaded
            again; infinite if the next call cannot be predicted.
        prewarm_until_s: Seconds after the last call until which the prewarmed
            replica stays.
    """

    keep_s: float
    prewarm_at_s: float = math.inf
    prewarm_until_s: float = math.inf


class _GapHistogram:
    """Histogram of the gaps between calls; older gaps weigh less."""

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKET_COUNT
        self.total = 0.0

    def add(self, gap_s: float) -> None:
        """Adds a gap and reduces the weight of older ones."""
        self.counts = [count * _GAP_DECAY for count in self.counts]
        self.counts[_bucket_index(gap_s)] += 1.0
        self.total = self.total * _GAP_DECAY + 1.0


@dataclasses.dataclass(slots=True)
class _ModelHistory:
    gaps: _GapHistogram = dataclasses.field(default_factory=_GapHistogram)
    idle_since: float | None = None
    plan: Plan | None = None
    plan_inputs: tuple[float, float, schema.Policy] | None = None


class KeepAlivePolicy(typing.Protocol):
    """Decides how long idle replicas stay and when to prewarm them."""

    def update(self, active: Set[str], now: float) -> None:
        """Updates the set of models with waiting or running requests."""

    def idle_since(self, model: str) -> float | None:
        """Returns when the model was last in use, or None if never."""

    def plan(
        self, model: str, *, load_s: float, memory_pressure: float
    ) -> Plan:
        """Returns the plan of a model until its next call.

        Args:
            model: Model name.
            load_s: Expected load time in seconds.
            memory_pressure: Reserved share of the fleet's memory, 0 to 1.
        """

    def min_residency_s(self, load_s: float) -> float:
        """Returns how long after its load a replica cannot be evicted."""

    def eviction_cost(self, model: str, *, load_s: float, now: float) -> float:
        """Returns the expected cost of evicting an idle replica now."""


class HistogramKeepAlive:
    """Minimizes the expected cost by histograms of the gaps between calls.

    Attributes:
        policy: Cost weights and bounds of the operator.
    """

    def __init__(self, policy: schema.Policy) -> None:
        self.policy = policy
        self._models: dict[str, _ModelHistory] = {}
        self._all_gaps = _GapHistogram()
        self._active: set[str] = set()

    def update(self, active: Set[str], now: float) -> None:
        """See KeepAlivePolicy."""
        for model in active - self._active:
            history = self._models.setdefault(model, _ModelHistory())
            if history.idle_since is not None:
                gap = now - history.idle_since
                if gap >= _MIN_GAP_S:
                    history.gaps.add(gap)
                    self._all_gaps.add(gap)
                    history.plan = None
        for model in self._active | active:
            self._models[model].idle_since = now
        self._active = set(active)

    def idle_since(self, model: str) -> float | None:
        """See KeepAlivePolicy."""
        history = self._models.get(model)
        return history.idle_since if history else None

    def plan(
        self, model: str, *, load_s: float, memory_pressure: float
    ) -> Plan:
        """Returns the plan with the lowest expected cost."""
        history = self._models.setdefault(model, _ModelHistory())
        # Rounded so that small changes do not invalidate the plan.
        inputs = (round(load_s, 1), round(memory_pressure, 1), self.policy)
        if history.plan is None or history.plan_inputs != inputs:
            history.plan = self._cheapest_plan(history, *inputs[:2])
            history.plan_inputs = inputs
        return history.plan

    def min_residency_s(self, load_s: float) -> float:
        """See KeepAlivePolicy."""
        return max(self.policy.min_keep_s, MIN_RESIDENCY_LOADS * load_s)

    def eviction_cost(self, model: str, *, load_s: float, now: float) -> float:
        """See KeepAlivePolicy.

        The cost is that of a cold start times the probability of a call.
        """
        history = self._models.setdefault(model, _ModelHistory())
        idle_s = 0.0 if history.idle_since is None else now - history.idle_since
        probabilities = self._gap_probabilities(history)
        first = _bucket_index(idle_s)
        last = _bucket_index(idle_s + _EVICTION_HORIZON_S)
        remaining = sum(probabilities[first:])
        probability = (
            sum(probabilities[first : last + 1]) / remaining
            if remaining > 0
            else 0.0
        )
        return self.policy.cold_start_weight * load_s * probability

    def _gap_probabilities(self, history: _ModelHistory) -> list[float]:
        total = history.gaps.total + _PRIOR_WEIGHT_GAPS
        prior_total = self._all_gaps.total + 1.0
        return [
            (
                own
                + _PRIOR_WEIGHT_GAPS
                * (shared + 1.0 / _BUCKET_COUNT)
                / prior_total
            )
            / total
            for own, shared in zip(
                history.gaps.counts, self._all_gaps.counts, strict=True
            )
        ]

    def _cheapest_plan(
        self, history: _ModelHistory, load_s: float, memory_pressure: float
    ) -> Plan:
        policy = self.policy
        probabilities = self._gap_probabilities(history)
        cold_start_cost = policy.cold_start_weight * load_s
        scarcity = max(0.0, memory_pressure - _SCARCE_MEMORY_PRESSURE) / (
            1.0 - _SCARCE_MEMORY_PRESSURE
        )
        idle_cost = policy.idle_weight * (1.0 + scarcity)
        min_keep_s, max_keep_s = policy.min_keep_s, policy.max_keep_s
        best = Plan(keep_s=min_keep_s)
        best_cost = math.inf
        for keep_s, idle_s, cold_start_rate in _keep_candidates(
            probabilities, min_keep_s, max_keep_s
        ):
            cost = idle_cost * idle_s + cold_start_cost * cold_start_rate
            if cost < best_cost - 1e-9:
                best, best_cost = Plan(keep_s=keep_s), cost
        if history.gaps.total >= _MIN_PREWARM_GAPS:
            prewarm = _prewarm_plan(history.gaps, min_keep_s, load_s)
            if prewarm is not None and (
                _prewarm_cost(
                    probabilities,
                    prewarm,
                    idle_cost=idle_cost,
                    cold_start_cost=cold_start_cost,
                )
                < best_cost
            ):
                return prewarm
        return best


def _bucket_index(gap_s: float) -> int:
    if gap_s <= _MIN_GAP_S:
        return 0
    index = math.log(gap_s / _MIN_GAP_S, _BUCKET_RATIO)
    return min(_BUCKET_COUNT - 1, int(index))


def _keep_candidates(
    probabilities: list[float], min_keep_s: float, max_keep_s: float
) -> Iterator[tuple[float, float, float]]:
    """Yields keep times with their expected idle time and cold start rate.

    Yields:
        The keep time, the expected idle time and the probability of a cold
        start.
    """
    candidates = sorted({min_keep_s, max_keep_s, *_BUCKET_EDGES_S})
    index = 0
    idle_before_call_s = 0.0
    cold_start_rate = sum(probabilities)
    for keep_s in candidates:
        while index < _BUCKET_COUNT and _BUCKET_MIDPOINTS_S[index] <= keep_s:
            idle_before_call_s += (
                probabilities[index] * _BUCKET_MIDPOINTS_S[index]
            )
            cold_start_rate -= probabilities[index]
            index += 1
        if min_keep_s <= keep_s <= max_keep_s:
            yield (
                keep_s,
                idle_before_call_s + cold_start_rate * keep_s,
                cold_start_rate,
            )


def _prewarm_cost(
    probabilities: list[float],
    plan: Plan,
    *,
    idle_cost: float,
    cold_start_cost: float,
) -> float:
    cost = 0.0
    for probability, gap in zip(
        probabilities, _BUCKET_MIDPOINTS_S, strict=True
    ):
        idle_s = min(gap, plan.keep_s) + max(
            0.0, min(gap, plan.prewarm_until_s) - plan.prewarm_at_s
        )
        is_cold_start = (
            plan.keep_s < gap < plan.prewarm_at_s or gap > plan.prewarm_until_s
        )
        cost += probability * (
            idle_cost * idle_s + cold_start_cost * is_cold_start
        )
    return cost


def _prewarm_plan(
    gaps: _GapHistogram, keep_s: float, load_s: float
) -> Plan | None:
    """Returns a plan that loads the model before the predicted next call."""
    earliest_s = latest_s = None
    cumulative = 0.0
    for index, count in enumerate(gaps.counts):
        cumulative += count
        if (
            earliest_s is None
            and cumulative >= _PREWARM_TAIL_SHARE * gaps.total
        ):
            earliest_s = _BUCKET_EDGES_S[index]
        if (
            latest_s is None
            and cumulative >= (1 - _PREWARM_TAIL_SHARE) * gaps.total
        ):
            latest_s = _BUCKET_EDGES_S[index] * _BUCKET_RATIO
    if earliest_s is None or latest_s is None or earliest_s - load_s <= keep_s:
        return None
    return Plan(
        keep_s=keep_s,
        prewarm_at_s=earliest_s - load_s,
        prewarm_until_s=latest_s,
    )
