"""Server and reconnecting client of the internal protocol."""

import asyncio
import logging
import random
from typing import TypeVar

from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

_RECONNECT_MIN_S = 0.05
_RECONNECT_MAX_S = 0.4

_LOG = logging.getLogger(__name__)

_Reply = TypeVar("_Reply")


class Server:
    """Accepts connections from other processes.

    Attributes:
        connections: Authenticated connections.
    """

    def __init__(
        self, *, identity: connection.Identity, handler: connection.Handler
    ) -> None:
        self.identity = identity
        self.connections: set[connection.Connection] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, *, host: str, port: int) -> None:
        """Starts listening on an address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: connection.Connection(
                identity=self.identity, handler=self, client=False
            ),
            host,
            port,
        )

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self.connections):
            link.abort()

    def connected(self, link: connection.Connection) -> None:
        """Registers an authenticated connection."""
        self.connections.add(link)
        self._handler.connected(link)

    def disconnected(self, link: connection.Connection) -> None:
        """Removes a connection that has ended."""
        self.connections.discard(link)
        self._handler.disconnected(link)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Forwards a message to the handler."""
        return await self._handler.handle(link, message)


class Client:
    """Client that keeps a connection to one address and reconnects.

    Attributes:
        host: IP address of the server.
        port: TCP port of the server.
        connection: Authenticated connection, or None while disconnected.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        identity: connection.Identity,
        handler: connection.Handler,
        rng: random.Random | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.connection: connection.Connection | None = None
        self._identity = identity
        self._handler = handler
        self._rng = rng or random.Random()
        self._task: asyncio.Task[None] | None = None
        self._supervisor = supervision.Supervisor()
        self._disconnected = asyncio.Event()

    @property
    def address(self) -> str:
        """Address of the server, ``host:port``."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Starts connecting in the background."""
        if self._task is None:
            self._task = self._supervisor.start("connect", self._run)

    async def stop(self) -> None:
        """Closes the connection and stops reconnecting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        if self.connection is not None:
            self.connection.abort()

    async def request(
        self,
        message: messages.Message,
        reply_type: type[_Reply],
        *,
        timeout: float,
    ) -> _Reply:
        """Sends a request over the current connection.

        Raises:
            errors.ConnectionLost: There is no connection, or it was lost
                before the reply arrived.
            errors.RequestTimeout: No reply arrived within the timeout.
            errors.RemoteError: The peer replied with an error.
        """
        return await self._require_connection(message).request(
            message, reply_type, timeout=timeout
        )

    def notify(self, message: messages.Message) -> None:
        """Sends a notification over the current connection.

        Raises:
            errors.ConnectionLost: There is no connection.
        """
        self._require_connection(message).notify(message)

    def connected(self, link: connection.Connection) -> None:
        """Stores the authenticated connection."""
        self.connection = link
        self._handler.connected(link)

    def disconnected(self, link: connection.Connection) -> None:
        """Clears the connection and makes the background task reconnect."""
        if self.connection is link:
            self.connection = None
        self._disconnected.set()
        self._handler.disconnected(link)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Forwards a message to the handler."""
        return await self._handler.handle(link, message)

    def _require_connection(
        self, message: messages.Message
    ) -> connection.Connection:
        if self.connection is None:
            raise errors.ConnectionLost(
                "not connected", step=type(message).__name__, peer=self.address
            )
        return self.connection

    async def _run(self) -> None:
        delay = _RECONNECT_MIN_S
        while True:
            self._disconnected.clear()
            if await self._connect():
                delay = _RECONNECT_MIN_S
                await self._disconnected.wait()
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(delay * 2, _RECONNECT_MAX_S)

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connection.HANDSHAKE_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: connection.Connection(
                        identity=self._identity, handler=self, client=True
                    ),
                    self.host,
                    self.port,
                )
                await link.wait_ready()
        except (OSError, TimeoutError, errors.MonsoonhingeError) as error:
            _LOG.debug(
                "cannot connect: %s",
                error,
                extra={"step": "connect", "peer": self.address},
            )
            return False
        return True
