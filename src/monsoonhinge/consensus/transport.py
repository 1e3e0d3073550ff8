"""Connections between the members of the cluster."""

import contextlib

from monsoonhinge.consensus import types
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision


def sender_id(message: types.RaftMessage) -> str:
    """Returns the member id of the sender of a Raft message."""
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
    """Sends Raft messages to members.

    Attributes:
        peers: Connections to the other members, by member name.
    """

    def __init__(
        self, *, identity: connection.Identity, handler: connection.Handler
    ) -> None:
        self.peers: dict[str, endpoint.Client] = {}
        self._identity = identity
        self._handler = handler
        self._reply_connections: dict[str, connection.Connection] = {}
        self._supervisor = supervision.Supervisor()

    async def stop(self) -> None:
        """Closes the connections to all members."""
        for peer in self.peers.values():
            await peer.stop()

    def connect(self, *, name: str, host: str, port: int) -> None:
        """Maintains a connection to a member; reconnects to a new address."""
        peer = self.peers.get(name)
        if name == self._identity.node or (
            peer is not None and (peer.host, peer.port) == (host, port)
        ):
            return
        if peer is not None:
            self._supervisor.spawn("disconnect", peer.stop())
        self.peers[name] = endpoint.Client(
            host=host,
            port=port,
            identity=self._identity,
            handler=self._handler,
        )
        self.peers[name].start()

    def connect_members(self, configuration: types.Configuration) -> None:
        """Connects to all other members of a configuration."""
        for member in configuration.members:
            self.connect(name=member.name, host=member.host, port=member.port)

    def set_reply_connection(
        self, member_id: str, link: connection.Connection
    ) -> None:
        """Records the connection on which a member sent a message."""
        self._reply_connections[member_id] = link

    def remove_reply_connections(self, link: connection.Connection) -> None:
        """Removes the members recorded for a closed connection."""
        for member_id, reply_connection in list(
            self._reply_connections.items()
        ):
            if reply_connection is link:
                del self._reply_connections[member_id]

    def send(self, member_id: str, message: types.RaftMessage) -> None:
        """Sends a message if the member is connected, else drops it.

        A learner that does not know the leader's address yet replies on the
        connection on which it received the leader's message.
        """
        peer = self.peers.get(types.member_name(member_id))
        link = None if peer is None else peer.connection
        if link is None:
            link = self._reply_connections.get(member_id)
        if link is not None:
            with contextlib.suppress(errors.ConnectionLost):
                link.notify(message)
