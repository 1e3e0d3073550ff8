"""Client of the control members for gateways, schedulers and operators."""

import asyncio
from collections.abc import Coroutine, Sequence
import json
import logging
import random
import typing
from typing import Any, TypeVar

from monsoonhinge.config import view as config_view
from monsoonhinge.control import leader
from monsoonhinge.control import subscription
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

# How long one member may take to answer before another one is asked.
ATTEMPT_TIMEOUT_S = 2.0

# Errors after which the same request may succeed, since requests are
# idempotent: the member does not lead, or has lost its quorum.
RETRIED_CODES = frozenset({"not_leader", "unavailable"})

_TICK_S = 0.05

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
        identity: How this process introduces itself.
        peers: Connections to the members by name.
        attempt_timeout_s: How long one member may take to answer before
            another one is asked.
    """

    def __init__(
        self,
        *,
        members: Sequence[settings.Member],
        identity: connection.Identity,
        listener: Listener | None = None,
        rng: random.Random | None = None,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        rng = rng or random.Random()
        names = [member.name for member in members]
        self.identity = identity
        self.peers = {
            member.name: endpoint.Client(
                host=member.address.host,
                port=member.address.port,
                identity=identity,
                handler=self,
            )
            for member in members
        }
        self.attempt_timeout_s = attempt_timeout_s
        self._rng = rng
        self._listener = listener
        self._subscription = subscription.Subscription(members=names, rng=rng)
        self._leader = leader.LeaderGuess(members=names, rng=rng)
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def meet(self, member: settings.Member) -> None:
        """Connects to a member that was not in the settings."""
        if member.name in self.peers:
            return
        peer = endpoint.Client(
            host=member.address.host,
            port=member.address.port,
            identity=self.identity,
            handler=self,
        )
        self.peers[member.name] = peer
        self._subscription.add_member(member.name)
        self._leader.add_member(member.name)
        peer.start()

    def forget(self, name: str) -> None:
        """Stops connecting to a member that has left and is unreachable."""
        peer = self.peers.get(name)
        if peer is None or peer.connection is not None:
            return
        del self.peers[name]
        self._spawn(peer.stop())

    def follow(self, name: str) -> None:
        """Asks a member first from now on, since it is known to lead."""
        self._leader.follow(name)

    @property
    def view(self) -> config_view.View:
        """Configuration in effect in this process."""
        return self._subscription.mirror.view

    @property
    def watched(self) -> str:
        """Member that is watched, or ""."""
        return self._subscription.watched

    def start(self, *, watch: bool = True) -> None:
        """Connects to all members, and watches the configuration."""
        for peer in self.peers.values():
            peer.start()
        if watch:
            self._watch_task = asyncio.get_running_loop().create_task(
                self._watch()
            )

    async def stop(self) -> None:
        """Closes all connections."""
        tasks = list(self._tasks)
        if self._watch_task is not None:
            tasks.append(self._watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in self.peers.values():
            await peer.stop()

    def staleness(self, now: float) -> float:
        """Returns seconds since everything committed was known here.

        Args:
            now: Current time of the event loop.
        """
        return self._subscription.staleness(now)

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
            errors.RemoteError: The leader refused the command.
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
        attempt_timeout: float | None = None,
    ) -> _Reply:
        """Sends an idempotent request to the leader until it is answered.

        Args:
            message: The request.
            reply_type: Class of the reply.
            timeout: Seconds until it gives up.
            attempt_timeout: Seconds that one member may take, if not the
                usual; a request that waits at the leader needs more.

        Raises:
            errors.RequestTimeout: No leader answered in time. The request may
                have been carried out.
            errors.RemoteError: The leader refused the request.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        backoff = leader.Backoff(self._rng)
        step = type(message).__name__
        reason = "no member is connected"
        if attempt_timeout is None:
            attempt_timeout = self.attempt_timeout_s
        if isinstance(message, messages.AwaitCall):
            attempt_timeout += message.timeout_ms / 1000
        while (left := deadline - loop.time()) > 0:
            name = self._leader.member(self._connected())
            if not name:
                await asyncio.sleep(min(_TICK_S, left))
                continue
            try:
                return await self.peers[name].request(
                    message, reply_type, timeout=min(left, attempt_timeout)
                )
            except errors.RemoteError as error:
                if error.code not in RETRIED_CODES:
                    raise
                reason = f"{name}: {error}"
                if self._leader.redirected(name, error.leader):
                    delay = backoff.after_redirect()
                else:
                    delay = backoff.after_failure()
            except (errors.ConnectionLost, errors.RequestTimeout) as error:
                _LOG.debug("retrying %s: %s", step, error)
                reason = f"{name}: {error}"
                self._leader.failed(name)
                delay = backoff.after_failure()
            await asyncio.sleep(max(0.0, min(delay, deadline - loop.time())))
        raise errors.RequestTimeout(
            f"no control leader answered within {timeout:.1f} s ({reason})",
            step=step,
        )

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do: the watch task uses the connection."""

    def disconnected(self, link: connection.Connection) -> None:
        """Nothing to do: the watch task notices."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Applies configuration pushed by the watched member."""
        if not isinstance(
            message, messages.ConfigSnapshot | messages.ConfigDelta
        ):
            raise errors.ProtocolError(
                f"unexpected {type(message).__name__}",
                step="watch",
                peer=link.peer,
            )
        peer = self.peers.get(self.watched)
        if peer is None or peer.connection is not link:
            return None
        try:
            installed = self._subscription.receive(self.watched, message)
        except errors.ProtocolError as error:
            _LOG.warning(
                "subscribing again: %s",
                error,
                extra={"step": error.step, "peer": link.peer},
            )
            return None
        if installed:
            link.notify(messages.InForce(version=self.view.version))
            if self._listener is not None:
                self._listener.config_changed(self.view)
        return None

    def _connected(self) -> list[str]:
        return [
            name
            for name, peer in self.peers.items()
            if peer.connection is not None
        ]

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for action in self._subscription.tick(
                loop.time(), self._connected()
            ):
                match action:
                    case subscription.Leave(member=member):
                        _LOG.info("leaving member %s", member)
                        link = self.peers[member].connection
                        if link is not None:
                            link.abort()
                    case subscription.Subscribe(member=member):
                        self._spawn(self._subscribe(member))
                    case subscription.Probe():
                        self._spawn(self._probe(action))
            await asyncio.sleep(_TICK_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _subscribe(self, member: str) -> None:
        version = self.view.version
        try:
            await self.peers[member].request(
                messages.Watch(
                    subscriber=self.identity.node,
                    role=self.identity.role,
                    version=version,
                ),
                messages.Ack,
                timeout=subscription.SWITCH_AFTER_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.debug("cannot watch %s: %s", member, error)
            self._subscription.subscribe_failed(
                member, asyncio.get_running_loop().time()
            )

    async def _probe(self, probe: subscription.Probe) -> None:
        try:
            fresh = await self.peers[probe.member].request(
                messages.Probe(),
                messages.Fresh,
                timeout=subscription.SWITCH_AFTER_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.debug("probe of %s failed: %s", probe.member, error)
            self._subscription.probe_failed(probe.asked_at)
        else:
            self._subscription.answered(probe.asked_at, fresh.version)
