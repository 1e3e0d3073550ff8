"""Compares routing policies by replaying requests against late reports.

Several gateways send requests to the same replicas. Each replica runs a
bounded number at once, queues the rest, and reports its load and its cache
events with a lag. A cached prompt prefix shortens a run. The replay uses
simulated time, so its figures do not depend on the machine.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from monsoonhinge.gateway import routing
from monsoonhinge.protocol import messages
from monsoonhinge.targets import prefixes

_MODEL = "assistant"
_GATEWAYS = 8
_REPLICAS = 16
_SLOTS = 8
_CACHE_PROMPTS = 12
_PROMPTS = 100
_REQUESTS = 20_000
_REPORT_INTERVAL_S = 1.0
_REPORT_LAG_S = 0.2
_PREFILL_S = 0.4
_DECODE_S = 0.6
_SEED = 7


@dataclasses.dataclass(slots=True)
class _Request:
    arrived_at: float
    prompt: int
    decode_s: float
    gateway: int
    run: routing.InFlightRequest | None = None


class _Replica:
    """A simulated replica.

    Attributes:
        name: Its name.
        running: Requests that run.
        queue: Requests that wait for a slot.
        cache: Prompts in the cache, the least recently used first.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.queue: collections.deque[_Request] = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: list[messages.CacheEvent] = []
        self.batch = 0

    def touch(self, prompt: int) -> bool:
        """Uses a prompt's prefix; returns whether it was cached."""
        hit = prompt in self.cache
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        if not hit:
            self.events.append(messages.CacheEvent(_prefix(prompt)[0], True))
        if len(self.cache) > _CACHE_PROMPTS:
            gone, _ = self.cache.popitem(last=False)
            self.events.append(messages.CacheEvent(_prefix(gone)[0], False))
        return hit

    def report(self, sequence: int) -> messages.TargetState:
        """Returns the announcement of the current state."""
        self.batch += 1
        events, self.events = self.events, []
        return messages.TargetState(
            target=self.name,
            incarnation=1,
            sequence=sequence,
            availability_zone="zone-1",
            age_ms=int(_REPORT_LAG_S * 1000),
            replicas=[
                messages.ReplicaState(
                    model=_MODEL,
                    state="loaded",
                    running=self.running,
                    waiting=len(self.queue),
                )
            ],
            cache_batch=self.batch,
            cache_events=events,
        )


@dataclasses.dataclass(slots=True)
class _Gateway:
    """What one gateway knows."""

    router: routing.Router
    reported: dict[str, int] = dataclasses.field(default_factory=dict)


Policy = Callable[[_Gateway, _Request, random.Random], str]


def _random(gateway: _Gateway, request: _Request, rng: random.Random) -> str:
    return rng.choice(list(gateway.reported))


def _two_choices(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    pair = rng.sample(list(gateway.reported), 2)
    return min(pair, key=lambda name: gateway.reported[name])


def _least_loaded(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    lowest = min(gateway.reported.values())
    return rng.choice([n for n, v in gateway.reported.items() if v == lowest])


def _scored(gateway: _Gateway, request: _Request, rng: random.Random) -> str:
    # Without the limit every request is placed at once, as the other policies
    # do, so that the waiting times can be compared.
    need = routing.Requirements(
        name=_MODEL,
        max_concurrency=_SLOTS * 100,
        prefixes=_prefix(request.prompt),
    )
    limited = dataclasses.replace(need, max_concurrency=_SLOTS)
    return gateway.router.choose(limited) or gateway.router.choose(need)


POLICIES: dict[str, Policy] = {
    "random": _random,
    "two random choices": _two_choices,
    "least loaded, as reported": _least_loaded,
    "score": _scored,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Times from arrival to end, in seconds, and part of cached prompts."""

    mean_s: float
    p50_s: float
    p99_s: float
    cached: float


def replay(policy: Policy, *, load: float, requests: int = _REQUESTS) -> Result:
    """Runs one policy.

    Args:
        policy: The policy.
        load: Arriving work as a part of capacity without cache hits.
        requests: Number of requests.
    """
    rng = random.Random(_SEED)
    replicas = {f"r{n}": _Replica(f"r{n}") for n in range(_REPLICAS)}
    gateways = [
        _Gateway(
            routing.Router(
                availability_zone="zone-1", rng=random.Random(_SEED + n)
            )
        )
        for n in range(_GATEWAYS)
    ]
    rate = load * _REPLICAS * _SLOTS / (_PREFILL_S + _DECODE_S)
    events: list[tuple[float, int, Callable[[float], None]]] = []
    numbers = itertools.count()
    times: list[float] = []
    hits = 0

    def at(when: float, work: Callable[[float], None]) -> None:
        heapq.heappush(events, (when, next(numbers), work))

    def learn(state: messages.TargetState, now: float) -> None:
        for gateway in gateways:
            gateway.reported[state.target] = sum(
                replica.running + replica.waiting for replica in state.replicas
            )
            gateway.router.update(state, now)

    def report(replica: _Replica, now: float) -> None:
        state = replica.report(next(numbers))
        at(now + _REPORT_LAG_S, lambda then: learn(state, then))
        if len(times) < requests:
            at(now + _REPORT_INTERVAL_S, lambda then: report(replica, then))

    def begin(replica: _Replica, request: _Request, now: float) -> None:
        nonlocal hits
        hit = replica.touch(request.prompt)
        hits += hit
        replica.running += 1
        duration = request.decode_s + (0.0 if hit else _PREFILL_S)
        at(now + duration, lambda then: end(replica, request, then))

    def end(replica: _Replica, request: _Request, now: float) -> None:
        replica.running -= 1
        times.append(now - request.arrived_at)
        assert request.run is not None
        gateways[request.gateway].router.end(request.run, now)
        if replica.queue:
            begin(replica, replica.queue.popleft(), now)

    def arrive(now: float) -> None:
        request = _Request(
            arrived_at=now,
            prompt=int(_PROMPTS * rng.random() ** 2),
            decode_s=rng.expovariate(1 / _DECODE_S),
            gateway=rng.randrange(_GATEWAYS),
        )
        gateway = gateways[request.gateway]
        replica = replicas[policy(gateway, request, rng)]
        request.run = gateway.router.start(replica.name, _MODEL, now)
        if replica.running < _SLOTS:
            begin(replica, request, now)
        else:
            replica.queue.append(request)

    for replica in replicas.values():
        learn(replica.report(next(numbers)), 0.0)
        offset = rng.random() * _REPORT_INTERVAL_S
        at(offset, functools.partial(report, replica))
    when = 0.0
    for _ in range(requests):
        when += rng.expovariate(rate)
        at(when, arrive)
    while events:
        now, _, work = heapq.heappop(events)
        work(now)
    times.sort()
    return Result(
        mean_s=sum(times) / len(times),
        p50_s=times[len(times) // 2],
        p99_s=times[int(len(times) * 0.99)],
        cached=hits / len(times),
    )


@functools.cache
def _prefix(prompt: int) -> list[int]:
    text = f"{prompt:08d}".encode() * (prefixes.BLOCK_BYTES // 8)
    return prefixes.prefix_names(_MODEL, text)


def main() -> None:
    """Prints one table of all policies at several loads."""
    print(
        f"{_GATEWAYS} gateways, {_REPLICAS} replicas of {_SLOTS} slots, "
        f"reports every {_REPORT_INTERVAL_S} s with {_REPORT_LAG_S} s lag"
    )
    print(
        f"{'policy':28}{'load':>6}{'mean s':>9}{'p50 s':>9}{'p99 s':>9}"
        f"{'cached':>8}"
    )
    for load in (0.5, 0.8, 0.95):
        for name, policy in POLICIES.items():
            result = replay(policy, load=load)
            print(
                f"{name:28}{load:6.2f}{result.mean_s:9.3f}"
                f"{result.p50_s:9.3f}{result.p99_s:9.3f}{result.cached:8.1%}"
            )


if __name__ == "__main__":
    main()
