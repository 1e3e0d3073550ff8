"""Costs of the active scheduler's decisions, inside this process."""

import itertools
import time

from monsoonhinge.bench import fit
from monsoonhinge.bench import sample
from monsoonhinge.config import validate
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.scheduler import coordinator
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import keepalive

_TARGETS = (100, 400, 1_600)
_REPLICAS_PER_TARGET = 8
_MODELS = 1_400
_STEPS = 3
_START_S = 100.0


def measure() -> list[fit.Slope]:
    """Measures announcements with decided replicas, and planning steps."""
    worlds = [_World(size) for size in _TARGETS]
    sizes = [float(size) for size in _TARGETS]
    return [
        fit.Slope(
            f"observe a target with {_REPLICAS_PER_TARGET} decided replicas",
            "target",
            "us",
            sizes,
            [world.observe_us() for world in worlds],
        ),
        fit.Slope(
            "planning step without demand",
            "target",
            "us",
            sizes,
            [world.plan_us() for world in worlds],
        ),
    ]


class _World:
    """A coordinator that has taken over a loaded fleet."""

    def __init__(self, size: int) -> None:
        parsed = validate.parse_set(
            sample.objects(models=_MODELS, adapters=0, teams=20)
        )
        view = config_view.View(version=1, objects=parsed)
        self.size = size
        self.now = _START_S
        self.directory = target_directory.Directory()
        self._announce(1)
        ids = itertools.count()
        self.core = coordinator.Coordinator.take_over(
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
        """Returns the least processor time of one round of announcements."""
        best = float("inf")
        for step in range(_STEPS):
            self.now += 1.0
            self._announce(step + 2)
            start = time.process_time()
            for entry in self.directory.entries.values():
                self.core.apply_announcement(entry.state, self.now, self.now)
            best = min(best, time.process_time() - start)
        return best * 1e6

    def plan_us(self) -> float:
        """Returns the least processor time of one planning step."""
        best = float("inf")
        for _ in range(_STEPS):
            self.now += 0.1
            start = time.process_time()
            self.core.plan(directory=self.directory, needs={}, now=self.now)
            best = min(best, time.process_time() - start)
        return best * 1e6

    def _announce(self, sequence: int) -> None:
        for number in range(self.size):
            state = sample.target(
                number, sequence, replicas=_REPLICAS_PER_TARGET
            )
            self.directory.update(state, self.now)
