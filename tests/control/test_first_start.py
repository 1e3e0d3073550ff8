"""Tests of the first start of seeds that are lost while they start."""

import asyncio
import pathlib

import pytest

from monsoonhinge.control import process as control_process
from tests.control import seeded_members

_HOSTS = [f"127.0.0.{number}" for number in range(71, 76)]
_SPARE = "127.0.0.76"


async def _start_all(members: seeded_members.Members) -> None:
    for host in _HOSTS:
        await members.start(host, first_start=True)


async def _start_again(
    members: seeded_members.Members, host: str, *, seeds: list[str]
) -> None:
    """Restarts a member with its disk, after the first start."""
    config = members.configs[host].model_copy(
        update={"first_start": False, "seeds": members.seed_addresses(seeds)}
    )
    member = control_process.ControlProcess.from_config(config)
    members.running[host] = member
    await member.start()


def _has_one_cluster(members: seeded_members.Members) -> bool:
    """Returns whether all logs begin with the configuration of one founder."""
    configurations = {
        member.driver.raft.state.log.configuration_at(1)
        for member in members.running.values()
    }
    return len(configurations) == 1


@pytest.mark.parametrize("lost", _HOSTS[:3])
@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.1, 0.3, 1.2])
def test_replaced_seed_does_not_prevent_the_cluster(
    tmp_path: pathlib.Path, lost: str, after_s: float
) -> None:
    """Guards against a first start that waits for a lost seed for good."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            await _start_all(members)
            await asyncio.sleep(after_s)
            await members.kill(lost)
            await asyncio.sleep(1.0)
            await members.start(_SPARE)
            hosts = {*_HOSTS, _SPARE} - {lost}
            await members.wait_for_voters(hosts)
            await members.commit()

    asyncio.run(run())


@pytest.mark.parametrize("seeds", [_HOSTS[:3], _HOSTS[2:]])
def test_seed_that_is_started_again_with_its_disk_may_vote(
    tmp_path: pathlib.Path, seeds: list[str]
) -> None:
    """Guards against a first start that needs a seed that is gone for good.

    The other seed comes back with its disk, and its settings may name other
    seeds by then.
    """

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            for host in _HOSTS[1:]:
                await members.start(host, first_start=True)
            await members.kill(_HOSTS[1])
            await asyncio.sleep(0.5)
            await _start_again(members, _HOSTS[1], seeds=seeds)
            await members.start(_SPARE)
            await members.wait_for_voters({*_HOSTS[1:], _SPARE})
            await members.commit()

    asyncio.run(run())


def test_seeds_of_which_a_majority_is_lost_wait(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a cluster that others cannot know of."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            for host in _HOSTS[2:]:
                await members.start(host, first_start=True)
            await asyncio.sleep(4.0)
            assert members.leader() is None
            await members.start(_HOSTS[0], first_start=True)
            await members.wait_for_voters({_HOSTS[0], *_HOSTS[2:]})
            await members.start(_HOSTS[1], first_start=True)
            await members.wait_for_voters(set(_HOSTS))

    asyncio.run(run())


def test_seeds_that_cannot_reach_each_other_for_long_form_one_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against seeds that start late and bootstrap on their own."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            for host in (_HOSTS[2], _HOSTS[1], _HOSTS[0]):
                await members.start(host, first_start=True)
                await asyncio.sleep(1.5)
            for host in _HOSTS[3:]:
                await members.start(host, first_start=True)
            await members.wait_for_voters(set(_HOSTS))
            await members.commit()
            await seeded_members.wait_until(lambda: _has_one_cluster(members))

    asyncio.run(run())
