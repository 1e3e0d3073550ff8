"""Tests of replaced members with control processes and real disks."""

import asyncio
import pathlib
import time

import pytest

from monsoonhinge.control import process as control_process
from monsoonhinge.control import seeding
from tests.control import seeded_members

_HOSTS = [f"127.0.0.{number}" for number in range(61, 66)]
_SPARES = [f"127.0.0.{number}" for number in range(66, 69)]


def test_two_disks_lost_after_a_planned_replacement_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a member that has left and still counts as a voter."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            await members.start_all()
            await members.start(_SPARES[0])
            await members.wait_for_learner(_SPARES[0])
            await asyncio.sleep(1.0)
            await members.stop(_HOSTS[4])
            await members.lose_disks(_HOSTS[1:3])
            await members.wait_for_voters({*_HOSTS[:4], _SPARES[0]})
            await members.commit()

    asyncio.run(run())


def test_two_disks_lost_after_the_catch_up_time_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a lost leader that counts as a voter for too long."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            await members.start_all()
            leader = members.leader()
            assert leader is not None
            lost = leader.config.node
            await members.kill(lost)
            await asyncio.sleep(1.0)
            await members.start(_SPARES[0])
            await asyncio.sleep(seeded_members.CATCH_UP_S)
            others = [host for host in _HOSTS if host != lost]
            await members.lose_disks(others[:2])
            await members.wait_for_voters({*others, _SPARES[0]})
            await members.commit()

    asyncio.run(run())


def test_three_planned_replacements_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against stops in quick succession that leave no quorum."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            await members.start_all()
            for host in _SPARES:
                await members.start(host)
            for host in _SPARES:
                await members.wait_for_learner(host)
            await asyncio.sleep(1.0)
            for host in _HOSTS[:3]:
                await members.stop(host)
            await members.wait_for_voters({*_HOSTS[3:], *_SPARES})
            await members.commit()

    asyncio.run(run())


@pytest.mark.parametrize("has_disk", [True, False])
def test_restart_without_a_spare_waits_or_costs_the_vote(
    tmp_path: pathlib.Path, has_disk: bool
) -> None:
    """Guards against stops that wait in vain and voters that are dropped."""

    async def run() -> None:
        async with seeded_members.running(tmp_path, _HOSTS) as members:
            await members.start_all()
            host = _HOSTS[4]
            config = members.running[host].config
            started_at = time.monotonic()
            await members.stop(host)
            assert time.monotonic() - started_at < seeding.RESIGN_TIMEOUT_S
            if has_disk:
                member = control_process.ControlProcess.from_config(
                    config.model_copy(update={"first_start": False})
                )
                members.running[host] = member
                await member.start()
            else:
                await members.start(host)
            await members.wait_for_voters(set(_HOSTS))
            await members.commit()

    asyncio.run(run())
