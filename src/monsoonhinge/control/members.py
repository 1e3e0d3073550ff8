"""Founding of a cluster and changes of its members."""

import asyncio
import logging

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_CONTACT_TIMEOUT_S = 2.0
_FOUND_RETRY_S = 0.1

_LOG = logging.getLogger(__name__)


class Members:
    """Founds the cluster, and adds and removes members on the leader."""

    def __init__(
        self,
        *,
        config: settings.Control,
        identity: str,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
        connect_as: connection.Identity,
    ) -> None:
        self._config = config
        self._identity = identity
        self._driver = driver
        self._transport = transport
        self._connect_as = connect_as

    def describe(self) -> messages.MemberDescription:
        """Returns the identity of this member."""
        return messages.MemberDescription(
            name=self._config.node,
            identity=self._identity,
            founded=self._driver.raft.is_bootstrapped,
        )

    async def found(self) -> None:
        """Founds the cluster if this is the first of its initial members.

        Only the first member may do so, and only while all others are there
        without a log. A first member that lost its directory therefore finds
        the existing cluster instead of founding a second one.
        """
        config = self._config
        if config.join or config.members[0].name != config.node:
            return
        while not self._driver.raft.is_bootstrapped:
            try:
                found = [await self._contact(m) for m in config.members]
            except errors.MonsoonhingeError as error:
                _LOG.info("waiting for the initial members: %s", error)
                await asyncio.sleep(_FOUND_RETRY_S)
                continue
            if self._driver.raft.is_bootstrapped:
                return
            if any(description.founded for description in found):
                _LOG.warning(
                    "the cluster exists; this member has a new identity and "
                    "must be added again"
                )
                return
            self._driver.bootstrap(
                types.Configuration(
                    tuple(
                        types.Member(
                            name=member.name,
                            identity=description.identity,
                            host=member.address.host,
                            port=member.address.port,
                        )
                        for member, description in zip(
                            config.members, found, strict=True
                        )
                    )
                )
            )

    async def add(self, request: messages.AddMember) -> None:
        """Adds a member as a learner; it becomes a voter once caught up.

        Raises:
            errors.MonsoonhingeError: The member does not answer, or the
                change is not possible now.
        """
        self._driver.raft.require_leadership("add member")
        peer = endpoint.Client(
            host=request.host,
            port=request.port,
            identity=self._connect_as,
            handler=_Silent(),
        )
        peer.start()
        try:
            description = await _describe(peer)
        finally:
            await peer.stop()
        if description.name != request.name:
            raise types.ChangeRefused(
                f"the member at {peer.address} is {description.name}, not "
                f"{request.name}"
            )
        member = types.Member(
            name=request.name,
            identity=description.identity,
            host=request.host,
            port=request.port,
        )
        configuration = self._driver.configuration
        wanted = membership.add_learner(configuration, member)
        if wanted != configuration:
            await self._driver.change_configuration(wanted)

    async def remove(self, request: messages.RemoveMember) -> None:
        """Removes a member by name.

        Raises:
            types.ChangeRefused: Fewer live voters than a quorum would remain,
                or the change is not possible now.
        """
        leadership = self._driver.raft.require_leadership("remove member")
        configuration = self._driver.configuration
        named = [m for m in configuration.members if m.name == request.name]
        if not named:
            return
        # A learner that replaces a voter of the same name goes first.
        member = min(named, key=lambda m: m.voter)
        wanted = membership.remove_member(configuration, member.id)
        live = leadership.live_voters(asyncio.get_running_loop().time())
        left = live.intersection(wanted.voters)
        if not request.force and len(left) < wanted.quorum():
            raise types.ChangeRefused(
                f"without {request.name} only {len(left)} live voters would "
                f"remain; {wanted.quorum()} are needed"
            )
        await self._driver.change_configuration(wanted)

    def durable_enough(self) -> bool:
        """Returns whether a commit survives the losses that are tolerated.

        The operator who lists the members answers for their number.
        """
        return True

    async def advance(self) -> None:
        """Makes caught-up learners voters; called regularly on the leader."""
        leadership = self._driver.raft.leadership
        if leadership is None:
            return
        wanted = membership.next_configuration(
            self._driver.configuration, leadership.is_caught_up
        )
        if wanted is not None:
            await self._driver.change_configuration(wanted)

    async def _contact(
        self, member: settings.Member
    ) -> messages.MemberDescription:
        if member.name == self._config.node:
            return self.describe()
        return await self._transport.peers[member.name].request(
            messages.DescribeMember(),
            messages.MemberDescription,
            timeout=_CONTACT_TIMEOUT_S,
        )


async def _describe(peer: endpoint.Client) -> messages.MemberDescription:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _CONTACT_TIMEOUT_S
    while True:
        try:
            return await peer.request(
                messages.DescribeMember(),
                messages.MemberDescription,
                timeout=_CONTACT_TIMEOUT_S,
            )
        except errors.ConnectionLost:
            if loop.time() > deadline:
                raise
            await asyncio.sleep(_FOUND_RETRY_S)


class _Silent:
    """Handler of a connection on which only replies are expected."""

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do."""

    def disconnected(self, link: connection.Connection) -> None:
        """Nothing to do."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Ignores what the member sends on its own."""
        return None
