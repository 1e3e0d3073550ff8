"""Connections of a gateway to all schedulers."""

from collections.abc import Callable, Iterable, Sequence
import contextlib
from typing import TypeVar

from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_Reply = TypeVar("_Reply")


class SchedulerConnections:
    """Sends messages to all schedulers and receives their updates.

    Attributes:
        peers: One reconnecting peer per scheduler.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[settings.Address],
        identity: connection.Identity,
        availability_zone: str,
        on_message: Callable[[object, messages.Message], None],
        on_disconnected: Callable[[object], None],
    ) -> None:
        self.peers = [
            endpoint.Client(
                host=address.host,
                port=address.port,
                identity=identity,
                handler=self,
            )
            for address in addresses
        ]
        self._identity = identity
        self._availability_zone = availability_zone
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._preferred_index = 0
        # Connection of the current load subscription, and its models.
        self._load_subscription: tuple[object, frozenset[str]] = (
            None,
            frozenset(),
        )

    def start(self) -> None:
        """Starts connecting to all schedulers."""
        for peer in self.peers:
            peer.start()

    async def stop(self) -> None:
        """Closes all connections."""
        for peer in self.peers:
            await peer.stop()

    def broadcast(self, message: messages.Message) -> None:
        """Sends a notification to every connected scheduler."""
        for peer in self.peers:
            with contextlib.suppress(errors.ConnectionLost):
                peer.notify(message)

    def subscribe_loads(self, models: Iterable[str]) -> None:
        """Subscribes to load updates for some models at one scheduler.

        Schedulers send the same updates, so that a second subscription would
        only double the traffic.

        Args:
            models: All models of interest; replaces the earlier ones.
        """
        model_set = frozenset(models)
        link = next(
            (peer.connection for peer in self.peers if peer.connection), None
        )
        if link is None or self._load_subscription == (link, model_set):
            return
        previous = self._load_subscription[0]
        for peer in self.peers:
            if peer.connection is not None and peer.connection is previous:
                peer.connection.notify(messages.Interest())
        link.notify(messages.Interest(models=sorted(model_set)))
        self._load_subscription = (link, model_set)

    async def request(
        self,
        message: messages.Message,
        reply_type: type[_Reply],
        *,
        timeout: float,
    ) -> _Reply:
        """Sends a request to the schedulers in turn until one replies.

        The scheduler that replied last is tried first.

        Args:
            message: The request; only the active scheduler replies to it.
            reply_type: Class of the reply.
            timeout: Seconds to wait for each scheduler.

        Raises:
            errors.MonsoonhingeError: No scheduler replied.
        """
        failure: errors.MonsoonhingeError = errors.ConnectionLost(
            "no scheduler is connected", step=type(message).__name__
        )
        for _ in range(len(self.peers)):
            peer = self.peers[self._preferred_index % len(self.peers)]
            try:
                return await peer.request(message, reply_type, timeout=timeout)
            except errors.MonsoonhingeError as error:
                failure = error
                self._preferred_index += 1
        raise failure

    def connected(self, link: connection.Connection) -> None:
        """Subscribes to the directory of a scheduler."""
        link.notify(
            messages.Subscribe(
                gateway=self._identity.node,
                availability_zone=self._availability_zone,
            )
        )

    def disconnected(self, link: connection.Connection) -> None:
        """Drops the directory of a scheduler; its entries expire by age."""
        self._on_disconnected(link)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Passes a message of a scheduler to the gateway; sends no reply."""
        self._on_message(link, message)
        return None
