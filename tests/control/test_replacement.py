"""Tests of replaced members with control processes and real disks."""

import asyncio
from collections.abc import Callable
import pathlib
import time

import pytest

from monsoonhinge.control import process as control_process
from monsoonhinge.control import seeding
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.runtime import settings
from tests.control import stub

_HOSTS = [f"127.0.0.{number}" for number in range(61, 66)]
_SPARES = [f"127.0.0.{number}" for number in range(66, 69)]
_CATCH_UP_S = 4.0
_TIMEOUT_S = 15.0


class _Members:
    """Control members that find each other through seeds."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.port = stub.free_port()
        self.running: dict[str, control_process.ControlProcess] = {}
        self._disks = 0

    async def start(self, host: str, *, first_start: bool = False) -> None:
        """Starts a member with an empty disk."""
        self._disks += 1
        config = settings.Control.model_validate(
            {
                "node": host,
                "availability_zone": "a",
                "operations": f"{host}:1",
                "cluster_secret": "test-cluster-secret",
                "listen": f"{host}:{self.port}",
                "data_dir": str(self.path / f"disk-{self._disks}"),
                "seeds": [f"{seed}:{self.port}" for seed in _HOSTS[:3]],
                "first_start": first_start,
                "tolerated_losses": 2,
                "catch_up_s": _CATCH_UP_S,
            }
        )
        member = control_process.ControlProcess.from_config(config)
        self.running[host] = member
        await member.start()

    async def start_all(self) -> None:
        """Forms the cluster of five voters."""
        for host in _HOSTS:
            await self.start(host, first_start=True)
        await self.wait_for_voters(set(_HOSTS))

    async def kill(self, host: str) -> None:
        """Ends a member without a warning."""
        await self.running.pop(host).stop()

    async def stop(self, host: str) -> None:
        """Ends a member as SIGTERM does."""
        member = self.running[host]
        member.drain()
        await member.finish()
        await self.kill(host)

    async def lose_disks(self, hosts: list[str]) -> None:
        """Kills members at once, which come back with empty disks."""
        for host in hosts:
            await self.kill(host)
        await asyncio.sleep(1.0)
        for host in hosts:
            await self.start(host)

    def leader(self) -> control_process.ControlProcess | None:
        """Returns a member that leads, or None."""
        for member in self.running.values():
            if member.driver.is_leader:
                return member
        return None

    def voters(self) -> set[str]:
        """Returns the names of the voters as the leader knows them."""
        leader = self.leader()
        if leader is None:
            return set()
        members = leader.driver.configuration.members
        return {member.name for member in members if member.voter}

    async def wait_for_voters(self, hosts: set[str]) -> None:
        """Waits until these members, and no others, are voters."""
        await _wait_until(lambda: self.voters() == hosts)

    async def wait_for_learner(self, host: str) -> None:
        """Waits until a member receives the log."""
        await _wait_until(lambda: bool(self.running[host].driver.leader))

    async def commit(self) -> None:
        """Commits an entry, at whichever member leads."""
        command = codec.encode_command(
            commands.DropCalls(before_ms=int(time.time() * 1000))
        )
        await _wait_until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        await leader.driver.propose(command)

    async def stop_all(self) -> None:
        for host in list(self.running):
            await self.kill(host)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.05)


def test_two_disks_lost_after_a_planned_replacement_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a member that has left and still counts as a voter."""

    async def run() -> None:
        members = _Members(tmp_path)
        try:
            await members.start_all()
            await members.start(_SPARES[0])
            await members.wait_for_learner(_SPARES[0])
            await asyncio.sleep(1.0)
            await members.stop(_HOSTS[4])
            await members.lose_disks(_HOSTS[1:3])
            await members.wait_for_voters({*_HOSTS[:4], _SPARES[0]})
            await members.commit()
        finally:
            await members.stop_all()

    asyncio.run(run())


def test_two_disks_lost_after_the_catch_up_time_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a lost leader that counts as a voter for too long."""

    async def run() -> None:
        members = _Members(tmp_path)
        try:
            await members.start_all()
            leader = members.leader()
            assert leader is not None
            lost = leader.config.node
            await members.kill(lost)
            await asyncio.sleep(1.0)
            await members.start(_SPARES[0])
            await asyncio.sleep(_CATCH_UP_S)
            others = [host for host in _HOSTS if host != lost]
            await members.lose_disks(others[:2])
            await members.wait_for_voters({*others, _SPARES[0]})
            await members.commit()
        finally:
            await members.stop_all()

    asyncio.run(run())


def test_three_planned_replacements_end_the_cluster(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against stops in quick succession that leave no quorum."""

    async def run() -> None:
        members = _Members(tmp_path)
        try:
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
        finally:
            await members.stop_all()

    asyncio.run(run())


@pytest.mark.parametrize("has_disk", [True, False])
def test_restart_without_a_spare_waits_or_costs_the_vote(
    tmp_path: pathlib.Path, has_disk: bool
) -> None:
    """Guards against stops that wait in vain and voters that are dropped."""

    async def run() -> None:
        members = _Members(tmp_path)
        try:
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
        finally:
            await members.stop_all()

    asyncio.run(run())
