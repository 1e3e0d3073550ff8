"""Control members that find each other through seeds, with real disks."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import pathlib
import time

from monsoonhinge.control import process as control_process
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.runtime import settings
from tests.control import stub

CATCH_UP_S = 4.0
_TIMEOUT_S = 15.0


class Members:
    """Control members; the first three hosts are the seeds.

    Attributes:
        running: The processes by host.
        configs: Settings of the last start, by host.
    """

    def __init__(self, path: pathlib.Path, hosts: list[str]) -> None:
        self.path = path
        self.hosts = hosts
        self.port = stub.free_port()
        self.running: dict[str, control_process.ControlProcess] = {}
        self.configs: dict[str, settings.Control] = {}
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
                "seeds": [f"{seed}:{self.port}" for seed in self.hosts[:3]],
                "first_start": first_start,
                "tolerated_losses": 2,
                "catch_up_s": CATCH_UP_S,
            }
        )
        self.configs[host] = config
        member = control_process.ControlProcess.from_config(config)
        self.running[host] = member
        await member.start()

    def seed_addresses(self, hosts: list[str]) -> list[settings.Address]:
        """Returns the addresses of seeds."""
        return [settings.Address(host=host, port=self.port) for host in hosts]

    async def start_all(self) -> None:
        """Forms the cluster of five voters."""
        for host in self.hosts:
            await self.start(host, first_start=True)
        await self.wait_for_voters(set(self.hosts))

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
        await wait_until(lambda: self.voters() == hosts)

    async def wait_for_learner(self, host: str) -> None:
        """Waits until a member receives the log."""
        await wait_until(lambda: bool(self.running[host].driver.leader))

    async def commit(self) -> None:
        """Commits an entry, at whichever member leads."""
        command = codec.encode_command(
            commands.DropCalls(before_ms=int(time.time() * 1000))
        )
        await wait_until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        await leader.driver.propose(command)


@contextlib.asynccontextmanager
async def running(
    path: pathlib.Path, hosts: list[str]
) -> AsyncIterator[Members]:
    """Yields members, of which none runs yet; stops those that do then."""
    members = Members(path, hosts)
    try:
        yield members
    finally:
        for host in list(members.running):
            await members.kill(host)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; fails after 15 s."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.05)
