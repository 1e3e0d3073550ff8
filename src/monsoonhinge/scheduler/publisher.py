"""Decides what each subscriber of a target directory is sent, and when.

Structure (which target has which replicas) changes rarely and is sent to every
subscriber. Load changes with every announcement and is sent only to subscribers
that are interested in one of the target's models, within a byte budget.
Liveness is sent as one upper bound of the ages of all targets and a list of the
few targets whose age exceeds it.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any
import zlib

from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory as target_directory

LOAD_INTERVAL_S = 0.5

# A gateway may receive 22 KB/s; the rest is left for structure, configuration
# and heartbeats.
LOAD_BUDGET_BYTES_PER_S = 10_000

# A target whose announcement is at least this old is listed with its own age;
# younger ones share one bound.
LATE_AGE_MS = 1500

# Keeps an update well below the largest frame.
_MAX_TARGETS_PER_UPDATE = 500

_TARGET_LOAD_BYTES = 96
_REPLICA_LOAD_BYTES = 24
_CACHE_EVENT_BYTES = 16


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A subscriber of the directory.

    Attributes:
        models: Models whose load it is interested in.
        needs_full: Whether the whole directory has yet to be sent.
        sent_sequences: Sequence number of the load last sent, by target.
    """

    models: frozenset[str] = frozenset()
    needs_full: bool = True
    sent_sequences: dict[str, int] = dataclasses.field(default_factory=dict)


SubscriberKey = object


class Publisher:
    """Converts announcements into updates for subscribers.

    Attributes:
        directory: The published directory.
        subscribers: Subscribers by key, such as their connection.
    """

    def __init__(self, *, directory: target_directory.Directory) -> None:
        self.directory = directory
        self.subscribers: dict[SubscriberKey, Subscriber] = {}
        self._structures: dict[str, tuple[Any, ...]] = {}
        self._changed: set[str] = set()
        self._removed: set[str] = set()
        self._loads_sent_at = 0.0

    def subscribe(self, key: SubscriberKey) -> None:
        """Adds a subscriber; the whole directory is sent to it first."""
        self.subscribers[key] = Subscriber()

    def unsubscribe(self, key: SubscriberKey) -> None:
        """Removes a subscriber."""
        self.subscribers.pop(key, None)

    def set_interest(self, key: SubscriberKey, models: Iterable[str]) -> None:
        """Sets the models whose load is sent to a subscriber."""
        subscriber = self.subscribers.get(key)
        if subscriber is not None:
            subscriber.models = frozenset(models)

    def update_target(self, state: messages.TargetState) -> None:
        """Processes an announcement that the directory has stored."""
        structure = _structure(state)
        if self._structures.get(state.target) != structure:
            self._structures[state.target] = structure
            self._changed.add(state.target)
        self._removed.discard(state.target)

    def remove_targets(self, targets: Iterable[str]) -> None:
        """Removes targets that have expired in the directory."""
        for target in targets:
            self._structures.pop(target, None)
            self._changed.discard(target)
            self._removed.add(target)

    def flush(
        self, now: float
    ) -> list[tuple[SubscriberKey, list[messages.Message]]]:
        """Returns the messages to send now, by subscriber and in order.

        Args:
            now: Current time in seconds.
        """
        changed = self._current_states(self._changed, now)
        removed = sorted(self._removed)
        self._changed.clear()
        self._removed.clear()
        loads_due = now - self._loads_sent_at >= LOAD_INTERVAL_S
        ages = self._ages(now) if loads_due else {}
        if loads_due:
            self._loads_sent_at = now
        result: list[tuple[SubscriberKey, list[messages.Message]]] = []
        for key, subscriber in self.subscribers.items():
            due: list[messages.Message] = []
            if subscriber.needs_full:
                subscriber.needs_full = False
                due += _split_update(self.directory.snapshot(now), full=True)
            elif changed or removed:
                due += _split_update(changed, removed=removed)
            if loads_due:
                due.append(self._loads_message(subscriber, ages, now))
            if due:
                result.append((key, due))
        return result

    def _current_states(
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

    def _loads_message(
        self, subscriber: Subscriber, ages: dict[str, int], now: float
    ) -> messages.Loads:
        return messages.Loads(
            bound_ms=max(
                (age for age in ages.values() if age < LATE_AGE_MS), default=0
            ),
            late=[
                messages.TargetAge(target=name, age_ms=age)
                for name, age in ages.items()
                if age >= LATE_AGE_MS
            ],
            targets=self._target_loads(subscriber, now),
        )

    def _target_loads(
        self, subscriber: Subscriber, now: float
    ) -> list[messages.TargetLoad]:
        wanted = [
            (subscriber.sent_sequences.get(name, -1), name, entry)
            for name, entry in self.directory.entries.items()
            if entry.state.sequence != subscriber.sent_sequences.get(name)
            and any(
                replica.model in subscriber.models
                for replica in entry.state.replicas
            )
        ]
        # If the budget is too small, the load sent longest ago goes first.
        wanted.sort(key=lambda item: item[:2])
        budget_bytes = LOAD_BUDGET_BYTES_PER_S * LOAD_INTERVAL_S
        result: list[messages.TargetLoad] = []
        for _, name, entry in wanted:
            load = _target_load(entry, subscriber.models, now)
            budget_bytes -= _estimated_bytes(load)
            if budget_bytes < 0 and result:
                break
            subscriber.sent_sequences[name] = entry.state.sequence
            result.append(load)
        return result


def short_replica_id(order_id: str) -> int:
    """Returns the short id that stands for a replica in load updates."""
    return zlib.crc32(order_id.encode())


def apply_load(
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
            if (item := by_id.get(short_replica_id(replica.order_id)))
            else replica
            for replica in state.replicas
        ],
    )


def _split_update(
    states: list[messages.TargetState],
    *,
    full: bool = False,
    removed: list[str] | None = None,
) -> list[messages.Message]:
    """Splits an update into messages well below the largest frame."""
    updates: list[messages.Message] = [
        messages.DirectoryUpdate(
            full=full,
            targets=states[:_MAX_TARGETS_PER_UPDATE],
            removed=removed or [],
        )
    ]
    for start in range(
        _MAX_TARGETS_PER_UPDATE, len(states), _MAX_TARGETS_PER_UPDATE
    ):
        updates.append(
            messages.DirectoryUpdate(
                targets=states[start : start + _MAX_TARGETS_PER_UPDATE]
            )
        )
    return updates


# Building a tuple takes a tenth of the time of a copy of the state without the
# fields that change.
def _structure(state: messages.TargetState) -> tuple[Any, ...]:
    """Returns the structural part of an announcement, for comparison."""
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


def _target_load(
    entry: target_directory.Entry, models: frozenset[str], now: float
) -> messages.TargetLoad:
    state = entry.state
    return messages.TargetLoad(
        target=state.target,
        sequence=state.sequence,
        age_ms=_age_ms(entry, now),
        loads=[
            messages.ReplicaLoad(
                replica=short_replica_id(replica.order_id),
                running=replica.running,
                waiting=replica.waiting,
            )
            for replica in state.replicas
            if replica.model in models
        ],
        cache_batch=state.cache_batch,
        cache_events=state.cache_events,
    )


def _estimated_bytes(load: messages.TargetLoad) -> int:
    return (
        _TARGET_LOAD_BYTES
        + _REPLICA_LOAD_BYTES * len(load.loads)
        + _CACHE_EVENT_BYTES * len(load.cache_events)
    )


def _age_ms(entry: target_directory.Entry, now: float) -> int:
    return max(0, int((now - entry.announced_at) * 1000))
