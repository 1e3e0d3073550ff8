"""Members that find each other through seeds, without an operator."""

import asyncio
import logging

from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.control import members as control_members
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_INTERVAL_S = 0.2
_JOIN_TIMEOUT_S = 1.0

# A member that hears no leader for this long may have been replaced.
_LEADERLESS_S = 2.0

# A voter this long silent gives its place to a member that has caught up.
_SILENT_S = 5.0

# A new leader admits changes with fewer voters than tolerated losses need
# once this time has passed, because the missing members may never come.
_WAIT_FOR_VOTERS_S = 8.0

_LOG = logging.getLogger(__name__)


class SeededMembers(control_members.Members):
    """Founds the cluster from seeds, joins it, and replaces lost members.

    Only the first seed founds, only at the first start of the whole system,
    and only while all seeds are there without a log. A member whose disk was
    lost has a new identity and votes again only after it has caught up.
    """

    def __init__(
        self,
        *,
        config: settings.Control,
        identity: str,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
        connect_as: connection.Identity,
    ) -> None:
        super().__init__(
            config=with_members(config),
            identity=identity,
            driver=driver,
            transport=transport,
            connect_as=connect_as,
        )
        self._seeded = config
        self._leader_heard_at = 0.0
        self._led_since: float | None = None

    async def found(self) -> None:
        """Founds the cluster if due, then keeps this member in it."""
        if self._seeded.first_start:
            founding = asyncio.create_task(super().found())
        else:
            founding = None
        try:
            await self._keep_joined()
        finally:
            if founding is not None:
                founding.cancel()

    async def advance(self) -> None:
        """Grows the cluster and replaces lost members; called on the leader."""
        leadership = self._driver.raft.leadership
        if leadership is None:
            return
        now = asyncio.get_running_loop().time()
        live = leadership.live_voters(now)
        wanted = membership.next_automatic_configuration(
            self._driver.configuration,
            is_caught_up=leadership.is_caught_up,
            is_unresponsive=lambda member: (
                leadership.seconds_since_last_seen(member, now) > _SILENT_S
            ),
            count_live_voters=lambda made: len(live.intersection(made.voters)),
            desired_voter_count=self._target_voters,
        )
        if wanted is not None:
            _LOG.info(
                "changing members",
                extra={
                    "event": "members_changed",
                    "voters": wanted.voters,
                    "members": wanted.member_ids,
                },
            )
            await self._driver.change_configuration(wanted)

    def durable_enough(self) -> bool:
        """Returns whether a commit survives the tolerated losses."""
        now = asyncio.get_running_loop().time()
        if not self._driver.is_leader:
            self._led_since = None
            return False
        if self._led_since is None:
            self._led_since = now
        return (
            len(self._driver.configuration.voters) >= self._target_voters
            or now - self._led_since > _WAIT_FOR_VOTERS_S
        )

    @property
    def _target_voters(self) -> int:
        return 2 * self._seeded.tolerated_losses + 1

    async def _keep_joined(self) -> None:
        loop = asyncio.get_running_loop()
        self._leader_heard_at = loop.time()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if self._driver.leader:
                self._leader_heard_at = loop.time()
            if not self._must_join(loop.time()):
                continue
            for name in list(self._transport.peers):
                try:
                    await self._ask_to_join(name)
                except errors.MonsoonhingeError as error:
                    _LOG.debug("cannot join through %s: %s", name, error)
                else:
                    break

    def _must_join(self, now: float) -> bool:
        member_id = self._driver.raft.state.member_id
        known = self._driver.configuration.get(member_id)
        if known is None:
            return True
        return now - self._leader_heard_at > _LEADERLESS_S

    async def _ask_to_join(self, name: str) -> None:
        listen = self._seeded.listen
        request = messages.AddMember(
            name=self._seeded.node, host=listen.host, port=listen.port
        )
        try:
            await self._transport.peers[name].request(
                request, messages.Ack, timeout=_JOIN_TIMEOUT_S
            )
        except errors.RemoteError as error:
            if error.leader and error.leader not in self._transport.peers:
                self._transport.connect(
                    name=error.leader, host=error.leader, port=listen.port
                )
            raise


def with_members(config: settings.Control) -> settings.Control:
    """Returns settings in which the seeds are the initial members.

    All members listen on the same port and are named after their address.
    """
    members = [
        settings.Member(
            name=host,
            address=settings.Address(host=host, port=config.listen.port),
        )
        for host in sorted({seed.host for seed in config.seeds})
    ]
    return config.model_copy(update={"members": members, "seeds": []})
