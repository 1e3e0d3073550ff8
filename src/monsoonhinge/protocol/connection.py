"""Connection that carries requests, replies and notifications over TCP."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import os
import typing
from typing import TypeVar

import prometheus_client

from monsoonhinge.protocol import codec
from monsoonhinge.protocol import error_replies
from monsoonhinge.protocol import frames
from monsoonhinge.protocol import keepalive
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 5.0

# A connection with more unsent bytes is closed, so that a peer that stops
# reading cannot exhaust the memory of this process.
MAX_UNSENT_BYTES = 32 * 1024 * 1024

_LOG = logging.getLogger(__name__)

_SENT_BYTES = prometheus_client.Counter(
    "monsoonhinge_peer_sent_bytes_total",
    "Bytes sent to other processes of the system, by their role",
    ["role"],
)
_RECEIVED_BYTES = prometheus_client.Counter(
    "monsoonhinge_peer_received_bytes_total",
    "Bytes received from other processes of the system, by their role",
    ["role"],
)

_Reply = TypeVar("_Reply")


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process in the handshake.

    Attributes:
        node: Node name from the settings.
        role: ``control``, ``scheduler``, ``gateway`` or ``operator``.
        incarnation: Number that is unique to each start of the process.
        secret: Cluster secret; never sent.
    """

    node: str
    role: str
    incarnation: int
    secret: bytes


class Handler(typing.Protocol):
    """Callbacks for the events and messages of connections."""

    def connected(self, link: "Connection") -> None:
        """Called once when both sides have authenticated."""

    def disconnected(self, link: "Connection") -> None:
        """Called once when an authenticated connection has ended."""

    async def handle(
        self, link: "Connection", message: messages.Message
    ) -> messages.Message | None:
        """Handles a message and returns the reply to a request.

        None is sent as Ack, and a raised MonsoonhingeError as an Error reply.
        The result for a notification is ignored.
        """


class Connection(asyncio.Protocol):
    """An authenticated connection to another process.

    Attributes:
        peer: Address of the other side, ``host:port``.
        peer_hello: Hello of the other side; not authenticated until ``ready``.
        ready: Whether both sides have authenticated.
    """

    def __init__(
        self, *, identity: Identity, handler: Handler, client: bool
    ) -> None:
        self.peer = ""
        self.peer_hello = messages.Hello()
        self.ready = False
        self.ready_event = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._identity = identity
        self._handler = handler
        self._client = client
        self._transport: asyncio.Transport | None = None
        self._decoder = frames.FrameDecoder(peer="")
        self._hello = b""
        self._send_authenticator: frames.FrameAuthenticator | None = None
        self._receive_authenticator: frames.FrameAuthenticator | None = None
        self._pending_replies: dict[int, asyncio.Future[messages.Message]] = {}
        self._next_id = 1
        self._tasks: set[asyncio.Task[None]] = set()
        self._handshake_timer: asyncio.TimerHandle | None = None
        self._count_sent: Callable[[float], None] = _SENT_BYTES.labels("").inc
        self._count_received: Callable[[float], None] = _RECEIVED_BYTES.labels(
            ""
        ).inc

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enables keepalive and sends the hello."""
        self._transport = typing.cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("peername")[:2]
        self.peer = f"{host}:{port}"
        self._decoder.peer = self.peer
        keepalive.enable(transport.get_extra_info("socket"))
        self._hello = codec.encode(
            codec.Envelope(
                id=0,
                reply=False,
                body=messages.Hello(
                    version=PROTOCOL_VERSION,
                    node=self._identity.node,
                    role=self._identity.role,
                    incarnation=self._identity.incarnation,
                    nonce=os.urandom(frames.NONCE_BYTES),
                ),
            )
        )
        self._transport.write(frames.encode_frame(self._hello))
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._abort_unless_ready
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails all requests that wait for a reply."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        was_ready, self.ready = self.ready, False
        self.ready_event.set()
        self._writable.set()
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(
                    errors.ConnectionLost(
                        "connection lost", step="await reply", peer=self.peer
                    )
                )
        self._pending_replies.clear()
        if was_ready:
            self._handler.disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes and handles all complete frames."""
        self._count_received(len(data))
        try:
            for payload in self._decoder.feed(data):
                self._receive_frame(payload)
        except errors.ProtocolError as error:
            _LOG.warning(
                "closing connection: %s",
                error,
                extra={"step": error.step, "peer": self.peer},
            )
            self.abort()

    async def request(
        self,
        message: messages.Message,
        reply_type: type[_Reply],
        *,
        timeout: float,
    ) -> _Reply:
        """Sends a request and returns its reply.

        Args:
            message: The request.
            reply_type: Class of the reply.
            timeout: Seconds to wait.

        Raises:
            errors.ConnectionLost: The connection ended first. The peer may
                have handled the request.
            errors.RequestTimeout: No reply arrived in time. The peer may have
                handled the request.
            errors.RemoteError: The peer replied with an error.
            errors.MessageTooLarge: The request exceeds the largest frame.
        """
        step = type(message).__name__
        request_id = self._next_id
        self._next_id += 1
        future: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[request_id] = future
        try:
            self._write(
                codec.Envelope(id=request_id, reply=False, body=message)
            )
            async with asyncio.timeout(timeout):
                reply = await future
        except TimeoutError as error:
            raise errors.RequestTimeout(
                f"no reply within {timeout:.3f} s", step=step, peer=self.peer
            ) from error
        finally:
            self._pending_replies.pop(request_id, None)
        if isinstance(reply, messages.Error):
            raise errors.RemoteError(
                reply.message,
                code=reply.code,
                leader=reply.leader,
                step=step,
                peer=self.peer,
            )
        if not isinstance(reply, reply_type):
            raise errors.ProtocolError(
                f"unexpected reply of type {type(reply).__name__}",
                step=step,
                peer=self.peer,
            )
        return reply

    def notify(self, message: messages.Message) -> None:
        """Sends a message that has no reply.

        Raises:
            errors.ConnectionLost: The connection is closed, or the handshake
                is not complete.
            errors.MessageTooLarge: The message exceeds the largest frame.
        """
        self._write(codec.Envelope(id=0, reply=False, body=message))

    def pause_writing(self) -> None:
        """Called by the transport while many bytes are unsent."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by the transport once few bytes are unsent."""
        self._writable.set()

    async def drain(self) -> None:
        """Waits until few bytes are unsent, or the connection has ended."""
        await self._writable.wait()

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    async def wait_ready(self) -> None:
        """Waits for the end of the handshake.

        Raises:
            errors.ConnectionLost: The handshake failed.
        """
        await self.ready_event.wait()
        if not self.ready:
            raise errors.ConnectionLost(
                "handshake failed", step="handshake", peer=self.peer
            )

    def _write(self, envelope: codec.Envelope) -> None:
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or self._send_authenticator is None
        ):
            raise errors.ConnectionLost(
                "not connected",
                step=type(envelope.body).__name__,
                peer=self.peer,
            )
        payload = codec.encode(envelope)
        # Checked before the payload is signed: a frame that is counted and not
        # sent would invalidate the tags of all later ones.
        frames.check_size(
            len(payload) + frames.TAG_BYTES,
            step=type(envelope.body).__name__,
            peer=self.peer,
        )
        data = frames.encode_frame(self._send_authenticator.sign(payload))
        transport.write(data)
        self._count_sent(len(data))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            _LOG.warning(
                "closing connection: too many unsent bytes",
                extra={"step": "write", "peer": self.peer},
            )
            transport.abort()

    def _receive_frame(self, payload: bytes) -> None:
        if self._receive_authenticator is None:
            self._receive_hello(payload)
            return
        envelope = codec.decode(
            self._receive_authenticator.verify(payload, peer=self.peer)
        )
        if not self.ready:
            self._finish_handshake(envelope.body)
        elif envelope.reply:
            future = self._pending_replies.get(envelope.id)
            if future is not None and not future.done():
                future.set_result(envelope.body)
        else:
            task = asyncio.get_running_loop().create_task(
                self._dispatch(envelope)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _receive_hello(self, payload: bytes) -> None:
        hello = codec.decode(payload).body
        if not isinstance(hello, messages.Hello):
            raise errors.ProtocolError(
                "expected Hello", step="handshake", peer=self.peer
            )
        if hello.version != PROTOCOL_VERSION:
            raise errors.ProtocolError(
                f"peer uses protocol version {hello.version}, "
                f"this process uses {PROTOCOL_VERSION}",
                step="handshake",
                peer=self.peer,
            )
        self.peer_hello = hello
        local_hello, peer_hello = self._hello, payload
        key = frames.derive_session_key(
            secret=self._identity.secret,
            client_hello=local_hello if self._client else peer_hello,
            server_hello=peer_hello if self._client else local_hello,
        )
        directions = (b"client", b"server")
        sending, receiving = directions if self._client else directions[::-1]
        self._send_authenticator = frames.FrameAuthenticator(
            key=key, direction=sending
        )
        self._receive_authenticator = frames.FrameAuthenticator(
            key=key, direction=receiving
        )
        self._write(
            codec.Envelope(id=0, reply=False, body=messages.HelloProof())
        )

    def _finish_handshake(self, proof: messages.Message) -> None:
        if not isinstance(proof, messages.HelloProof):
            raise errors.ProtocolError(
                "expected HelloProof", step="handshake", peer=self.peer
            )
        # The role is used as a label only once it is authenticated, so that an
        # unauthenticated peer cannot create any number of time series.
        self._count_sent = _SENT_BYTES.labels(self.peer_hello.role).inc
        self._count_received = _RECEIVED_BYTES.labels(self.peer_hello.role).inc
        self.ready = True
        self.ready_event.set()
        self._handler.connected(self)

    def _abort_unless_ready(self) -> None:
        if not self.ready:
            self.abort()

    async def _dispatch(self, envelope: codec.Envelope) -> None:
        step = type(envelope.body).__name__
        reply: messages.Message | None
        try:
            reply = await self._handler.handle(self, envelope.body)
        except Exception as error:
            reply = error_replies.from_exception(
                error, step=step, peer=self.peer
            )
        if envelope.id == 0:
            return
        try:
            self._reply(envelope.id, reply or messages.Ack())
        except errors.ConnectionLost:
            _LOG.debug(
                "reply not sent", extra={"step": step, "peer": self.peer}
            )

    def _reply(self, request_id: int, reply: messages.Message) -> None:
        """Sends a reply, or an error in place of one that is too large."""
        try:
            self._write(codec.Envelope(id=request_id, reply=True, body=reply))
        except errors.MessageTooLarge as error:
            self._write(
                codec.Envelope(
                    id=request_id,
                    reply=True,
                    body=error_replies.from_exception(
                        error, step=error.step, peer=self.peer
                    ),
                )
            )
