"""Gateways that subscribe to the directory."""

from collections.abc import Iterable
import contextlib
import typing

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import publisher


class Link(typing.Protocol):
    """A connection that takes notifications."""

    def notify(self, message: messages.Message) -> None:
        """Sends a message without waiting for an answer."""


class Subscriptions:
    """Sends the directory to the gateways that subscribe.

    Attributes:
        links: Subscribed connections with the node name of each.
    """

    def __init__(self, *, directory: target_directory.Directory) -> None:
        self.links: dict[Link, str] = {}
        self._publisher = publisher.Publisher(directory=directory)

    def add(self, link: Link, gateway: str) -> None:
        """Subscribes a gateway; it gets the directory with the next flush."""
        self.links[link] = gateway
        self._publisher.subscribe(link)

    def follow(self, link: Link, models: Iterable[str]) -> None:
        """Sets the models whose load a gateway follows."""
        self._publisher.set_interest(link, models)

    def discard(self, link: Link) -> None:
        """Forgets a connection that has ended."""
        self.links.pop(link, None)
        self._publisher.unsubscribe(link)

    def change(self, state: messages.TargetState) -> None:
        """Takes an announcement that the directory has accepted."""
        self._publisher.announced(state)

    def remove(self, targets: Iterable[str]) -> None:
        """Takes targets that the directory has expired."""
        self._publisher.removed(targets)

    def flush(self, now: float) -> None:
        """Sends what is due."""
        for key, due in self._publisher.flush(now):
            link = typing.cast(Link, key)
            with contextlib.suppress(errors.ConnectionLost):
                for message in due:
                    link.notify(message)
