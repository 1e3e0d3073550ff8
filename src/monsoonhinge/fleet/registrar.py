"""Registers targets at a control member and publishes what changes."""

import asyncio
from collections.abc import Callable, Collection, Iterable
import contextlib
import typing

from monsoonhinge.fleet import feed
from monsoonhinge.fleet import held_registrations
from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.protocol import registration_batches
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

# State in the log of a target whose service no configuration names.
_HELD = "held"


class Member(typing.Protocol):
    """Connection to another control member."""

    def notify(self, message: messages.Message) -> None:
        """Sends a message without a reply.

        Raises:
            errors.ConnectionLost: There is no connection.
        """


class Registrar:
    """Updates the registry, and tells gateways and members what changed.

    Attributes:
        registry: Registrations of this member.
    """

    def __init__(
        self,
        *,
        registry: target_registry.Registry,
        feed: feed.Feed,
        members: Callable[[], Iterable[Member]],
        on_change: Callable[[], None],
    ) -> None:
        """Initializes the registrar.

        Args:
            registry: Registrations of this member.
            feed: Sends registrations to gateways.
            members: Returns the connections to the other members.
            on_change: Called after registrations have changed.
        """
        self.registry = registry
        self._held = held_registrations.HeldRegistrations()
        self._feed = feed
        self._members = members
        self._on_change = on_change

    def announce(self, registration: fleet.Registration) -> None:
        """Records an announcement that a target sent to this member."""
        if self._holds_back(registration, from_target=True):
            return
        self._publish(self.registry.record_announcement(registration, _now()))

    def deregister(self, target: str) -> None:
        """Records a deregistration that a target sent to this member."""
        self._held.deregister(target)
        self._publish(self.registry.deregister(target, _now()))

    def record_leaving(self, target: str) -> None:
        """Records that a target said in a response that it is leaving."""
        self._publish(self.registry.record_leaving(target, _now()))

    def merge(self, message: fleet.Registrations, *, from_member: bool) -> None:
        """Merges registrations of a member, or what a gateway has learned.

        Members publish to each other. What a gateway has learned is passed on
        to them, since it may not reach all.
        """
        for item in message.registrations:
            if self._holds_back(item, from_target=False):
                continue
            changed = self.registry.merge(item, _now())
            if from_member:
                self._feed.publish(changed)
            else:
                self._publish(changed)
        self._on_change()

    def configure(self, services: Collection[str]) -> None:
        """Applies the services that a new configuration names."""
        for held in self._held.release(services):
            if held.from_target:
                self.announce(held.registration)
            else:
                self._feed.publish(
                    self.registry.merge(held.registration, _now())
                )
        self._on_change()

    def expire(self) -> None:
        """Marks targets without recent announcements, and publishes them."""
        self._publish(self.registry.expire(_now()))

    def _holds_back(
        self, registration: fleet.Registration, *, from_target: bool
    ) -> bool:
        """Holds a registration back if no configuration names its service."""
        entry = self.registry.entries.get(registration.target)
        known = None if entry is None else entry.registration
        if not self._held.must_hold(registration, known):
            return False
        if self._held.hold(registration, from_target=from_target):
            _emit(registration, state=_HELD)
        return True

    def _publish(self, changed: list[fleet.Registration]) -> None:
        if not changed:
            return
        for item in changed:
            _emit(item, state=item.state)
        self._feed.publish(changed)
        for member in self._members():
            with contextlib.suppress(errors.ConnectionLost):
                for batch in registration_batches.split(changed):
                    member.notify(batch)
        self._on_change()


def _emit(registration: fleet.Registration, *, state: str) -> None:
    events.emit(
        events.TARGET,
        target=registration.target,
        incarnation=registration.incarnation,
        sequence=registration.sequence,
        state=state,
        address=registration.address,
        service=registration.service,
        leaving=registration.leaving,
        software_version=registration.software_version,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
