"""Sends registrations and placements to the gateways that subscribe."""

from collections.abc import Callable
import contextlib
import dataclasses

from monsoonhinge.fleet import registry as target_registry
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors


class Feed:
    """Subscribed gateways.

    Attributes:
        links: Connections with the name of each gateway.
    """

    def __init__(
        self,
        *,
        registry: target_registry.Registry,
        members: Callable[[], list[str]],
    ) -> None:
        self.links: dict[connection.Connection, str] = {}
        self._registry = registry
        self._members = members
        self._wants_all: set[connection.Connection] = set()
        self._sent: dict[str, fleet.Registration] = {}

    def watch(
        self, link: connection.Connection, *, placements_only: bool
    ) -> None:
        """Subscribes a gateway, or changes what it is sent."""
        self.links[link] = link.remote.node
        if placements_only:
            self._wants_all.discard(link)
            self._send(link, self._message([]))
        else:
            self._wants_all.add(link)
            self.send_all(link)

    def discard(self, link: connection.Connection) -> str:
        """Ends a subscription; returns the gateway that had it, or ""."""
        self._wants_all.discard(link)
        return self.links.pop(link, "")

    def send_all(self, link: connection.Connection) -> None:
        """Sends all registrations over one connection."""
        self._send(
            link,
            self._message(
                [
                    entry.registration
                    for entry in self._registry.entries.values()
                ]
            ),
        )

    def relay(self, changed: list[fleet.Registration]) -> None:
        """Sends to the gateways what they use of changed registrations."""
        news = []
        for registration in changed:
            used = _used_by_gateways(registration)
            if self._sent.get(registration.target) != used:
                self._sent[registration.target] = used
                news.append(
                    dataclasses.replace(used, sequence=registration.sequence)
                )
        if news:
            message = self._message(news)
            for link in self._wants_all:
                self._send(link, message)

    def notify(self, message: messages.Message) -> None:
        """Sends a message to all gateways."""
        for link in list(self.links):
            self._send(link, message)

    def _message(
        self, registrations: list[fleet.Registration]
    ) -> fleet.Registrations:
        return fleet.Registrations(
            registrations=registrations,
            subscribers=len(set(self.links.values())),
            members=self._members(),
        )

    def _send(
        self, link: connection.Connection, message: messages.Message
    ) -> None:
        with contextlib.suppress(errors.ConnectionLost):
            link.notify(message)


def _used_by_gateways(registration: fleet.Registration) -> fleet.Registration:
    """Returns a registration without what only placement needs."""
    return dataclasses.replace(
        registration,
        sequence=0,
        slow_for_ms=0,
        remaining_ms=0,
        in_memory=[],
        on_disk=[],
    )
