"""Automatic cluster formation from seed addresses."""

import asyncio
from collections.abc import Callable
import functools
import logging

from monsoonhinge.consensus import ballots
from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import leader
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.control import members as control_members
from monsoonhinge.control import seed_bootstrap
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

_CHECK_INTERVAL_S = 0.2
_JOIN_TIMEOUT_S = 1.0

# A member that has seen no leader for this long asks to join again, since it
# may have been replaced.
_REJOIN_AFTER_S = 2.0

# Part of the catch-up time for which a voter is unresponsive before a member
# that has caught up replaces it. The rest covers an election and the changes.
_UNRESPONSIVE_FRACTION = 0.5

# Longest time for which a stop waits for a member that replaces this voter.
RESIGN_TIMEOUT_S = 2.5
_RESIGN_RETRY_S = 0.05

# A new leader waits this long for enough voters to tolerate the configured
# losses. It then accepts changes without them, because the missing members may
# never become available.
_WAIT_FOR_VOTERS_S = 8.0

_LOG = logging.getLogger(__name__)


class SeededMembershipManager(control_members.MembershipManager):
    """Bootstraps the cluster from seeds, joins it and replaces lost members.

    Only seeds bootstrap the cluster, and only those that took part in the first
    start of the whole system and still have their disk. A member whose disk was
    lost has a new identity, so it votes again only after it has caught up.
    """

    def __init__(
        self,
        *,
        config: settings.Control,
        identity: str,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
        connect_as: connection.Identity,
        acceptor: ballots.Acceptor | None,
    ) -> None:
        super().__init__(
            config=with_seed_members(config),
            identity=identity,
            driver=driver,
            transport=transport,
            connect_as=connect_as,
        )
        self._seed_config = config
        self._acceptor = acceptor
        self._leader_seen_at = 0.0
        self._led_term = 0
        self._leader_since = 0.0
        self._resigning = False
        self._supervisor = supervision.Supervisor()

    async def bootstrap(self) -> None:
        """Bootstraps a new cluster if necessary and keeps this member in it."""
        if self._acceptor is not None:
            bootstrap = seed_bootstrap.SeedBootstrap(
                own=types.Member(
                    name=self._seed_config.node,
                    identity=self._identity,
                    host=self._seed_config.node,
                    port=self._seed_config.listen.port,
                ),
                acceptor=self._acceptor,
                driver=self._driver,
                transport=self._transport,
            )
            self._supervisor.start("bootstrap", bootstrap.run)
        try:
            await self._rejoin_when_needed()
        finally:
            self._supervisor.cancel()

    def vote_on_bootstrap(
        self, request: ballots.Request
    ) -> messages.BootstrapVote:
        """Votes on the first configuration of a new cluster.

        Raises:
            errors.MonsoonhingeError: This member has no vote, or belongs to a
                cluster already.
        """
        if self._acceptor is None or self._driver.raft.is_bootstrapped:
            raise types.ChangeRefused("this member has no vote on a bootstrap")
        return self._acceptor.answer(request)

    async def update_membership(self) -> None:
        """Adds voters and replaces lost members; called on the leader."""
        leadership = self._driver.raft.leadership
        if leadership is None:
            return
        self._record_leadership()
        now = asyncio.get_running_loop().time()
        changed = membership.next_automatic_configuration(
            self._driver.configuration,
            is_caught_up=lambda member: leadership.can_become_voter(
                member, now
            ),
            is_unresponsive=lambda member: (
                leadership.seconds_since_last_seen(member, now)
                > unresponsive_after_s(self._seed_config.catch_up_s)
            ),
            count_live_voters=_live_voter_count(leadership, now),
            desired_voter_count=self._desired_voter_count,
        )
        if changed is not None:
            await self._change(changed, reason="automatic")

    async def replace_voter(self, member_id: str) -> None:
        """Promotes a member that has caught up, then removes a voter.

        Raises:
            errors.MonsoonhingeError: It is not possible now.
        """
        while True:
            leadership = self._driver.raft.require_leadership("replace voter")
            now = asyncio.get_running_loop().time()
            changed = membership.next_resignation(
                self._driver.configuration,
                member_id,
                is_caught_up=functools.partial(
                    leadership.can_become_voter, now=now
                ),
                count_live_voters=_live_voter_count(leadership, now),
                desired_voter_count=self._desired_voter_count,
            )
            if changed is None:
                return
            await self._change(changed, reason="resignation")

    async def resign(self) -> None:
        """Lets a member that has caught up vote in place of this one.

        Waits for a bounded time. Without such a member, this one stays a voter
        while it is down.
        """
        self._resigning = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RESIGN_TIMEOUT_S
        while self._can_be_replaced() and loop.time() < deadline:
            peer = self._transport.peers.get(self._driver.leader)
            if peer is not None:
                try:
                    await peer.request(
                        messages.ResignVoter(
                            member=self._driver.raft.state.member_id
                        ),
                        messages.Ack,
                        timeout=deadline - loop.time(),
                    )
                except errors.MonsoonhingeError as error:
                    _LOG.info("cannot resign as voter: %s", error)
                else:
                    _LOG.info("another member votes in place of this one")
                    return
            await asyncio.sleep(_RESIGN_RETRY_S)

    def _can_be_replaced(self) -> bool:
        configuration = self._driver.configuration
        if self._driver.raft.state.member_id not in configuration.voters:
            return False
        surplus = len(configuration.voters) > self._desired_voter_count
        return surplus or bool(membership.replacements(configuration))

    async def _change(
        self, changed: types.Configuration, *, reason: str
    ) -> None:
        started_at = asyncio.get_running_loop().time()
        await self._driver.change_configuration(changed)
        events.emit(
            events.MEMBERS,
            reason=reason,
            voters=changed.voters,
            members=changed.member_ids,
            seconds=round(asyncio.get_running_loop().time() - started_at, 3),
        )

    def has_enough_voters(self) -> bool:
        """Returns whether a commit survives the tolerated member losses.

        Also true once the leader has waited long enough for missing voters.
        """
        if not self._driver.is_leader:
            return False
        self._record_leadership()
        now = asyncio.get_running_loop().time()
        return (
            len(self._driver.configuration.voters) >= self._desired_voter_count
            or now - self._leader_since > _WAIT_FOR_VOTERS_S
        )

    def _record_leadership(self) -> None:
        """Records since when this member has led, once for each term."""
        term = self._driver.raft.state.term
        if self._led_term != term:
            self._led_term = term
            self._leader_since = asyncio.get_running_loop().time()

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
        if self._resigning:
            return False
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


def first_seeds(config: settings.Control) -> list[str]:
    """Returns the names of all seeds if this is one at the first start."""
    names = [member.name for member in with_seed_members(config).members]
    return names if config.first_start and config.node in names else []


def unresponsive_after_s(catch_up_s: float) -> float:
    """Returns the silence after which a voter may be replaced, in seconds."""
    return _UNRESPONSIVE_FRACTION * catch_up_s


def _live_voter_count(
    leadership: leader.Leader, now: float
) -> Callable[[types.Configuration], int]:
    """Returns a function that counts the live voters of a configuration."""
    live = leadership.live_voters(now)
    return lambda configuration: len(live.intersection(configuration.voters))


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
