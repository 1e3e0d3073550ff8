"""Client of the control cluster for gateways, schedulers and operators."""

import asyncio
from collections.abc import Sequence
import json
import logging
import random
import typing
from typing import Any, TypeVar

from monsoonhinge.config import view as config_view
from monsoonhinge.control import config_freshness
from monsoonhinge.control import leader_discovery
from monsoonhinge.control import subscription
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import clock
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

# Time limit of a request to one member; after it the next member is tried.
ATTEMPT_TIMEOUT_S = 2.0

# Error codes after which a request is sent again: the member is not the leader
# or has lost its quorum. Retries are safe because requests are idempotent.
RETRYABLE_CODES = frozenset({"not_leader", "unavailable"})

_POLL_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)

_Reply = TypeVar("_Reply")
_Result = TypeVar("_Result")


class Listener(typing.Protocol):
    """Receives configuration updates."""

    def config_changed(self, view: config_view.View) -> None:
        """Called after a new version has taken effect in this process."""


class Client:
    """Sends requests to the control leader and watches the configuration.

    Attributes:
        identity: Identity under which this process connects.
        peers: Connections to the members by name.
        attempt_timeout_s: Time limit of a request to one member; after it the
            next member is tried.
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
        self._leader_tracker = leader_discovery.LeaderTracker(
            members=names, rng=rng
        )
        # Set and replaced when the configuration was updated or confirmed.
        self._updated = asyncio.Event()
        self._supervisor = supervision.Supervisor()

    def add_member(self, member: settings.Member) -> None:
        """Connects to a member that is not in the settings."""
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
        self._leader_tracker.add_member(member.name)
        peer.start()

    def remove_member(self, name: str) -> None:
        """Removes a member that left the cluster, unless it is connected."""
        peer = self.peers.get(name)
        if peer is None or peer.connection is not None:
            return
        del self.peers[name]
        self._supervisor.spawn("disconnect", peer.stop())

    def set_leader(self, name: str) -> None:
        """Sets the known leader, which receives the next requests."""
        self._leader_tracker.set_leader(name)

    @property
    def view(self) -> config_view.View:
        """Configuration in effect in this process."""
        return self._subscription.mirror.view

    @property
    def watched_member(self) -> str:
        """Member that sends configuration updates; empty without one."""
        return self._subscription.watched_member

    def start(self, *, watch: bool = True) -> None:
        """Connects to all members.

        Args:
            watch: Whether to watch the configuration.
        """
        for peer in self.peers.values():
            peer.start()
        if watch:
            self._supervisor.start("watch_configuration", self._watch)

    async def stop(self) -> None:
        """Cancels all tasks and closes all connections."""
        await self._supervisor.stop()
        for peer in self.peers.values():
            await peer.stop()

    def staleness(self, now: float) -> float:
        """Returns the seconds since the configuration was known to be current.

        They include the time for which the machine was suspended.

        Args:
            now: Current time of the event loop.
        """
        return self.freshness(now).staleness_s

    def freshness(self, now: float) -> config_freshness.Freshness:
        """Returns what is known of the age of the configuration.

        Args:
            now: Current time of the event loop.
        """
        return self._subscription.freshness(now + clock.suspended_s())

    async def wait_for_update(self) -> None:
        """Waits until the configuration is updated or a probe is answered."""
        await self._updated.wait()

    async def propose(
        self,
        command: commands.Command,
        result_type: type[_Result],
        *,
        timeout: float,
        attempt_timeout: float | None = None,
    ) -> _Result:
        """Commits a command and sends it again after lost replies.

        Args:
            command: The command.
            result_type: Expected class of the result.
            timeout: Time limit in seconds.
            attempt_timeout: See ``request``.

        Raises:
            errors.RequestTimeout: No leader replied in time. The command may
                have been committed.
            errors.RemoteError: The leader refused the command.
        """
        reply = await self.request(
            messages.Propose(command=codec.encode_command(command)),
            messages.Proposed,
            timeout=timeout,
            attempt_timeout=attempt_timeout,
        )
        result = codec.decode_result(reply.result)
        if not isinstance(result, result_type):
            raise errors.ProtocolError(
                f"unexpected result type {type(result).__name__}",
                step="propose",
            )
        return result

    async def read(self, section: str, *, timeout: float) -> dict[str, Any]:
        """Returns a section of the replicated state, read at the leader."""
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
        """Sends an idempotent request to the leader and retries it on failure.

        Args:
            message: The request.
            reply_type: Expected class of the reply.
            timeout: Time limit of all attempts in seconds.
            attempt_timeout: Time limit of one attempt in seconds, by default
                ``attempt_timeout_s``. A request that blocks at the leader
                needs a longer one.

        Raises:
            errors.RequestTimeout: No leader replied in time. The request may
                have been carried out.
            errors.RemoteError: The leader refused the request.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        backoff = leader_discovery.Backoff(self._rng)
        step = type(message).__name__
        reason = "no member is connected"
        if attempt_timeout is None:
            attempt_timeout = self.attempt_timeout_s
        if isinstance(message, messages.AwaitCall):
            attempt_timeout += message.timeout_ms / 1000
        while (remaining := deadline - loop.time()) > 0:
            name = self._leader_tracker.choose_member(self._connected())
            if not name:
                await asyncio.sleep(min(_POLL_INTERVAL_S, remaining))
                continue
            try:
                return await self.peers[name].request(
                    message, reply_type, timeout=min(remaining, attempt_timeout)
                )
            except errors.RemoteError as error:
                if error.code not in RETRYABLE_CODES:
                    raise
                reason = f"{name}: {error}"
                if self._leader_tracker.handle_redirect(name, error.leader):
                    delay = backoff.after_redirect()
                else:
                    delay = backoff.after_failure()
            except (errors.ConnectionLost, errors.RequestTimeout) as error:
                _LOG.debug("retrying %s: %s", step, error)
                reason = f"{name}: {error}"
                self._leader_tracker.handle_failure(name)
                delay = backoff.after_failure()
            await asyncio.sleep(max(0.0, min(delay, deadline - loop.time())))
        raise errors.RequestTimeout(
            f"no control leader replied within {timeout:.1f} s ({reason})",
            step=step,
        )

    def connected(self, link: connection.Connection) -> None:
        """Does nothing; the watch task polls the connections."""

    def disconnected(self, link: connection.Connection) -> None:
        """Does nothing; the watch task polls the connections."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Applies a configuration update from the watched member."""
        if not isinstance(
            message, messages.ConfigSnapshot | messages.ConfigDelta
        ):
            raise errors.ProtocolError(
                f"unexpected message {type(message).__name__}",
                step="watch",
                peer=link.peer,
            )
        peer = self.peers.get(self.watched_member)
        if peer is None or peer.connection is not link:
            return None
        previous_version = self.view.version
        max_lag_s = self.freshness(
            asyncio.get_running_loop().time()
        ).loggable_staleness_s
        try:
            installed = self._subscription.receive(self.watched_member, message)
        except errors.ProtocolError as error:
            _LOG.warning(
                "configuration update rejected, subscribing again: %s",
                error,
                extra={"step": error.step, "peer": link.peer},
            )
            return None
        if installed:
            events.emit(
                events.CONFIG,
                version=self.view.version,
                previous=previous_version,
                update=type(message).__name__,
                member=self.watched_member,
                max_lag_s=max_lag_s,
            )
            link.notify(messages.InForce(version=self.view.version))
            if self._listener is not None:
                self._listener.config_changed(self.view)
            self._notify_update()
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
                loop.time() + clock.suspended_s(), self._connected()
            ):
                match action:
                    case subscription.Disconnect(member=member):
                        _LOG.info(
                            "no fresh configuration from member %s; "
                            "switching to another member",
                            member,
                        )
                        link = self.peers[member].connection
                        if link is not None:
                            link.abort()
                    case subscription.Subscribe(member=member):
                        self._supervisor.spawn(
                            "subscribe", self._subscribe(member)
                        )
                    case subscription.Probe():
                        self._supervisor.spawn("probe", self._probe(action))
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _subscribe(self, member: str) -> None:
        version = self.view.version
        try:
            await self.peers[member].request(
                messages.Watch(
                    subscriber=self.identity.node,
                    role=self.identity.role,
                    version=version,
                    reads_packed_parts=True,
                ),
                messages.Ack,
                timeout=subscription.SWITCH_MEMBER_AFTER_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.debug("cannot watch member %s: %s", member, error)
            self._subscription.handle_subscribe_failure(
                member,
                asyncio.get_running_loop().time() + clock.suspended_s(),
            )

    async def _probe(self, probe: subscription.Probe) -> None:
        try:
            reply = await self.peers[probe.member].request(
                messages.Probe(),
                messages.Fresh,
                timeout=subscription.SWITCH_MEMBER_AFTER_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.debug("probe of member %s failed: %s", probe.member, error)
            self._subscription.handle_probe_failure(probe.sent_at)
        else:
            self._subscription.handle_probe_reply(probe.sent_at, reply.version)
            self._notify_update()

    def _notify_update(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()
