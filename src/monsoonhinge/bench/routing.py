"""Compares routing policies in a simulation with delayed load reports.

Several gateways send requests to the same replicas. Each replica runs a
bounded number of requests concurrently, queues the rest, and reports its load
and its cache events with a lag. A cached prompt prefix shortens a request. The
simulation uses simulated time, so its results do not depend on the machine.
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
_GATEWAY_COUNT = 8
_REPLICA_COUNT = 16
_SLOTS_PER_REPLICA = 8
_CACHED_PROMPTS = 12
_PROMPT_COUNT = 100
_REQUEST_COUNT = 20_000
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
    in_flight: routing.InFlightRequest | None = None


class _Replica:
    """A simulated replica with a prefix cache.

    Attributes:
        name: Name of the replica's target.
        running: Number of running requests.
        queue: Requests that wait for a slot.
        cache: Cached prompts, the least recently used first.
        events: Cache events since the last report.
        batch: Number of the last batch of cache events.
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

    def use_prompt(self, prompt: int) -> bool:
        """Caches a prompt's prefix and returns whether it was cached."""
        hit = prompt in self.cache
        self.cache[prompt] = None
        self.cache.move_to_end(prompt)
        if not hit:
            self.events.append(messages.CacheEvent(_prefix(prompt)[0], True))
        if len(self.cache) > _CACHED_PROMPTS:
            evicted, _ = self.cache.popitem(last=False)
            self.events.append(messages.CacheEvent(_prefix(evicted)[0], False))
        return hit

    def report(self, sequence: int) -> messages.TargetState:
        """Returns the announcement of the current load and cache events."""
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
    """A gateway's view of the replicas.

    Attributes:
        router: Router that the scoring policy uses.
        reported: Requests that each replica last reported.
    """

    router: routing.Router
    reported: dict[str, int] = dataclasses.field(default_factory=dict)


Policy = Callable[[_Gateway, _Request, random.Random], str]


def _choose_randomly(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    return rng.choice(list(gateway.reported))


def _choose_of_two(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    pair = rng.sample(list(gateway.reported), 2)
    return min(pair, key=lambda name: gateway.reported[name])


def _choose_least_loaded(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    lowest = min(gateway.reported.values())
    return rng.choice([n for n, v in gateway.reported.items() if v == lowest])


def _choose_by_score(
    gateway: _Gateway, request: _Request, rng: random.Random
) -> str:
    # If no replica has a free slot, the request is still sent at once, as with
    # the other policies, so that the waiting times can be compared.
    need = routing.Requirements(
        name=_MODEL,
        max_concurrency=_SLOTS_PER_REPLICA * 100,
        prefixes=_prefix(request.prompt),
    )
    limited = dataclasses.replace(need, max_concurrency=_SLOTS_PER_REPLICA)
    return gateway.router.choose(limited) or gateway.router.choose(need)


POLICIES: dict[str, Policy] = {
    "random": _choose_randomly,
    "two random choices": _choose_of_two,
    "least loaded, as reported": _choose_least_loaded,
    "score": _choose_by_score,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Results of one simulation.

    Attributes:
        mean_s: Mean time from arrival to completion, in seconds.
        p50_s: Median time from arrival to completion, in seconds.
        p99_s: 99th percentile of this time, in seconds.
        cached: Share of requests whose prompt prefix was cached.
    """

    mean_s: float
    p50_s: float
    p99_s: float
    cached: float


def simulate(
    policy: Policy, *, load: float, requests: int = _REQUEST_COUNT
) -> Result:
    """Simulates one routing policy.

    Args:
        policy: Chooses the replica of a request.
        load: Offered load as a share of the capacity without cache hits.
        requests: Number of requests.
    """
    rng = random.Random(_SEED)
    replicas = {f"r{n}": _Replica(f"r{n}") for n in range(_REPLICA_COUNT)}
    gateways = [
        _Gateway(
            routing.Router(
                availability_zone="zone-1", rng=random.Random(_SEED + n)
            )
        )
        for n in range(_GATEWAY_COUNT)
    ]
    rate_per_s = (
        load * _REPLICA_COUNT * _SLOTS_PER_REPLICA / (_PREFILL_S + _DECODE_S)
    )
    events: list[tuple[float, int, Callable[[float], None]]] = []
    numbers = itertools.count()
    latencies_s: list[float] = []
    hits = 0

    def schedule(time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(events, (time_s, next(numbers), action))

    def apply_report(state: messages.TargetState, now: float) -> None:
        for gateway in gateways:
            gateway.reported[state.target] = sum(
                replica.running + replica.waiting for replica in state.replicas
            )
            gateway.router.update(state, now)

    def report(replica: _Replica, now: float) -> None:
        state = replica.report(next(numbers))
        schedule(now + _REPORT_LAG_S, lambda then: apply_report(state, then))
        if len(latencies_s) < requests:
            schedule(
                now + _REPORT_INTERVAL_S, lambda then: report(replica, then)
            )

    def start(replica: _Replica, request: _Request, now: float) -> None:
        nonlocal hits
        hit = replica.use_prompt(request.prompt)
        hits += hit
        replica.running += 1
        duration_s = request.decode_s + (0.0 if hit else _PREFILL_S)
        schedule(now + duration_s, lambda then: finish(replica, request, then))

    def finish(replica: _Replica, request: _Request, now: float) -> None:
        replica.running -= 1
        latencies_s.append(now - request.arrived_at)
        assert request.in_flight is not None
        gateways[request.gateway].router.end(request.in_flight, now)
        if replica.queue:
            start(replica, replica.queue.popleft(), now)

    def arrive(now: float) -> None:
        request = _Request(
            arrived_at=now,
            prompt=int(_PROMPT_COUNT * rng.random() ** 2),
            decode_s=rng.expovariate(1 / _DECODE_S),
            gateway=rng.randrange(_GATEWAY_COUNT),
        )
        gateway = gateways[request.gateway]
        replica = replicas[policy(gateway, request, rng)]
        request.in_flight = gateway.router.start(replica.name, _MODEL, now)
        if replica.running < _SLOTS_PER_REPLICA:
            start(replica, request, now)
        else:
            replica.queue.append(request)

    for replica in replicas.values():
        apply_report(replica.report(next(numbers)), 0.0)
        offset_s = rng.random() * _REPORT_INTERVAL_S
        schedule(offset_s, functools.partial(report, replica))
    arrival_s = 0.0
    for _ in range(requests):
        arrival_s += rng.expovariate(rate_per_s)
        schedule(arrival_s, arrive)
    while events:
        now, _, action = heapq.heappop(events)
        action(now)
    latencies_s.sort()
    return Result(
        mean_s=sum(latencies_s) / len(latencies_s),
        p50_s=latencies_s[len(latencies_s) // 2],
        p99_s=latencies_s[int(len(latencies_s) * 0.99)],
        cached=hits / len(latencies_s),
    )


@functools.cache
def _prefix(prompt: int) -> list[int]:
    text = f"{prompt:08d}".encode() * (prefixes.BLOCK_BYTES // 8)
    return prefixes.prefix_hashes(_MODEL, text)


def main() -> None:
    """Simulates all policies at several loads and prints one table."""
    print(
        f"{_GATEWAY_COUNT} gateways, {_REPLICA_COUNT} replicas of "
        f"{_SLOTS_PER_REPLICA} slots, reports every {_REPORT_INTERVAL_S} s "
        f"with {_REPORT_LAG_S} s lag"
    )
    print(
        f"{'policy':28}{'load':>6}{'mean s':>9}{'p50 s':>9}{'p99 s':>9}"
        f"{'cached':>8}"
    )
    for load in (0.5, 0.8, 0.95):
        for name, policy in POLICIES.items():
            result = simulate(policy, load=load)
            print(
                f"{name:28}{load:6.2f}{result.mean_s:9.3f}"
                f"{result.p50_s:9.3f}{result.p99_s:9.3f}{result.cached:8.1%}"
            )


if __name__ == "__main__":
    main()
