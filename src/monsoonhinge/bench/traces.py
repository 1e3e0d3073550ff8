"""Generates demand traces of two deployments from seeds, as JSON lines."""

from collections.abc import Iterable, Iterator
import dataclasses
import json
import pathlib
import random
from typing import Any

GB = 10**9

# Typical time between the requests of a session and typical number of them.
_SESSION_GAP_S = 4.0
_SESSION_REQUESTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a deployment and events in its traces.

    Attributes:
        name: Name of the deployment.
        targets: Number of engines.
        zones: Number of availability zones.
        gateways: Number of gateways.
        models: Number of models.
        adapters: Number of adapters.
        loads_per_s: Rate limit of the weight store, in loads per second.
        bursts: Number of bursts in which half of the models are requested
            within a few seconds, as at closing time.
        reviews: Number of periods in which one team exceeds its rate several
            times, as in a batch review.
        cold_start_weight: Weight of a second of waiting in the cost.
        idle_weight: Weight of an idle accelerator second in the cost.
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
DEPLOYMENTS = {deployment.name: deployment for deployment in (BARRIL, TAFILALT)}

# One JSON object of a trace.
Event = dict[str, Any]


@dataclasses.dataclass(slots=True)
class Trace:
    """A header with the configuration, and events in order of time.

    Attributes:
        header: Deployment, seed, duration, configuration objects, targets.
        events: Events of the kinds ``request``, ``store`` (the load times
            change by a factor), ``lost`` and ``back`` (of a target) and
            ``withdrawn`` (all keys of a team).
    """

    header: Event
    events: list[Event]

    def write(self, path: pathlib.Path) -> None:
        """Writes the header and each event as one line of JSON."""
        lines = [json.dumps(item) for item in (self.header, *self.events)]
        path.write_text("\n".join(lines) + "\n")

    @classmethod
    def read(cls, path: pathlib.Path) -> "Trace":
        """Reads a trace from a file written by ``write``."""
        header, *events = map(json.loads, path.read_text().splitlines())
        return cls(header, events)


def generate(deployment: Deployment, *, seed: int, duration_s: float) -> Trace:
    """Generates a trace; the same arguments give the same trace."""
    return _TraceGenerator(deployment, seed, duration_s).trace()


class _TraceGenerator:
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
        # Weight of each team; the first two teams are large.
        self._team_weights = {
            f"team{n}": 6.0 if n < 2 else 1.0 for n in range(5)
        }

    def trace(self) -> Trace:
        """Generates the trace."""
        events = [*self._requests(), *self._faults()]
        events.sort(key=_event_time_s)
        return Trace(self._header(), events)

    def _header(self) -> Event:
        random_ = self._random
        deployment = self._deployment
        objects: list[Event] = []
        for name in self._models:
            weights_gb = random_.choice([3, 5, 8, 14])
            objects.append(
                {
                    "kind": "model",
                    "name": name,
                    "versions": [
                        {
                            "version": "1",
                            "weights_bytes": weights_gb * GB,
                            "load_s": round(0.4 + weights_gb * 0.15, 2),
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
                "tokens_per_s": 60.0 * weight,
                "burst_tokens": int(1500 * weight),
                "weight": weight,
            }
            for name, weight in self._team_weights.items()
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
            for at in self._request_times(number):
                yield self._request(at, model, team)
        for number in range(self._deployment.bursts):
            start = self._duration_s * (number + 1) / 3
            yield from self._burst(start)
        for number in range(self._deployment.reviews):
            start = self._duration_s * (number + 0.6) / 2.5
            yield from self._review(start, f"team{2 + number}")

    def _team_of(self, number: int) -> str:
        return f"team{(number * 7) % 10 % 5 if number % 3 else number % 2}"

    def _request_times(self, number: int) -> Iterator[float]:
        """Yields the times of requests for one model.

        Of ten models, one is requested often, two at regular intervals, three
        in sessions and four rarely, so that most models are mostly idle.
        """
        random_ = self._random
        pattern = number % 10
        at = random_.uniform(0, 300)
        while at < self._duration_s:
            if pattern == 0:
                yield at
                at += random_.expovariate(1 / 12)
            elif pattern in (1, 2):
                yield at
                at += random_.gauss(420, 12)
            elif pattern in (3, 4, 5):
                count = random_.randint(1, 2 * _SESSION_REQUESTS)
                for index in range(count):
                    gap_s = random_.uniform(1, 2 * _SESSION_GAP_S)
                    yield at + index * gap_s
                at += random_.expovariate(1 / 500)
            else:
                yield at
                at += random_.expovariate(1 / 1500)

    def _burst(self, start: float) -> Iterator[Event]:
        """Yields requests for about half of the models within 8 s."""
        for number, model in enumerate(self._models):
            if self._random.random() > 0.5:
                continue
            for _ in range(self._random.randint(1, 4)):
                at = start + self._random.uniform(0, 8)
                yield self._request(at, model, self._team_of(number))

    def _review(self, start: float, team: str) -> Iterator[Event]:
        """Yields requests at about four times the rate of a small team."""
        at = start
        models = self._random.sample(self._models, 6)
        while at < start + 180:
            yield self._request(at, self._random.choice(models), team)
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
        duration_s = self._duration_s
        slow_at = round(duration_s * 0.45, 3)
        yield {"t": slow_at, "kind": "store", "factor": 4.0}
        yield {"t": slow_at + 120, "kind": "store", "factor": 1.0}
        lost_at = round(duration_s * 0.75, 3)
        yield {"t": lost_at, "kind": "lost", "target": "target1"}
        yield {"t": lost_at + 90, "kind": "back", "target": "target1"}
        withdrawn_at = round(duration_s * 0.9, 3)
        yield {"t": withdrawn_at, "kind": "withdrawn", "team": "team4"}


def _event_time_s(event: Event) -> float:
    time_s: float = event["t"]
    return time_s


def write_committed_traces(
    directory: pathlib.Path, seeds: Iterable[int]
) -> None:
    """Writes the short traces that are kept in the repository."""
    directory.mkdir(parents=True, exist_ok=True)
    for deployment in DEPLOYMENTS.values():
        for seed in seeds:
            trace = generate(deployment, seed=seed, duration_s=900.0)
            trace.write(directory / f"{deployment.name}-{seed}.jsonl")
