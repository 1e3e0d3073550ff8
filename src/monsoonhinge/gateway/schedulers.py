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


class Schedulers:
    """Relays announcements and demand, and receives directories.

    Attributes:
        peers: One connection per scheduler.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[settings.Address],
        identity: connection.Identity,
        availability_zone: str,
        on_message: Callable[[object, messages.Message], None],
        on_lost: Callable[[object], None],
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
        self._on_lost = on_lost
        self._active = 0
        # The connection over which loads are followed, and the models.
        self._followed: tuple[object, frozenset[str]] = (None, frozenset())

    def start(self) -> None:
        """Begins to connect."""
        for peer in self.peers:
            peer.start()

    async def stop(self) -> None:
        """Closes all connections."""
        for peer in self.peers:
            await peer.stop()

    def broadcast(self, message: messages.Message) -> None:
        """Sends a notification to every reachable scheduler."""
        for peer in self.peers:
            with contextlib.suppress(errors.ConnectionLost):
                peer.notify(message)

    def follow(self, models: Iterable[str]) -> None:
        """Follows the load of some models at one scheduler.

        Two schedulers would send the same loads, which costs twice the bytes.
        """
        wanted = frozenset(models)
        link = next(
            (peer.connection for peer in self.peers if peer.connection), None
        )
        if link is None or self._followed == (link, wanted):
            return
        before = self._followed[0]
        for peer in self.peers:
            if peer.connection is not None and peer.connection is before:
                peer.connection.notify(messages.Interest())
        link.notify(messages.Interest(models=sorted(wanted)))
        self._followed = (link, wanted)

    async def request(
        self,
        message: messages.Message,
        reply_type: type[_Reply],
        *,
        timeout: float,
    ) -> _Reply:
        """Asks the schedulers in turn, first the one that answered last.

        Args:
            message: The request; only the active scheduler answers it.
            reply_type: Class of the reply.
            timeout: Seconds that each scheduler has.

        Raises:
            errors.MonsoonhingeError: None of them answered.
        """
        failure: errors.MonsoonhingeError = errors.ConnectionLost(
            "no scheduler is connected", step=type(message).__name__
        )
        for _ in range(len(self.peers)):
            peer = self.peers[self._active % len(self.peers)]
            try:
                return await peer.request(message, reply_type, timeout=timeout)
            except errors.MonsoonhingeError as error:
                failure = error
                self._active += 1
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
        """Forgets the directory of a scheduler; entries expire by age."""
        self._on_lost(link)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Passes on what a scheduler publishes."""
        self._on_message(link, message)
        return None
