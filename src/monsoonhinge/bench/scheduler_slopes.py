"""Measures the costs of the active scheduler's decisions in this process."""

import itertools
import time

from monsoonhinge.bench import fit
from monsoonhinge.bench import synthetic
from monsoonhinge.config import validate
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.scheduler import coordinator
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive

_TARGET_COUNTS = (100, 400, 1_600)
_REPLICAS_PER_TARGET = 8
_MODEL_COUNT = 1_400
_REPETITIONS = 3
_START_S = 100.0


def measure() -> list[fit.CostSeries]:
    """Measures the handling of announcements and a planning step."""
    fleets = [_LoadedCoordinator(size) for size in _TARGET_COUNTS]
    sizes = [float(size) for size in _TARGET_COUNTS]
    return [
        fit.CostSeries(
            f"observe a target with {_REPLICAS_PER_TARGET} decided replicas",
            "target",
            "us",
            sizes,
            [fleet.observe_us() for fleet in fleets],
        ),
        fit.CostSeries(
            "planning step without demand",
            "target",
            "us",
            sizes,
            [fleet.plan_us() for fleet in fleets],
        ),
    ]


class _LoadedCoordinator:
    """A coordinator with decisions for all replicas of a synthetic fleet."""

    def __init__(self, size: int) -> None:
        parsed = validate.parse_set(
            synthetic.objects(models=_MODEL_COUNT, adapters=0, teams=20)
        )
        view = config_view.View(version=1, objects=parsed)
        self.size = size
        self.now = _START_S
        self.directory = target_directory.Directory()
        self._announce(1)
        ids = itertools.count()
        self.coordinator = coordinator.Coordinator.take_over(
            [
                commands.ReplicaChange(
                    action="load",
                    decision_id=replica.order_id,
                    target=entry.state.target,
                    incarnation=entry.state.incarnation,
                    model=replica.model,
                    model_version=replica.version,
                    reserved_bytes=11 * 10**9,
                )
                for entry in self.directory.entries.values()
                for replica in entry.state.replicas
            ],
            fencing=1,
            directory=self.directory,
            view=view,
            keep_alive=keepalive.HistogramKeepAlive(view.policy),
            order_timeout_s=2.0,
            new_id=lambda: str(next(ids)),
            now=self.now,
        )

    def observe_us(self) -> float:
        """Returns the least CPU time to observe all targets once, in us."""
        best = float("inf")
        for repetition in range(_REPETITIONS):
            self.now += 1.0
            self._announce(repetition + 2)
            start = time.process_time()
            for entry in self.directory.entries.values():
                self.coordinator.apply_announcement(
                    entry.state, self.now, self.now
                )
            best = min(best, time.process_time() - start)
        return best * 1e6

    def plan_us(self) -> float:
        """Returns the least CPU time of one planning step, in us."""
        best = float("inf")
        for _ in range(_REPETITIONS):
            self.now += 0.1
            start = time.process_time()
            self.coordinator.plan(
                directory=self.directory, needs={}, now=self.now
            )
            best = min(best, time.process_time() - start)
        return best * 1e6

    def _announce(self, sequence: int) -> None:
        for number in range(self.size):
            state = synthetic.target(
                number, sequence, replicas=_REPLICAS_PER_TARGET
            )
            self.directory.update(state, self.now)
