"""Selection of a target for each request, by load, cache and zone."""

import collections
from collections.abc import Callable, Collection, Iterable, Sequence
import dataclasses
import random

from monsoonhinge.gateway import prefix_cache
from monsoonhinge.protocol import messages

# Weights of the score, relative to a load of 1 at the concurrency limit.
_CACHED_BONUS = 0.25
_OTHER_ZONE_PENALTY = 0.05

_MAX_FINISHED = 1024


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request of this gateway that runs or waits at a target.

    Attributes:
        target: Target that it was sent to.
        name: Model or service that it uses.
        started_at: Time at which it was sent, in seconds.
    """

    target: str
    name: str
    started_at: float


@dataclasses.dataclass(slots=True)
class _FinishedRequest:
    started_at: float
    ended_at: float


class _Load:
    """Load of one model or service at one target, corrected between reports.

    Attributes:
        reported: Requests that run or wait there, by the latest report.
        own_reported: Those of them that this gateway sent.
        in_flight: Requests that this gateway sent and that have not ended.
    """

    def __init__(self) -> None:
        self.reported = 0
        self.own_reported = 0
        self.in_flight: set[InFlightRequest] = set()
        self._reported_at = float("-inf")
        self._started_since = 0
        self._finished_since = 0
        self._finished: collections.deque[_FinishedRequest] = collections.deque(
            maxlen=_MAX_FINISHED
        )

    def report(self, reported: int, measured_at: float) -> None:
        """Applies a report and corrects it by later starts and ends.

        Args:
            reported: Requests running or waiting at the target.
            measured_at: Time at which the target counted them.
        """
        self.reported = reported
        self._reported_at = measured_at
        while self._finished and self._finished[0].ended_at <= measured_at:
            self._finished.popleft()
        self._started_since = sum(
            r.started_at > measured_at for r in self.in_flight
        )
        self._finished_since = sum(
            r.started_at <= measured_at for r in self._finished
        )
        self.own_reported = (
            len(self.in_flight) - self._started_since + self._finished_since
        )

    def start(self, request: InFlightRequest) -> None:
        self.in_flight.add(request)
        self._started_since += request.started_at > self._reported_at

    def end(self, request: InFlightRequest, now: float) -> None:
        self.in_flight.discard(request)
        self._finished.append(_FinishedRequest(request.started_at, now))
        if request.started_at > self._reported_at:
            self._started_since -= 1
        else:
            self._finished_since += 1

    def estimate(self) -> int:
        """Returns the estimated number of requests there now."""
        corrected = self.reported + self._started_since - self._finished_since
        return max(len(self.in_flight), corrected)

    def projected(self, share: float) -> float:
        """Returns the load if all gateways changed theirs as this one did.

        Args:
            share: Fraction of the reported load that this gateway caused.
        """
        own_change = (self._started_since - self._finished_since) / share
        return max(float(len(self.in_flight)), self.reported + own_change)


class _Target:
    """State, cached prefixes and load of one target."""

    def __init__(self, state: messages.TargetState) -> None:
        self.name = state.target
        self.state = state
        self.cache = prefix_cache.PrefixCache()
        self.loads: dict[str, _Load] = {}

    def load(self, name: str) -> _Load:
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = _Load()
        return load


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a target.

    Attributes:
        name: Model or service.
        service: Whether ``name`` is a plain service.
        adapter: Adapter that must be loaded, or "".
        max_concurrency: Concurrency limit of a replica.
        prefixes: Hashes of the prompt's prefixes, the shortest first.
    """

    name: str
    service: bool = False
    adapter: str = ""
    max_concurrency: int = 16
    prefixes: Sequence[int] = ()


Exclude = Callable[[Collection[str]], Collection[str]]


def _exclude_none(names: Collection[str]) -> Collection[str]:
    return ()


class Router:
    """Selects targets by score.

    Attributes:
        availability_zone: Zone of this gateway; targets in it are preferred.
        rng: Random choice between the best two targets.
    """

    def __init__(self, *, availability_zone: str, rng: random.Random) -> None:
        self.availability_zone = availability_zone
        self.rng = rng
        self._targets: dict[str, _Target] = {}
        self._by_name: dict[str, set[str]] = {}

    def update(self, state: messages.TargetState, now: float) -> set[str]:
        """Applies an announcement; returns the models and services offered.

        Args:
            state: Announcement that is newer than all earlier ones.
            now: Current time in seconds.
        """
        target = self._targets.get(state.target)
        if target is None or target.state.incarnation != state.incarnation:
            self.remove(state.target)
            target = self._targets[state.target] = _Target(state)
        before = _offered_names(target.state)
        target.state = state
        after = _offered_names(state)
        for name in before - after:
            self._remove_name(name, state.target)
        for name in after:
            self._by_name.setdefault(name, set()).add(state.target)
        target.cache.update(state.cache_batch, state.cache_events)
        measured_at = now - state.age_ms / 1000
        reported: collections.Counter[str] = collections.Counter()
        for replica in state.replicas:
            reported[replica.model] += replica.running + replica.waiting
        for name in after:
            target.load(name).report(reported[name], measured_at)
        return after

    def remove(self, name: str) -> None:
        """Removes a target, with its load and cached prefixes."""
        target = self._targets.pop(name, None)
        if target is not None:
            for offered in _offered_names(target.state):
                self._remove_name(offered, name)

    def choose(
        self, requirements: Requirements, *, exclude: Exclude = _exclude_none
    ) -> str:
        """Returns the target for a request, or "" if none has capacity.

        Args:
            requirements: What the request requires of the target.
            exclude: Called with the targets that could serve the request;
                returns those that must not get it.
        """
        candidates = self._candidates(requirements)
        excluded = set(exclude([target.name for target, _ in candidates]))
        share = self._own_share(
            [target for target, _ in candidates], requirements.name
        )
        scored = sorted(
            (self._score(target, requirements, capacity, share), target.name)
            for target, capacity in candidates
            if target.name not in excluded
            and target.load(requirements.name).estimate() < capacity
        )[:2]
        if len(scored) < 2:
            return scored[0][1] if scored else ""
        # Gateways that see the same loads would all choose the same target.
        # Two equal targets are chosen equally often; the worse the second
        # one is, the less often it is chosen.
        lowest = min(0.0, scored[0][0])
        best, second = (score - lowest + 0.01 for score, _ in scored)
        return scored[self.rng.random() < 0.5 * best / second][1]

    def has_capacity(
        self, requirements: Requirements, *, exclude: Exclude = _exclude_none
    ) -> bool:
        """Returns whether ``choose`` would return a target."""
        candidates = self._candidates(requirements)
        excluded = exclude([target.name for target, _ in candidates])
        return any(
            target.name not in excluded
            and target.load(requirements.name).estimate() < capacity
            for target, capacity in candidates
        )

    def targets_of(self, requirements: Requirements) -> list[str]:
        """Returns the targets that offer what a request requires."""
        return [target.name for target, _ in self._candidates(requirements)]

    def has_target(self, requirements: Requirements) -> bool:
        """Returns whether any target offers what a request requires."""
        return any(
            self._capacity(self._targets[name], requirements)
            for name in self._by_name.get(requirements.name, ())
        )

    def start(self, target: str, name: str, now: float) -> InFlightRequest:
        """Records that a request is sent to a target; see ``end``."""
        request = InFlightRequest(target=target, name=name, started_at=now)
        self._targets[target].load(name).start(request)
        return request

    def end(self, request: InFlightRequest, now: float) -> None:
        """Records that a request has ended; repeated calls are ignored."""
        target = self._targets.get(request.target)
        if (
            target is not None
            and request in target.load(request.name).in_flight
        ):
            target.load(request.name).end(request, now)

    def address(self, target: str) -> str:
        """Returns the address of a known target."""
        return self._targets[target].state.address

    def loads(self) -> dict[str, dict[str, int]]:
        """Returns the estimated load by target and name, for operators."""
        return {
            name: {key: load.estimate() for key, load in target.loads.items()}
            for name, target in self._targets.items()
        }

    def _candidates(
        self, requirements: Requirements
    ) -> list[tuple[_Target, int]]:
        return [
            (target, capacity)
            for name in sorted(self._by_name.get(requirements.name, ()))
            if (
                capacity := self._capacity(
                    target := self._targets[name], requirements
                )
            )
        ]

    def _capacity(self, target: _Target, requirements: Requirements) -> int:
        state = target.state
        if state.leaving:
            return 0
        if requirements.service:
            usable = requirements.name in state.services
            return requirements.max_concurrency if usable else 0
        return requirements.max_concurrency * sum(
            (replica.model, replica.state) == (requirements.name, "loaded")
            and (
                not requirements.adapter
                or requirements.adapter in replica.adapters
            )
            for replica in state.replicas
        )

    def _own_share(self, targets: Iterable[_Target], name: str) -> float:
        loads = [target.load(name) for target in targets]
        reported = sum(load.reported for load in loads)
        own = sum(load.own_reported for load in loads)
        return min(1.0, (own + 1) / (reported + 1))

    def _score(
        self,
        target: _Target,
        requirements: Requirements,
        capacity: int,
        share: float,
    ) -> float:
        # The other gateways see the same report and probably send their share
        # to the same targets before the next report.
        score = target.load(requirements.name).projected(share) / capacity
        score -= _CACHED_BONUS * target.cache.cached_fraction(
            requirements.prefixes
        )
        if target.state.availability_zone != self.availability_zone:
            score += _OTHER_ZONE_PENALTY
        return score

    def _remove_name(self, name: str, target: str) -> None:
        known = self._by_name.get(name)
        if known is not None:
            known.discard(target)
            if not known:
                del self._by_name[name]


def _offered_names(state: messages.TargetState) -> set[str]:
    offered: Iterable[str] = (replica.model for replica in state.replicas)
    return {*offered, *state.services}
