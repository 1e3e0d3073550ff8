"""Connections between the control members."""

import asyncio
import contextlib

from monsoonhinge.consensus import types
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors


def sender(message: types.RaftMessage) -> str:
    """Returns the id of the member that sent a message."""
    match message:
        case messages.VoteRequest():
            return message.candidate
        case messages.VoteReply():
            return message.voter
        case messages.AppendReply() | messages.SnapshotReply():
            return message.follower
        case _:
            return message.leader


class Transport:
    """Sends Raft messages to members by id.

    Attributes:
        peers: Connections to the other members by name.
    """

    def __init__(
        self, *, identity: connection.Identity, handler: connection.Handler
    ) -> None:
        self.peers: dict[str, endpoint.Client] = {}
        self._identity = identity
        self._handler = handler
        self._routes: dict[str, connection.Connection] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Closes all connections."""
        for peer in self.peers.values():
            await peer.stop()

    def connect(self, *, name: str, host: str, port: int) -> None:
        """Keeps a connection to a member of this name."""
        peer = self.peers.get(name)
        if name == self._identity.node or (
            peer is not None and (peer.host, peer.port) == (host, port)
        ):
            return
        if peer is not None:
            task = asyncio.get_running_loop().create_task(peer.stop())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        self.peers[name] = endpoint.Client(
            host=host,
            port=port,
            identity=self._identity,
            handler=self._handler,
        )
        self.peers[name].start()

    def follow(self, configuration: types.Configuration) -> None:
        """Connects to all members of a configuration."""
        for member in configuration.members:
            self.connect(name=member.name, host=member.host, port=member.port)

    def note_route(self, member_id: str, link: connection.Connection) -> None:
        """Notes the connection on which a member was heard."""
        self._routes[member_id] = link

    def forget(self, link: connection.Connection) -> None:
        """Drops routes over a connection that has ended."""
        for member_id, route in list(self._routes.items()):
            if route is link:
                del self._routes[member_id]

    def send(self, member_id: str, message: types.RaftMessage) -> None:
        """Sends a message if the member is connected; else it is lost.

        A learner that does not know the leader's address yet replies on the
        connection on which it heard the leader.
        """
        peer = self.peers.get(types.member_name(member_id))
        link = None if peer is None else peer.connection
        if link is None:
            link = self._routes.get(member_id)
        if link is not None:
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(message)
