"""Sends the directory to the gateways that subscribe."""

import dataclasses
import typing

from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory as target_directory

# A change of load alone is sent at most this often per target.
LOAD_INTERVAL_S = 0.5

# Targets per message, which keeps each well below the largest frame.
_PART_TARGETS = 500


class Link(typing.Protocol):
    """A connection that takes notifications."""

    def notify(self, message: messages.Message) -> None:
        """Sends a message without waiting for an answer."""


class Subscriptions:
    """Subscribed gateways and the changes not sent to them yet.

    Attributes:
        links: Subscribed connections with the node name of each.
    """

    def __init__(self) -> None:
        self.links: dict[Link, str] = {}
        self._changed: dict[str, list[messages.TargetState]] = {}
        self._removed: list[str] = []
        self._sent: dict[str, tuple[messages.TargetState, float]] = {}

    def add(
        self,
        link: Link,
        gateway: str,
        directory: target_directory.Directory,
        now: float,
    ) -> None:
        """Subscribes a gateway and sends it the whole directory."""
        self.links[link] = gateway
        states = directory.snapshot(now)
        first, rest = states[:_PART_TARGETS], states[_PART_TARGETS:]
        link.notify(messages.DirectoryUpdate(full=True, targets=first))
        while rest:
            part, rest = rest[:_PART_TARGETS], rest[_PART_TARGETS:]
            link.notify(messages.DirectoryUpdate(targets=part))

    def discard(self, link: Link) -> None:
        """Forgets a connection that has ended."""
        self.links.pop(link, None)

    def change(self, state: messages.TargetState) -> None:
        """Takes a new announcement to be sent with the next flush.

        An earlier one that was not sent yet is dropped unless it carries
        cache events, which no later announcement repeats.
        """
        waiting = self._changed.setdefault(state.target, [])
        waiting[:] = [item for item in waiting if item.cache_events]
        waiting.append(state)

    def remove(self, targets: list[str]) -> None:
        """Takes targets that are gone."""
        for target in targets:
            self._changed.pop(target, None)
            self._sent.pop(target, None)
        self._removed += targets

    def flush(
        self, directory: target_directory.Directory, now: float
    ) -> messages.DirectoryUpdate | None:
        """Sends what is due and returns it, or None if nothing was."""
        targets = []
        for target, states in list(self._changed.items()):
            if not self._is_due(states, now):
                continue
            del self._changed[target]
            self._sent[target] = (states[-1], now)
            entry = directory.entries.get(target)
            heard_at = entry.heard_at if entry else now
            targets += [
                dataclasses.replace(state, age_ms=int((now - heard_at) * 1000))
                for state in states
            ]
        if not targets and not self._removed:
            return None
        update = messages.DirectoryUpdate(
            targets=targets, removed=self._removed
        )
        self._removed = []
        for link in list(self.links):
            link.notify(update)
        return update

    def _is_due(self, states: list[messages.TargetState], now: float) -> bool:
        sent = self._sent.get(states[-1].target)
        if sent is None or now - sent[1] >= LOAD_INTERVAL_S:
            return True
        return any(
            state.cache_events or _shape(state) != _shape(sent[0])
            for state in states
        )


def _shape(state: messages.TargetState) -> messages.TargetState:
    """Returns an announcement without its load and its number."""
    return dataclasses.replace(
        state,
        sequence=0,
        age_ms=0,
        cache_batch=0,
        replicas=[
            dataclasses.replace(replica, running=0, waiting=0)
            for replica in state.replicas
        ],
    )
