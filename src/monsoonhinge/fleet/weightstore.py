"""Limits of loads from the weight store; performs no I/O.

Load pattern: many engines need models that only the weight store holds. The
store reads a few loads at once at full speed. More loads share that speed, so
that each one occupies its engine for longer and none ends sooner. How many it
reads at full speed is not configured; it is learned from the loads that end.
"""

import collections
import dataclasses

# Concurrent loads until one has shown how many the store reads at full speed.
_INITIAL_CONCURRENCY = 2

# A load that takes this multiple of its time at full speed, or more, has
# shared the speed of the store with others.
_SLOW_FACTOR = 1.25

# After slow loads the limit is not raised for this long.
_RAISE_DELAY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ActiveLoad:
    """A load in progress.

    Attributes:
        started_at: Time of the load order.
        full_speed_s: Duration at full speed of the store.
        initial_concurrency: Loads in progress at the start, with this one.
        load_seconds: Value of the limiter's ``_load_seconds`` at the start.
    """

    started_at: float
    full_speed_s: float
    initial_concurrency: int
    load_seconds: float


class StoreLimiter:
    """Limits the rate and the number of concurrent loads of all engines.

    Attributes:
        window_s: Length of the window of the rate limit.
        max_concurrency: Loads that may be in progress at once.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.max_concurrency = _INITIAL_CONCURRENCY
        self._reserved: set[tuple[str, str]] = set()
        self._active: dict[tuple[str, str], _ActiveLoad] = {}
        self._starts: collections.deque[float] = collections.deque()
        # Sum over time of the number of loads in progress.
        self._load_seconds = 0.0
        self._updated_at = 0.0
        self._raise_at = 0.0

    @property
    def active_loads(self) -> set[tuple[str, str]]:
        """Loads that are reserved or in progress, as (target, model)."""
        return self._reserved | self._active.keys()

    def available_starts(self, *, loads_per_s: float, now: float) -> int:
        """Returns how many loads may start now within the rate limit."""
        while self._starts and now - self._starts[0] > self.window_s:
            self._starts.popleft()
        return int(loads_per_s * self.window_s) - len(self._starts)

    def remaining_s(self, now: float) -> list[float]:
        """Returns the time that each load in progress takes at full speed."""
        return [
            max(0.0, load.started_at + load.full_speed_s - now)
            for load in self._active.values()
        ]

    def reserve(self, target: str, model: str) -> None:
        """Counts a planned load, whose order is sent later."""
        self._reserved.add((target, model))

    def record_start(
        self, target: str, model: str, *, full_speed_s: float, now: float
    ) -> None:
        """Records a load order; it counts even if the engine never responds."""
        self._advance(now)
        self._starts.append(now)
        self._reserved.discard((target, model))
        self._active[target, model] = _ActiveLoad(
            started_at=now,
            full_speed_s=full_speed_s,
            initial_concurrency=len(self._active) + 1,
            load_seconds=self._load_seconds,
        )

    def record_finish(
        self, target: str, model: str, *, loaded: bool, now: float
    ) -> None:
        """Records that a load has ended, and learns from a complete one."""
        self._advance(now)
        self._reserved.discard((target, model))
        load = self._active.pop((target, model), None)
        if load is not None and loaded and now > load.started_at:
            self._learn(load, now)

    def _learn(self, load: _ActiveLoad, now: float) -> None:
        duration_s = now - load.started_at
        concurrency = (self._load_seconds - load.load_seconds) / duration_s
        slowdown = duration_s / load.full_speed_s
        if slowdown >= _SLOW_FACTOR:
            # The loads have shared the full speed of fewer.
            self.max_concurrency = max(1, round(concurrency / slowdown))
            self._raise_at = now + _RAISE_DELAY_S
        elif (
            load.initial_concurrency >= self.max_concurrency
            and now >= self._raise_at
        ):
            # Loads that started before may keep their speed when others join.
            self.max_concurrency += 1

    def _advance(self, now: float) -> None:
        self._load_seconds += len(self._active) * (now - self._updated_at)
        self._updated_at = now
