"""Model-based test of the votes on the first configuration of a cluster.

Seeds on simulated disks propose, lose messages, lose power and return in random
schedules. MONSOONHINGE_SCHEDULES sets the number of schedules.
"""

import asyncio
import os
import random

import pytest

from monsoonhinge.consensus import ballots
from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from tests.consensus import cluster

_SCHEDULE_COUNT = int(os.environ.get("MONSOONHINGE_SCHEDULES", "300"))
_EVENTS_PER_SCHEDULE = 40
_MAX_DELAY_STEPS = 6
_SEEDS = ["a", "b", "c"]


class _Seed:
    """A seed, with the acceptor that is lost when it loses power."""

    def __init__(self, name: str, world: "_World") -> None:
        self.name = name
        self.world = world
        self.disk = cluster.FakeDisk()
        self.acceptor: ballots.Acceptor | None = None
        self.proposal: asyncio.Task[None] | None = None
        self.start(first=True)

    def start(self, *, first: bool = False) -> None:
        self.acceptor = ballots.Acceptor.open(
            self.disk, seeds=_SEEDS if first else []
        )
        assert self.acceptor is not None
        self.proposer = ballots.Proposer(
            name=self.name, acceptor=self.acceptor, channel=self.world
        )

    def power_off(self) -> None:
        if self.proposal is not None:
            self.proposal.cancel()
        self.proposal = self.acceptor = None
        self.disk.power_off(self.world.rng)

    async def propose(self) -> None:
        """Proposes a configuration that differs with each proposal."""
        world = self.world
        world.proposals += 1
        others = [s for s in _SEEDS if s != self.name]
        chosen = await self.proposer.propose(
            types.Configuration(
                (types.Member(self.name, str(world.proposals)),)
            ),
            others,
        )
        if chosen is not None:
            world.chosen.add(chosen)


class _World:
    """Three seeds and the messages between them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = self.rng.choice([0.0, 0.1, 0.3])
        self.proposals = 0
        self.chosen: set[types.Configuration] = set()
        self.seeds = {name: _Seed(name, self) for name in _SEEDS}

    async def ask(
        self, seed: str, request: ballots.Request
    ) -> messages.BootstrapVote:
        """Delivers a request and its reply, late or not at all."""
        await self._travel()
        acceptor = self.seeds[seed].acceptor
        if acceptor is None:
            raise errors.ConnectionLost("down", peer=seed)
        vote = acceptor.answer(request)
        await self._travel()
        return vote

    async def _travel(self) -> None:
        for _ in range(self.rng.randint(0, _MAX_DELAY_STEPS)):
            await asyncio.sleep(0)
        if self.rng.random() < self.loss:
            raise errors.RequestTimeout("lost")

    async def run(self) -> None:
        """Plays the schedule."""
        for _ in range(_EVENTS_PER_SCHEDULE):
            self._play_event(self.seeds[self.rng.choice(_SEEDS)])
            for _ in range(self.rng.randint(0, 3 * _MAX_DELAY_STEPS)):
                await asyncio.sleep(0)
        for seed in self.seeds.values():
            if seed.proposal is not None:
                await seed.proposal

    def _play_event(self, seed: _Seed) -> None:
        if seed.acceptor is None:
            seed.start()
        elif self.rng.random() < 0.25:
            seed.power_off()
        elif seed.proposal is None or seed.proposal.done():
            seed.proposal = asyncio.create_task(seed.propose())

    async def settle(self) -> None:
        """Lets a random majority propose in turn without losses."""
        self.loss = 0.0
        lost = self.seeds[self.rng.choice(_SEEDS)]
        for seed in self.seeds.values():
            if seed.acceptor is None:
                seed.start()
        lost.power_off()
        for _ in range(2):
            for seed in self.seeds.values():
                if seed is not lost:
                    await seed.propose()


@pytest.mark.parametrize("first", range(0, _SCHEDULE_COUNT, 50))
def test_at_most_one_configuration_is_chosen(first: int) -> None:
    """Guards against two clusters, and against none."""
    for seed in range(first, first + 50):
        world = _World(seed)
        asyncio.run(world.run())
        assert len(world.chosen) <= 1, f"schedule {seed}"
        asyncio.run(world.settle())
        assert len(world.chosen) == 1, f"schedule {seed}"


def _propose(seed: str, world: _World) -> None:
    asyncio.run(world.seeds[seed].propose())


def test_proposer_that_returns_uses_a_new_ballot() -> None:
    """Guards against two configurations in one ballot."""
    world = _World(0)
    world.loss = 0.0
    first = world.seeds["a"]
    _propose("a", world)
    before = first.proposer._acceptor.vote
    first.power_off()
    first.start()
    _propose("a", world)
    assert first.proposer._acceptor.vote.accepted_round > before.accepted_round


def test_seeds_that_disagree_on_the_seeds_choose_nothing() -> None:
    """Guards against two clusters of seeds with different settings."""
    world = _World(0)
    world.loss = 0.0
    for name, seeds in (("b", ["a", "b", "d"]), ("c", ["b", "c", "d"])):
        acceptor = world.seeds[name].acceptor
        assert acceptor is not None
        acceptor.vote.seeds = seeds
    for name in ("a", "b", "c"):
        _propose(name, world)
    assert not world.chosen


def test_member_without_a_first_start_has_no_vote() -> None:
    """Guards against a second vote of a seed that has lost its disk."""
    assert ballots.Acceptor.open(cluster.FakeDisk(), seeds=[]) is None


@pytest.mark.parametrize("operation", range(4))
def test_vote_that_is_not_durable_does_not_count(operation: int) -> None:
    """Guards against a promise that a loss of power takes back."""
    disk = cluster.FakeDisk()
    acceptor = ballots.Acceptor.open(disk, seeds=_SEEDS)
    assert acceptor is not None
    disk.operations_until_full = operation
    with pytest.raises(storage_files.DiskFullError):
        acceptor.answer(messages.PrepareBootstrap(round=3, proposer="b"))
    assert acceptor.vote.promised_round == 0
    disk.operations_until_full = -1
    request = messages.PrepareBootstrap(round=2, proposer="a")
    assert acceptor.answer(request).promised_round == 2
    disk.power_off(random.Random(operation))
    returned = ballots.Acceptor.open(disk, seeds=[])
    assert returned is not None
    assert returned.vote.promised_round == 2


def test_damaged_vote_is_reported() -> None:
    """Guards against a vote that is forgotten silently."""
    disk = cluster.FakeDisk()
    disk.append(ballots.FILE_NAME, b"no vote")
    with pytest.raises(storage_files.StorageError, match="corrupt"):
        ballots.Acceptor.open(disk, seeds=_SEEDS)
