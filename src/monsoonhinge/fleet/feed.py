"""Sends registrations and placements to the gateways that subscribe."""

from collections.abc import Callable
import contextlib

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

    def watch(self, link: connection.Connection) -> None:
        """Subscribes a gateway and sends it all registrations."""
        self.links[link] = link.remote.node
        self.send_all(link)

    def discard(self, link: connection.Connection) -> str:
        """Ends a subscription; returns the gateway that had it, or ""."""
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
        """Sends changed registrations to all gateways."""
        if changed:
            self.notify(self._message(changed))

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
