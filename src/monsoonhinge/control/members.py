"""Bootstrapping of a cluster and changes of its membership."""

import asyncio
import logging

from monsoonhinge.consensus import ballots
from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_DESCRIBE_TIMEOUT_S = 2.0
_RETRY_INTERVAL_S = 0.1

_LOG = logging.getLogger(__name__)


class MembershipManager:
    """Bootstraps the cluster; adds and removes members on the leader."""

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
        """Returns the identity of this member and whether it has a log."""
        return messages.MemberDescription(
            name=self._config.node,
            identity=self._identity,
            founded=self._driver.raft.is_bootstrapped,
        )

    async def bootstrap(self) -> None:
        """Bootstraps the cluster if this is the first initial member.

        Only the first member does so, and only once all others are reachable
        and have no log. A first member that has lost its data directory thus
        finds the existing cluster instead of starting a second one.
        """
        config = self._config
        if config.join or config.members[0].name != config.node:
            return
        while not self._driver.raft.is_bootstrapped:
            try:
                descriptions = [
                    await self._describe_initial(m) for m in config.members
                ]
            except errors.MonsoonhingeError as error:
                _LOG.info("waiting for the initial members: %s", error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            if self._driver.raft.is_bootstrapped:
                return
            if any(description.founded for description in descriptions):
                _LOG.warning(
                    "the cluster already exists and does not know the new "
                    "identity of this member; add the member again"
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
                            config.members, descriptions, strict=True
                        )
                    )
                )
            )

    async def add(self, request: messages.AddMember) -> None:
        """Adds a member as a learner; it becomes a voter once caught up.

        Raises:
            errors.MonsoonhingeError: The member does not respond, or the
                change is not possible now.
        """
        self._driver.raft.require_leadership("add member")
        peer = endpoint.Client(
            host=request.host,
            port=request.port,
            identity=self._connect_as,
            handler=_IgnoringHandler(),
        )
        peer.start()
        try:
            description = await _request_description(peer)
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
        changed = membership.add_learner(configuration, member)
        if changed != configuration:
            await self._driver.change_configuration(changed)

    async def remove(self, request: messages.RemoveMember) -> None:
        """Removes a member by name.

        Raises:
            types.ChangeRefused: Fewer live voters than a quorum would remain
                and ``force`` is not set, or the change is not possible now.
        """
        leadership = self._driver.raft.require_leadership("remove member")
        configuration = self._driver.configuration
        candidates = [
            m for m in configuration.members if m.name == request.name
        ]
        if not candidates:
            return
        # A learner that replaces a voter of the same name is removed first.
        member = min(candidates, key=lambda m: m.voter)
        changed = membership.remove_member(configuration, member.id)
        live = leadership.live_voters(asyncio.get_running_loop().time())
        remaining = live.intersection(changed.voters)
        if not request.force and len(remaining) < changed.quorum():
            raise types.ChangeRefused(
                f"without {request.name} only {len(remaining)} live voters "
                f"would remain; {changed.quorum()} are needed"
            )
        await self._driver.change_configuration(changed)

    async def replace_voter(self, member_id: str) -> None:
        """Replaces a voter that stops by a member that has caught up.

        Raises:
            errors.MonsoonhingeError: It is not possible now.
        """
        raise types.ChangeRefused("the operator chooses the voters")

    def vote_on_bootstrap(
        self, request: ballots.Request
    ) -> messages.BootstrapVote:
        """Votes on the first configuration of a cluster that seeds form.

        Raises:
            errors.MonsoonhingeError: This member has no vote.
        """
        raise types.ChangeRefused("the operator lists the members")

    async def resign(self) -> None:
        """Lets another member vote in place of this one, before a stop.

        Does nothing here, since the operator chooses the voters.
        """

    def has_enough_voters(self) -> bool:
        """Returns whether a commit survives the tolerated member losses.

        Always true here, since the operator lists the members and so chooses
        their number.
        """
        return True

    async def update_membership(self) -> None:
        """Promotes learners that have caught up; called periodically."""
        leadership = self._driver.raft.leadership
        if leadership is None:
            return
        now = asyncio.get_running_loop().time()
        changed = membership.next_configuration(
            self._driver.configuration,
            lambda member: leadership.can_become_voter(member, now),
        )
        if changed is not None:
            await self._driver.change_configuration(changed)

    async def _describe_initial(
        self, member: settings.Member
    ) -> messages.MemberDescription:
        if member.name == self._config.node:
            return self.describe()
        return await self._transport.peers[member.name].request(
            messages.DescribeMember(),
            messages.MemberDescription,
            timeout=_DESCRIBE_TIMEOUT_S,
        )


async def _request_description(
    peer: endpoint.Client,
) -> messages.MemberDescription:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _DESCRIBE_TIMEOUT_S
    while True:
        try:
            return await peer.request(
                messages.DescribeMember(),
                messages.MemberDescription,
                timeout=_DESCRIBE_TIMEOUT_S,
            )
        except errors.ConnectionLost:
            if loop.time() > deadline:
                raise
            await asyncio.sleep(_RETRY_INTERVAL_S)


class _IgnoringHandler:
    """Handler of a connection that is used only for requests and replies."""

    def connected(self, link: connection.Connection) -> None:
        """Does nothing; requests are retried until there is a connection."""

    def disconnected(self, link: connection.Connection) -> None:
        """Does nothing; pending requests fail on their own."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Ignores messages that are not replies."""
        return None
