"""Directory subscriptions of gateways."""

from collections.abc import Iterable
import contextlib
import typing

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import publisher


class Link(typing.Protocol):
    """A connection that sends notifications."""

    def notify(self, message: messages.Message) -> None:
        """Sends a message without waiting for a reply."""


class Subscriptions:
    """Sends the directory and its updates to subscribed gateways.

    Attributes:
        gateways: Node name of the gateway by subscribed connection.
    """

    def __init__(self, *, directory: target_directory.Directory) -> None:
        self.gateways: dict[Link, str] = {}
        self._publisher = publisher.Publisher(directory=directory)

    def subscribe(self, link: Link, gateway: str) -> None:
        """Subscribes a gateway; the next flush sends it the directory."""
        self.gateways[link] = gateway
        self._publisher.subscribe(link)

    def set_interest(self, link: Link, models: Iterable[str]) -> None:
        """Sets the models whose load is sent to a gateway."""
        self._publisher.set_interest(link, models)

    def unsubscribe(self, link: Link) -> None:
        """Removes a connection that has ended."""
        self.gateways.pop(link, None)
        self._publisher.unsubscribe(link)

    def update_target(self, state: messages.TargetState) -> None:
        """Processes an announcement that the directory has stored."""
        self._publisher.update_target(state)

    def remove_targets(self, targets: Iterable[str]) -> None:
        """Removes targets that have expired in the directory."""
        self._publisher.remove_targets(targets)

    def flush(self, now: float) -> None:
        """Sends the updates that are due to each gateway."""
        for key, due in self._publisher.flush(now):
            link = typing.cast(Link, key)
            with contextlib.suppress(errors.ConnectionLost):
                for message in due:
                    link.notify(message)
