"""Choice of the target for a request."""

import collections
from collections.abc import Callable, Collection, Iterable, Sequence
import dataclasses
import random

from monsoonhinge.gateway import prefixes
from monsoonhinge.protocol import messages

# Weights of the score; load counts 1 for a replica at its concurrency limit.
_CACHED_BONUS = 0.25
_OTHER_ZONE_PENALTY = 0.05

_MAX_ENDED = 1024


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request of this gateway at a target.

    Attributes:
        target: Target that runs it.
        name: Model or service that it uses.
        started_at: When it was sent, in seconds.
    """

    target: str
    name: str
    started_at: float


@dataclasses.dataclass(slots=True)
class _Ended:
    started_at: float
    ended_at: float


class _Load:
    """Load of one model or service at one target."""

    def __init__(self) -> None:
        self.reported = 0
        self.own_reported = 0
        self.open: set[Run] = set()
        self._reported_at = float("-inf")
        self._started_since = 0
        self._ended_since = 0
        self._ended: collections.deque[_Ended] = collections.deque(
            maxlen=_MAX_ENDED
        )

    def report(self, reported: int, made_at: float) -> None:
        """Takes a report and corrects it for what happened since."""
        self.reported = reported
        self._reported_at = made_at
        while self._ended and self._ended[0].ended_at <= made_at:
            self._ended.popleft()
        self._started_since = sum(r.started_at > made_at for r in self.open)
        self._ended_since = sum(e.started_at <= made_at for e in self._ended)
        self.own_reported = (
            len(self.open) - self._started_since + self._ended_since
        )

    def start(self, run: Run) -> None:
        self.open.add(run)
        self._started_since += run.started_at > self._reported_at

    def end(self, run: Run, now: float) -> None:
        self.open.discard(run)
        self._ended.append(_Ended(run.started_at, now))
        if run.started_at > self._reported_at:
            self._started_since -= 1
        else:
            self._ended_since += 1

    def estimate(self) -> int:
        """Returns the requests that probably run or wait there now."""
        corrected = self.reported + self._started_since - self._ended_since
        return max(len(self.open), corrected)

    def expected(self, share: float) -> float:
        """Returns the load if all gateways acted as this one did.

        Args:
            share: Part of the reported load that is this gateway's.
        """
        change = (self._started_since - self._ended_since) / share
        return max(float(len(self.open)), self.reported + change)


class _Target:
    """What is known of one target."""

    def __init__(self, state: messages.TargetState) -> None:
        self.name = state.target
        self.state = state
        self.cache = prefixes.Cache()
        self.loads: dict[str, _Load] = {}

    def load(self, name: str) -> _Load:
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = _Load()
        return load


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of a target.

    Attributes:
        name: Model or service.
        service: Whether ``name`` is a plain service.
        adapter: Adapter that must be loaded, or "".
        max_concurrency: Most requests at a time on a replica.
        prefixes: Names of the prompt's prefixes, the shortest first.
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
    """Chooses targets by score.

    Attributes:
        availability_zone: Zone of this gateway.
        rng: Source of the choice between the best two.
    """

    def __init__(self, *, availability_zone: str, rng: random.Random) -> None:
        self.availability_zone = availability_zone
        self.rng = rng
        self._targets: dict[str, _Target] = {}
        self._by_name: dict[str, set[str]] = {}

    def update(self, state: messages.TargetState, now: float) -> set[str]:
        """Takes an announcement; returns the models and services it offers.

        Args:
            state: The announcement, newer than all before it.
            now: Current time in seconds.
        """
        target = self._targets.get(state.target)
        if target is None or target.state.incarnation != state.incarnation:
            self.remove(state.target)
            target = self._targets[state.target] = _Target(state)
        before = _names(target.state)
        target.state = state
        after = _names(state)
        for name in before - after:
            self._forget_name(name, state.target)
        for name in after:
            self._by_name.setdefault(name, set()).add(state.target)
        target.cache.update(state.cache_batch, state.cache_events)
        made_at = now - state.age_ms / 1000
        reported: collections.Counter[str] = collections.Counter()
        for replica in state.replicas:
            reported[replica.model] += replica.running + replica.waiting
        for name in after:
            target.load(name).report(reported[name], made_at)
        return after

    def remove(self, name: str) -> None:
        """Forgets a target that expired or left."""
        target = self._targets.pop(name, None)
        if target is not None:
            for offered in _names(target.state):
                self._forget_name(offered, name)

    def pick(self, need: Need, *, exclude: Exclude = _exclude_none) -> str:
        """Returns the target for a request, or "" if none has room.

        Args:
            need: What the request needs.
            exclude: Returns which of the targets that could serve the request
                must not get it.
        """
        able = self._able(need)
        excluded = set(exclude([target.name for target, _ in able]))
        share = self._share([target for target, _ in able], need.name)
        scored = sorted(
            (self._score(target, need, capacity, share), target.name)
            for target, capacity in able
            if target.name not in excluded
            and target.load(need.name).estimate() < capacity
        )[:2]
        if len(scored) < 2:
            return scored[0][1] if scored else ""
        # Gateways that see the same loads would all choose the same target.
        # The second best is chosen as often as the best when they are equal,
        # and more rarely the worse it is.
        lowest = min(0.0, scored[0][0])
        best, second = (score - lowest + 0.01 for score, _ in scored)
        return scored[self.rng.random() < 0.5 * best / second][1]

    def room(self, need: Need, *, exclude: Exclude = _exclude_none) -> bool:
        """Returns whether ``pick`` would find a target."""
        able = self._able(need)
        excluded = exclude([target.name for target, _ in able])
        return any(
            target.name not in excluded
            and target.load(need.name).estimate() < capacity
            for target, capacity in able
        )

    def able(self, need: Need) -> bool:
        """Returns whether some target offers what a request needs."""
        return any(
            self._capacity(self._targets[name], need)
            for name in self._by_name.get(need.name, ())
        )

    def start(self, target: str, name: str, now: float) -> Run:
        """Notes that a request is sent to a target."""
        run = Run(target=target, name=name, started_at=now)
        self._targets[target].load(name).start(run)
        return run

    def end(self, run: Run, now: float) -> None:
        """Notes that a request has ended."""
        target = self._targets.get(run.target)
        if target is not None and run in target.load(run.name).open:
            target.load(run.name).end(run, now)

    def address(self, target: str) -> str:
        """Returns the address of a known target."""
        return self._targets[target].state.address

    def loads(self) -> dict[str, dict[str, int]]:
        """Returns the estimated load by target and name, for the dump."""
        return {
            name: {key: load.estimate() for key, load in target.loads.items()}
            for name, target in self._targets.items()
        }

    def _able(self, need: Need) -> list[tuple[_Target, int]]:
        return [
            (target, capacity)
            for name in sorted(self._by_name.get(need.name, ()))
            if (capacity := self._capacity(target := self._targets[name], need))
        ]

    def _capacity(self, target: _Target, need: Need) -> int:
        state = target.state
        if state.leaving:
            return 0
        if need.service:
            usable = need.name in state.services
            return need.max_concurrency if usable else 0
        return need.max_concurrency * sum(
            (replica.model, replica.state) == (need.name, "loaded")
            and (not need.adapter or need.adapter in replica.adapters)
            for replica in state.replicas
        )

    def _share(self, targets: Iterable[_Target], needed: str) -> float:
        loads = [target.load(needed) for target in targets]
        reported = sum(load.reported for load in loads)
        own = sum(load.own_reported for load in loads)
        return min(1.0, (own + 1) / (reported + 1))

    def _score(
        self, target: _Target, need: Need, capacity: int, share: float
    ) -> float:
        # The other gateways see the same report and probably send their share
        # to the same targets before the next one.
        score = target.load(need.name).expected(share) / capacity
        score -= _CACHED_BONUS * target.cache.matched(need.prefixes)
        if target.state.availability_zone != self.availability_zone:
            score += _OTHER_ZONE_PENALTY
        return score

    def _forget_name(self, name: str, target: str) -> None:
        known = self._by_name.get(name)
        if known is not None:
            known.discard(target)
            if not known:
                del self._by_name[name]


def _names(state: messages.TargetState) -> set[str]:
    offered: Iterable[str] = (replica.model for replica in state.replicas)
    return {*offered, *state.services}
