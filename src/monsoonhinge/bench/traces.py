"""Seeded traces of the two deployments, as JSON lines."""

from collections.abc import Iterable, Iterator
import dataclasses
import json
import pathlib
import random
from typing import Any

GB = 10**9

# Calls within a session follow each other closely.
_SESSION_GAP_S = 4.0
_SESSION_CALLS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of a deployment and what happens in its traces.

    Attributes:
        name: Name of the deployment.
        targets: Model servers.
        zones: Availability zones.
        gateways: Entry VMs.
        models: Models.
        adapters: Adapters.
        loads_per_s: Rate of the weight store.
        bursts: Closing-time bursts in a trace.
        reviews: Reviews that send several times their team's rate.
        cold_start_weight: Operator's weight of a second of waiting.
        idle_weight: Operator's weight of an idle accelerator second.
    """

    name: str
    targets: int
    zones: int
    gateways: int
    models: int
    adapters: int
    loads_per_s: float
    bursts: int
    reviews: int
    cold_start_weight: float
    idle_weight: float


BARRIL = Deployment(
    name="barril",
    targets=5,
    zones=3,
    gateways=6,
    models=50,
    adapters=60,
    loads_per_s=4.5,
    bursts=2,
    reviews=0,
    cold_start_weight=100.0,
    idle_weight=1.0,
)
TAFILALT = Deployment(
    name="tafilalt",
    targets=6,
    zones=4,
    gateways=9,
    models=65,
    adapters=75,
    loads_per_s=3.0,
    bursts=0,
    reviews=2,
    cold_start_weight=8.0,
    idle_weight=1.0,
)
DEPLOYMENTS = {item.name: item for item in (BARRIL, TAFILALT)}

Event = dict[str, Any]


@dataclasses.dataclass(slots=True)
class Trace:
    """A header with the configuration, and events in order of time.

    Attributes:
        header: Deployment, seed, duration, configuration objects, targets.
        events: ``request``, ``store``, ``lost``, ``back``, ``withdrawn``.
    """

    header: Event
    events: list[Event]

    def write(self, path: pathlib.Path) -> None:
        """Writes one JSON document per line."""
        lines = [json.dumps(item) for item in (self.header, *self.events)]
        path.write_text("\n".join(lines) + "\n")

    @classmethod
    def read(cls, path: pathlib.Path) -> "Trace":
        """Reads a trace that ``write`` wrote."""
        header, *events = map(json.loads, path.read_text().splitlines())
        return cls(header, events)


def generate(deployment: Deployment, *, seed: int, duration_s: float) -> Trace:
    """Makes a trace; the same arguments give the same trace."""
    return _Generator(deployment, seed, duration_s).trace()


class _Generator:
    def __init__(
        self, deployment: Deployment, seed: int, duration_s: float
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._duration_s = duration_s
        self._random = random.Random(f"{deployment.name}/{seed}")
        self._models = [f"model{n}" for n in range(deployment.models)]
        self._adapters = {
            f"adapter{n}": self._models[n % (deployment.models // 2)]
            for n in range(deployment.adapters)
        }
        # A few teams are large.
        self._teams = {f"team{n}": 6.0 if n < 2 else 1.0 for n in range(5)}

    def trace(self) -> Trace:
        """Returns the whole trace."""
        events = [*self._requests(), *self._faults()]
        events.sort(key=_time)
        return Trace(self._header(), events)

    def _header(self) -> Event:
        random_ = self._random
        deployment = self._deployment
        objects: list[Event] = []
        for name in self._models:
            size = random_.choice([3, 5, 8, 14])
            objects.append(
                {
                    "kind": "model",
                    "name": name,
                    "versions": [
                        {
                            "version": "1",
                            "weights_bytes": size * GB,
                            "load_s": round(0.4 + size * 0.15, 2),
                        }
                    ],
                    "current": "1",
                    "kv_bytes_per_replica": 2 * GB,
                    "adapter_slot_bytes": GB,
                    "max_replicas": 2,
                    "max_concurrency": 8,
                }
            )
        objects += [
            {"kind": "adapter", "name": name, "model": model, "bytes": GB // 5}
            for name, model in self._adapters.items()
        ]
        objects += [
            {
                "kind": "team",
                "name": name,
                "tokens_per_s": 60.0 * size,
                "burst_tokens": int(1500 * size),
                "weight": size,
            }
            for name, size in self._teams.items()
        ]
        objects.append(
            {
                "kind": "store",
                "name": "store",
                "loads_per_s": deployment.loads_per_s,
            }
        )
        objects.append(
            {
                "kind": "policy",
                "name": "policy",
                "cold_start_weight": deployment.cold_start_weight,
                "idle_weight": deployment.idle_weight,
            }
        )
        targets = [
            {
                "target": f"target{n}",
                "availability_zone": f"zone{n % deployment.zones}",
                "memory_bytes": 80 * GB,
            }
            for n in range(deployment.targets)
        ]
        return {
            "deployment": deployment.name,
            "seed": self._seed,
            "duration_s": self._duration_s,
            "objects": objects,
            "targets": targets,
        }

    def _requests(self) -> Iterator[Event]:
        for number, model in enumerate(self._models):
            team = self._team_of(number)
            for at in self._calls(number):
                yield self._request(at, model, team)
        for number in range(self._deployment.bursts):
            begin = self._duration_s * (number + 1) / 3
            yield from self._burst(begin)
        for number in range(self._deployment.reviews):
            begin = self._duration_s * (number + 0.6) / 2.5
            yield from self._review(begin, f"team{2 + number}")

    def _team_of(self, number: int) -> str:
        return f"team{(number * 7) % 10 % 5 if number % 3 else number % 2}"

    def _calls(self, number: int) -> Iterator[float]:
        """Yields call times of a model; most models are idle most times."""
        random_ = self._random
        kind = number % 10
        at = random_.uniform(0, 300)
        while at < self._duration_s:
            if kind == 0:
                yield at
                at += random_.expovariate(1 / 12)
            elif kind in (1, 2):
                yield at
                at += random_.gauss(420, 12)
            elif kind in (3, 4, 5):
                for call in range(random_.randint(1, 2 * _SESSION_CALLS)):
                    yield at + call * random_.uniform(1, 2 * _SESSION_GAP_S)
                at += random_.expovariate(1 / 500)
            else:
                yield at
                at += random_.expovariate(1 / 1500)

    def _burst(self, begin: float) -> Iterator[Event]:
        for number, model in enumerate(self._models):
            if self._random.random() > 0.5:
                continue
            for _ in range(self._random.randint(1, 4)):
                at = begin + self._random.uniform(0, 8)
                yield self._request(at, model, self._team_of(number))

    def _review(self, begin: float, team: str) -> Iterator[Event]:
        """Sends about four times the rate of a small team."""
        at = begin
        chosen = self._random.sample(self._models, 6)
        while at < begin + 180:
            yield self._request(at, self._random.choice(chosen), team)
            at += self._random.expovariate(1.0)

    def _request(self, at: float, model: str, team: str) -> Event:
        random_ = self._random
        adapters = [
            name for name, base in self._adapters.items() if base == model
        ]
        use_adapter = adapters and random_.random() < 0.4
        tokens = random_.randint(40, 400)
        return {
            "t": round(at, 3),
            "kind": "request",
            "gateway": f"gateway{random_.randrange(self._deployment.gateways)}",
            "team": team,
            "model": model,
            "adapter": random_.choice(adapters) if use_adapter else "",
            "tokens": tokens,
            "service_s": round(0.2 + tokens / 150, 3),
            "timeout_s": 15.0,
        }

    def _faults(self) -> Iterator[Event]:
        span = self._duration_s
        slow = round(span * 0.45, 3)
        yield {"t": slow, "kind": "store", "factor": 4.0}
        yield {"t": slow + 120, "kind": "store", "factor": 1.0}
        lost = round(span * 0.75, 3)
        yield {"t": lost, "kind": "lost", "target": "target1"}
        yield {"t": lost + 90, "kind": "back", "target": "target1"}
        yield {"t": round(span * 0.9, 3), "kind": "withdrawn", "team": "team4"}


def _time(event: Event) -> float:
    at: float = event["t"]
    return at


def write_small(directory: pathlib.Path, seeds: Iterable[int]) -> None:
    """Writes the small traces that are committed."""
    directory.mkdir(parents=True, exist_ok=True)
    for deployment in DEPLOYMENTS.values():
        for seed in seeds:
            trace = generate(deployment, seed=seed, duration_s=900.0)
            trace.write(directory / f"{deployment.name}-{seed}.jsonl")
