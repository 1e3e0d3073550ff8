"""Automatic cluster formation from seed addresses."""

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
from monsoonhinge.runtime import supervision

_CHECK_INTERVAL_S = 0.2
_JOIN_TIMEOUT_S = 1.0

# A member that has seen no leader for this long asks to join again, since it
# may have been replaced.
_REJOIN_AFTER_S = 2.0

# A voter that is unresponsive for this long is replaced by a member that has
# caught up.
_REPLACE_VOTER_AFTER_S = 5.0

# A new leader waits this long for enough voters to tolerate the configured
# losses. It then accepts changes without them, because the missing members may
# never become available.
_WAIT_FOR_VOTERS_S = 8.0

_LOG = logging.getLogger(__name__)


class SeededMembershipManager(control_members.MembershipManager):
    """Bootstraps the cluster from seeds, joins it and replaces lost members.

    Only the first seed bootstraps the cluster, only at the first start of the
    whole system, and only once all seeds are reachable and have no log. A
    member whose disk was lost has a new identity, so it votes again only after
    it has caught up.
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
            config=with_seed_members(config),
            identity=identity,
            driver=driver,
            transport=transport,
            connect_as=connect_as,
        )
        self._seed_config = config
        self._leader_seen_at = 0.0
        self._leader_since: float | None = None
        self._supervisor = supervision.Supervisor()

    async def bootstrap(self) -> None:
        """Bootstraps a new cluster if necessary and keeps this member in it."""
        if self._seed_config.first_start:
            self._supervisor.start("bootstrap", super().bootstrap)
        try:
            await self._rejoin_when_needed()
        finally:
            self._supervisor.cancel()

    async def update_membership(self) -> None:
        """Adds voters and replaces lost members; called on the leader."""
        leadership = self._driver.raft.leadership
        if leadership is None:
            return
        now = asyncio.get_running_loop().time()
        live = leadership.live_voters(now)
        changed = membership.next_automatic_configuration(
            self._driver.configuration,
            is_caught_up=leadership.is_caught_up,
            is_unresponsive=lambda member: (
                leadership.seconds_since_last_seen(member, now)
                > _REPLACE_VOTER_AFTER_S
            ),
            count_live_voters=lambda configuration: len(
                live.intersection(configuration.voters)
            ),
            desired_voter_count=self._desired_voter_count,
        )
        if changed is not None:
            _LOG.info(
                "changing the cluster membership",
                extra={
                    "event": "members_changed",
                    "voters": changed.voters,
                    "members": changed.member_ids,
                },
            )
            await self._driver.change_configuration(changed)

    def has_enough_voters(self) -> bool:
        """Returns whether a commit survives the tolerated member losses.

        Also true once the leader has waited long enough for missing voters.
        """
        now = asyncio.get_running_loop().time()
        if not self._driver.is_leader:
            self._leader_since = None
            return False
        if self._leader_since is None:
            self._leader_since = now
        return (
            len(self._driver.configuration.voters) >= self._desired_voter_count
            or now - self._leader_since > _WAIT_FOR_VOTERS_S
        )

    @property
    def _desired_voter_count(self) -> int:
        return 2 * self._seed_config.tolerated_losses + 1

    async def _rejoin_when_needed(self) -> None:
        loop = asyncio.get_running_loop()
        self._leader_seen_at = loop.time()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._driver.leader:
                self._leader_seen_at = loop.time()
            if not self._needs_to_join(loop.time()):
                continue
            for name in list(self._transport.peers):
                try:
                    await self._request_join(name)
                except errors.MonsoonhingeError as error:
                    _LOG.debug(
                        "cannot join the cluster through member %s: %s",
                        name,
                        error,
                    )
                else:
                    break

    def _needs_to_join(self, now: float) -> bool:
        member_id = self._driver.raft.state.member_id
        if self._driver.configuration.get(member_id) is None:
            return True
        return now - self._leader_seen_at > _REJOIN_AFTER_S

    async def _request_join(self, name: str) -> None:
        listen = self._seed_config.listen
        request = messages.AddMember(
            name=self._seed_config.node, host=listen.host, port=listen.port
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


def with_seed_members(config: settings.Control) -> settings.Control:
    """Returns settings in which the seeds are the initial members.

    All members listen on the same port, and the name of each is its address.
    """
    members = [
        settings.Member(
            name=host,
            address=settings.Address(host=host, port=config.listen.port),
        )
        for host in sorted({seed.host for seed in config.seeds})
    ]
    return config.model_copy(update={"members": members, "seeds": []})
