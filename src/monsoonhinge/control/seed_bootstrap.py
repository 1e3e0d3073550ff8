"""Bootstrapping of a cluster by the seeds that can be reached."""

import asyncio
import logging
import random

from monsoonhinge.consensus import ballots
from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Seeds propose in the order of their names, so that ballots rarely compete.
_PROPOSAL_INTERVAL_S = 1.0

# A seed waits this long for all other seeds before a majority is enough.
_WAIT_FOR_ALL_S = 2.0

_REQUEST_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.1
_MAX_BALLOT_BACKOFF_S = 0.5

_LOG = logging.getLogger(__name__)


class SeedBootstrap:
    """Lets one seed take part in the bootstrap of the cluster."""

    def __init__(
        self,
        *,
        own: types.Member,
        acceptor: ballots.Acceptor,
        driver: raft_driver.Driver,
        transport: raft_transport.Transport,
    ) -> None:
        self._own = own
        self._acceptor = acceptor
        self._driver = driver
        self._transport = transport
        self._reachable: set[str] = set()
        self._proposer = ballots.Proposer(
            name=own.name, acceptor=acceptor, channel=self
        )

    async def run(self) -> None:
        """Proposes until this member has a log, its own or a received one."""
        seeds = self._acceptor.vote.seeds
        if self._own.name not in seeds:
            # The disk has come back at another address.
            return
        for seed in seeds:
            self._transport.connect(name=seed, host=seed, port=self._own.port)
        loop = asyncio.get_running_loop()
        majority_suffices_at = loop.time() + _WAIT_FOR_ALL_S
        await asyncio.sleep(seeds.index(self._own.name) * _PROPOSAL_INTERVAL_S)
        while not self._driver.raft.is_bootstrapped:
            members = await self._unbootstrapped_members()
            if len(members) == len(seeds) or (
                len(members) >= self._proposer.quorum
                and loop.time() > majority_suffices_at
            ):
                await self._propose(members)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def ask(
        self, seed: str, request: ballots.Request
    ) -> messages.BootstrapVote:
        """Sends a request to another seed."""
        return await self._transport.peers[seed].request(
            request, messages.BootstrapVote, timeout=_REQUEST_TIMEOUT_S
        )

    async def _propose(self, members: list[types.Member]) -> None:
        others = [m.name for m in members if m.name != self._own.name]
        chosen = await self._proposer.propose(
            types.Configuration(tuple(members)), others
        )
        if chosen is None:
            await asyncio.sleep(random.uniform(0, _MAX_BALLOT_BACKOFF_S))
        elif chosen.get(self._own.id) and not self._driver.raft.is_bootstrapped:
            _LOG.info("bootstrapping the cluster with %s", chosen.member_ids)
            self._driver.bootstrap(chosen)

    async def _unbootstrapped_members(self) -> list[types.Member]:
        """Returns this member and the seeds that can be reached.

        Returns an empty list if one of them already belongs to a cluster,
        which then sends its log to this member or lets it join.
        """
        others = [s for s in self._acceptor.vote.seeds if s != self._own.name]
        descriptions = await asyncio.gather(
            *(self._describe(seed) for seed in others)
        )
        reachable = [item for item in descriptions if item is not None]
        self._log_reachable({item.name for item in reachable})
        if any(item.founded for item in reachable):
            return []
        return [
            self._own,
            *(
                types.Member(
                    name=item.name,
                    identity=item.identity,
                    host=item.name,
                    port=self._own.port,
                )
                for item in reachable
            ),
        ]

    def _log_reachable(self, names: set[str]) -> None:
        if names != self._reachable:
            self._reachable = names
            _LOG.info(
                "seeds that answer, of %s: %s",
                self._acceptor.vote.seeds,
                sorted({self._own.name, *names}),
            )

    async def _describe(self, seed: str) -> messages.MemberDescription | None:
        try:
            return await self._transport.peers[seed].request(
                messages.DescribeMember(),
                messages.MemberDescription,
                timeout=_REQUEST_TIMEOUT_S,
            )
        except errors.MonsoonhingeError:
            return None
