"""Decides what each subscriber of a target directory is sent, and when.

Structure (which target has which replicas) changes seldom and goes to every
subscriber. Load changes with every announcement and goes only to subscribers
that are interested in one of the target's models, within a byte budget.
Liveness of all targets is one bound plus the few exceptions.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any
import zlib

from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory as target_directory

LOAD_INTERVAL_S = 0.5

# Leaves the rest of the 22 KB/s of a daemon to structure, configuration and
# heartbeats.
LOAD_BYTES_PER_S = 10_000

# A target is listed as late from this age on; younger ones share one bound.
LATE_MS = 1500

_PART_TARGETS = 500

_TARGET_BYTES = 96
_REPLICA_BYTES = 24
_EVENT_BYTES = 16


@dataclasses.dataclass(slots=True)
class Subscriber:
    """One subscriber of the directory.

    Attributes:
        models: Models whose load it follows.
        full: Whether it has yet to get the whole directory.
        sent: Sequence of the load last sent, by target.
    """

    models: frozenset[str] = frozenset()
    full: bool = True
    sent: dict[str, int] = dataclasses.field(default_factory=dict)


Key = object


class Publisher:
    """Turns announcements into updates for subscribers.

    Attributes:
        directory: The directory that is published.
        subscribers: Subscribers by key, such as their connection.
    """

    def __init__(self, *, directory: target_directory.Directory) -> None:
        self.directory = directory
        self.subscribers: dict[Key, Subscriber] = {}
        self._structures: dict[str, tuple[Any, ...]] = {}
        self._changed: set[str] = set()
        self._removed: set[str] = set()
        self._loads_at = 0.0

    def subscribe(self, key: Key) -> None:
        """Adds a subscriber, which gets the whole directory first."""
        self.subscribers[key] = Subscriber()

    def unsubscribe(self, key: Key) -> None:
        """Removes a subscriber."""
        self.subscribers.pop(key, None)

    def set_interest(self, key: Key, models: Iterable[str]) -> None:
        """Replaces the models whose load a subscriber follows."""
        subscriber = self.subscribers.get(key)
        if subscriber is not None:
            subscriber.models = frozenset(models)

    def announced(self, state: messages.TargetState) -> None:
        """Takes an announcement that the directory has accepted."""
        structure = _structure(state)
        if self._structures.get(state.target) != structure:
            self._structures[state.target] = structure
            self._changed.add(state.target)
        self._removed.discard(state.target)

    def removed(self, targets: Iterable[str]) -> None:
        """Takes targets that the directory has expired."""
        for target in targets:
            self._structures.pop(target, None)
            self._changed.discard(target)
            self._removed.add(target)

    def flush(self, now: float) -> list[tuple[Key, list[messages.Message]]]:
        """Returns the messages due for each subscriber, in order.

        Args:
            now: Current time in seconds.
        """
        changed = self._states(self._changed, now)
        removed = sorted(self._removed)
        self._changed.clear()
        self._removed.clear()
        loads_due = now - self._loads_at >= LOAD_INTERVAL_S
        ages = self._ages(now) if loads_due else {}
        if loads_due:
            self._loads_at = now
        result: list[tuple[Key, list[messages.Message]]] = []
        for key, subscriber in self.subscribers.items():
            due: list[messages.Message] = []
            if subscriber.full:
                subscriber.full = False
                due += _parts(self.directory.snapshot(now), full=True)
            elif changed or removed:
                due += _parts(changed, removed=removed)
            if loads_due:
                due.append(self._loads(subscriber, ages, now))
            if due:
                result.append((key, due))
        return result

    def _states(
        self, targets: Iterable[str], now: float
    ) -> list[messages.TargetState]:
        entries = self.directory.entries
        return [
            dataclasses.replace(
                entries[target].state, age_ms=_age_ms(entries[target], now)
            )
            for target in sorted(targets)
            if target in entries
        ]

    def _ages(self, now: float) -> dict[str, int]:
        return {
            name: _age_ms(entry, now)
            for name, entry in self.directory.entries.items()
        }

    def _loads(
        self, subscriber: Subscriber, ages: dict[str, int], now: float
    ) -> messages.Loads:
        return messages.Loads(
            bound_ms=max(
                (age for age in ages.values() if age < LATE_MS), default=0
            ),
            late=[
                messages.TargetAge(target=name, age_ms=age)
                for name, age in ages.items()
                if age >= LATE_MS
            ],
            targets=self._target_loads(subscriber, now),
        )

    def _target_loads(
        self, subscriber: Subscriber, now: float
    ) -> list[messages.TargetLoad]:
        wanted = [
            (subscriber.sent.get(name, -1), name, entry)
            for name, entry in self.directory.entries.items()
            if entry.state.sequence != subscriber.sent.get(name)
            and any(
                replica.model in subscriber.models
                for replica in entry.state.replicas
            )
        ]
        # The load that has waited longest goes first when the budget is short.
        wanted.sort(key=lambda item: item[:2])
        budget = LOAD_BYTES_PER_S * LOAD_INTERVAL_S
        result: list[messages.TargetLoad] = []
        for _, name, entry in wanted:
            load = _load(entry, subscriber.models, now)
            budget -= _size(load)
            if budget < 0 and result:
                break
            subscriber.sent[name] = entry.state.sequence
            result.append(load)
        return result


def replica_id(order_id: str) -> int:
    """Returns the short id of a replica in load updates."""
    return zlib.crc32(order_id.encode())


def with_load(
    state: messages.TargetState, load: messages.TargetLoad
) -> messages.TargetState:
    """Returns a target's state with the load of a later announcement."""
    by_id = {item.replica: item for item in load.loads}
    return dataclasses.replace(
        state,
        sequence=load.sequence,
        age_ms=load.age_ms,
        cache_batch=load.cache_batch,
        cache_events=load.cache_events,
        replicas=[
            dataclasses.replace(
                replica, running=item.running, waiting=item.waiting
            )
            if (item := by_id.get(replica_id(replica.order_id)))
            else replica
            for replica in state.replicas
        ],
    )


def _parts(
    states: list[messages.TargetState],
    *,
    full: bool = False,
    removed: list[str] | None = None,
) -> list[messages.Message]:
    """Returns an update in messages well below the largest frame."""
    parts: list[messages.Message] = [
        messages.DirectoryUpdate(
            full=full, targets=states[:_PART_TARGETS], removed=removed or []
        )
    ]
    for start in range(_PART_TARGETS, len(states), _PART_TARGETS):
        parts.append(
            messages.DirectoryUpdate(
                targets=states[start : start + _PART_TARGETS]
            )
        )
    return parts


# A tuple takes a tenth of the time of a copy without the changing fields.
def _structure(state: messages.TargetState) -> tuple[Any, ...]:
    """Returns what an announcement says about structure."""
    return (
        state.incarnation,
        state.kind,
        state.services,
        state.availability_zone,
        state.address,
        state.memory_bytes,
        state.leaving,
        [(item.model, item.version, item.tier) for item in state.cached],
        [
            (item.model, item.version, item.state, item.order_id, item.adapters)
            for item in state.replicas
        ],
    )


def _load(
    entry: target_directory.Entry, models: frozenset[str], now: float
) -> messages.TargetLoad:
    state = entry.state
    return messages.TargetLoad(
        target=state.target,
        sequence=state.sequence,
        age_ms=_age_ms(entry, now),
        loads=[
            messages.ReplicaLoad(
                replica=replica_id(replica.order_id),
                running=replica.running,
                waiting=replica.waiting,
            )
            for replica in state.replicas
            if replica.model in models
        ],
        cache_batch=state.cache_batch,
        cache_events=state.cache_events,
    )


def _size(load: messages.TargetLoad) -> int:
    return (
        _TARGET_BYTES
        + _REPLICA_BYTES * len(load.loads)
        + _EVENT_BYTES * len(load.cache_events)
    )


def _age_ms(entry: target_directory.Entry, now: float) -> int:
    return max(0, int((now - entry.heard_at) * 1000))
