"""Client of the control members for gateways, schedulers and operators."""

import asyncio
import collections
from collections.abc import Sequence
import json
import logging
import typing
from typing import Any, TypeVar

from monsoonhinge.config import delta
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

PROBE_INTERVAL_S = 0.5
SWITCH_AFTER_S = 1.5

_ATTEMPT_TIMEOUT_S = 2.0
_RETRY_DELAY_S = 0.05

_LOG = logging.getLogger(__name__)

_Reply = TypeVar("_Reply")
_Result = TypeVar("_Result")


class Listener(typing.Protocol):
    """Learns about new configurations."""

    def config_changed(self, view: config_view.View) -> None:
        """Called after a new version is in effect in this process."""


class Client:
    """Talks to the control members.

    Attributes:
        view: Configuration in effect in this process.
        peers: Connections to the members by name.
    """

    def __init__(
        self,
        *,
        members: Sequence[settings.Member],
        identity: connection.Identity,
        listener: Listener | None = None,
    ) -> None:
        self.view = config_view.View()
        self.identity = identity
        self.peers = {
            member.name: connection.Peer(
                host=member.address.host,
                port=member.address.port,
                identity=identity,
                handler=self,
            )
            for member in members
        }
        self._listener = listener
        self._objects: dict[str, bytes] = {}
        self._parsed: dict[str, schema.AnyObject] = {}
        self._parts: list[bytes] = []
        self._leader = ""
        self._watched = ""
        self._order = collections.deque(self.peers)
        self._fresh_at: float | None = None
        self._watched_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self, *, watch: bool = True) -> None:
        """Connects to all members, and watches the configuration."""
        for peer in self.peers.values():
            peer.start()
        if watch:
            self._task = asyncio.get_running_loop().create_task(self._watch())

    async def stop(self) -> None:
        """Closes all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for peer in self.peers.values():
            await peer.stop()

    def staleness(self, now: float) -> float:
        """Returns seconds since everything committed was known here.

        Args:
            now: Current time of the event loop.
        """
        return float("inf") if self._fresh_at is None else now - self._fresh_at

    async def propose(
        self,
        command: commands.Command,
        result_type: type[_Result],
        *,
        timeout: float,
    ) -> _Result:
        """Commits a command, resending it after lost replies.

        Args:
            command: The command.
            result_type: Class of the result.
            timeout: Seconds until it gives up.

        Raises:
            errors.RequestTimeout: No leader confirmed in time. The command
                may have been committed.
        """
        reply = await self.request(
            messages.Propose(command=codec.encode_command(command)),
            messages.Proposed,
            timeout=timeout,
        )
        result = codec.decode_result(reply.result)
        if not isinstance(result, result_type):
            raise errors.ProtocolError(
                f"unexpected result {type(result).__name__}", step="propose"
            )
        return result

    async def read(self, section: str, *, timeout: float) -> dict[str, Any]:
        """Returns a section of the replicated state."""
        reply = await self.request(
            messages.ReadState(section=section),
            messages.StateReply,
            timeout=timeout,
        )
        document: dict[str, Any] = json.loads(reply.document)
        return document

    async def request(
        self,
        message: messages.Message,
        reply_type: type[_Reply],
        *,
        timeout: float,
    ) -> _Reply:
        """Sends an idempotent request to the leader until it is answered.

        Raises:
            errors.RequestTimeout: No leader answered in time.
            errors.RemoteError: The leader refused the request.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        step = type(message).__name__
        while (left := deadline - loop.time()) > 0:
            peer = self._leader_peer()
            if peer is None:
                await asyncio.sleep(min(_RETRY_DELAY_S, left))
                continue
            try:
                return await peer.request(
                    message, reply_type, timeout=min(left, _ATTEMPT_TIMEOUT_S)
                )
            except errors.RemoteError as error:
                if error.code != "not_leader":
                    raise
                self._leader = error.leader
            except errors.MonsoonhingeError as error:
                _LOG.debug("retrying %s: %s", step, error)
                self._leader = ""
            self._order.rotate(-1)
            await asyncio.sleep(min(_RETRY_DELAY_S, left))
        raise errors.RequestTimeout(
            f"no control leader answered within {timeout:.1f} s", step=step
        )

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do: the watch task uses the connection."""

    def disconnected(self, link: connection.Connection) -> None:
        """Nothing to do: the watch task notices."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Applies configuration pushed by the watched member."""
        peer = self.peers.get(self._watched)
        if peer is None or peer.connection is not link:
            return None
        match message:
            case messages.ConfigSnapshot():
                self._receive_snapshot(message)
            case messages.ConfigDelta():
                self._receive_delta(message)
            case _:
                raise errors.ProtocolError(
                    f"unexpected {type(message).__name__}", step="watch"
                )
        link.notify(messages.InForce(version=self.view.version))
        return None

    def _leader_peer(self) -> connection.Peer | None:
        peer = self.peers.get(self._leader)
        if peer is not None and peer.connection is not None:
            return peer
        for name in self._order:
            if self.peers[name].connection is not None:
                return self.peers[name]
        return None

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S if self._watched else 0.02)
            try:
                if not self._watched:
                    await self._choose_member()
                else:
                    await self._probe()
            except errors.MonsoonhingeError as error:
                _LOG.debug("watch: %s", error)
                if not isinstance(error, errors.RequestTimeout):
                    self._watched = ""
            if (
                self._watched
                and loop.time() - self._watched_at > SWITCH_AFTER_S
                and self.staleness(loop.time()) > SWITCH_AFTER_S
            ):
                self._watched = ""

    async def _choose_member(self) -> None:
        for _ in range(len(self._order)):
            self._order.rotate(-1)
            name = self._order[0]
            if self.peers[name].connection is not None:
                break
        else:
            return
        self._watched = name
        self._watched_at = asyncio.get_running_loop().time()
        await self.peers[name].request(
            messages.Watch(
                subscriber=self.identity.node,
                role=self.identity.role,
                version=self.view.version,
            ),
            messages.Ack,
            timeout=SWITCH_AFTER_S,
        )
        await self._probe()

    async def _probe(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        fresh = await self.peers[self._watched].request(
            messages.Probe(), messages.Fresh, timeout=SWITCH_AFTER_S
        )
        if self.view.version >= fresh.version:
            self._fresh_at = asked_at

    def _receive_snapshot(self, message: messages.ConfigSnapshot) -> None:
        if message.part == 0:
            self._parts = []
        self._parts += message.objects
        if message.part + 1 < message.parts or (
            message.version < self.view.version
        ):
            return
        objects: dict[str, bytes] = {}
        for data in self._parts:
            objects[schema.object_id(schema.parse_json(data))] = data
        self._parts = []
        self._install(message.version, objects)

    def _receive_delta(self, message: messages.ConfigDelta) -> None:
        if message.version <= self.view.version:
            return
        if message.base != self.view.version:
            self._watched = ""
            raise errors.ProtocolError(
                f"delta from {message.base}, have {self.view.version}",
                step="apply delta",
            )
        change = delta.Delta(
            upserts={
                schema.object_id(schema.parse_json(data)): data
                for data in message.upserts
            },
            deletes=message.deletes,
        )
        self._install(message.version, change.apply(self._objects))

    def _install(self, version: int, objects: dict[str, bytes]) -> None:
        self._parsed = {
            object_id: (
                self._parsed[object_id]
                if self._objects.get(object_id) == data
                else schema.parse_json(data)
            )
            for object_id, data in objects.items()
        }
        self._objects = objects
        self.view = config_view.View(version=version, objects=self._parsed)
        if self._listener is not None:
            self._listener.config_changed(self.view)
