"""Sends registrations and placements to subscribed gateways."""

from collections.abc import Callable, Iterable
import contextlib
import dataclasses

from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.protocol import registration_batches
from monsoonhinge.runtime import errors


class Feed:
    """Publishes updates to subscribed gateways.

    Attributes:
        gateways: Names of the subscribed gateways by connection.
    """

    def __init__(
        self,
        *,
        registry: target_registry.Registry,
        member_names: Callable[[], list[str]],
    ) -> None:
        self.gateways: dict[connection.Connection, str] = {}
        self._registry = registry
        self._member_names = member_names
        self._registration_subscribers: set[connection.Connection] = set()
        self._last_published: dict[str, fleet.Registration] = {}

    def subscribe(
        self, link: connection.Connection, *, placements_only: bool
    ) -> None:
        """Subscribes a gateway, or changes its subscription.

        Registrations are sent only without ``placements_only``.
        """
        self.gateways[link] = link.peer_hello.node
        if placements_only:
            self._registration_subscribers.discard(link)
            self._send_batches([link], [])
        else:
            self._registration_subscribers.add(link)
            self.send_registrations(link)

    def unsubscribe(self, link: connection.Connection) -> str:
        """Ends a subscription; returns the name of its gateway, or ""."""
        self._registration_subscribers.discard(link)
        return self.gateways.pop(link, "")

    def send_registrations(self, link: connection.Connection) -> None:
        """Sends all registrations over one connection."""
        self._send_batches(
            [link],
            [entry.registration for entry in self._registry.entries.values()],
        )

    def publish(self, changed: list[fleet.Registration]) -> None:
        """Sends changed registrations, unless gateways see no difference."""
        updates = []
        for registration in changed:
            visible = _fields_for_gateways(registration)
            if self._last_published.get(registration.target) != visible:
                self._last_published[registration.target] = visible
                updates.append(
                    dataclasses.replace(visible, sequence=registration.sequence)
                )
        if updates:
            self._send_batches(self._registration_subscribers, updates)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all subscribed gateways."""
        for link in list(self.gateways):
            self._send(link, message)

    def _send_batches(
        self,
        links: Iterable[connection.Connection],
        registrations: list[fleet.Registration],
    ) -> None:
        batches = list(
            registration_batches.split(
                registrations,
                subscribers=len(set(self.gateways.values())),
                members=self._member_names(),
            )
        )
        for link in links:
            for batch in batches:
                self._send(link, batch)

    def _send(
        self, link: connection.Connection, message: messages.Message
    ) -> None:
        with contextlib.suppress(errors.ConnectionLost):
            link.notify(message)


def _fields_for_gateways(
    registration: fleet.Registration,
) -> fleet.Registration:
    """Returns a registration without the fields that only placement uses."""
    return dataclasses.replace(
        registration,
        sequence=0,
        slow_for_ms=0,
        remaining_ms=0,
        in_memory=[],
        on_disk=[],
    )
