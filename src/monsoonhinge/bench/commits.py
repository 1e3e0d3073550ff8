"""Measures commits, failover and restart of the replicated log.

Runs three control processes on loopback inside this process, each with its
own storage and connections, and prints one table.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import pathlib
import shutil
import socket
import tempfile
import time
from typing import Annotated

import aiomisc
import cappa

from monsoonhinge.control import process
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_MEMBERS = 3
_PROPOSERS = (1, 16, 256)
_CHANGES = 1000
_POLL_S = 0.002


@cappa.command(name="monsoonhinge-bench-commits")
@dataclasses.dataclass(kw_only=True)
class Options:
    """Measures the replicated log on loopback with real fsync.

    Attributes:
        seconds: Length of each measurement of commits.
        directory: Where to put the data directories.
    """

    seconds: Annotated[float, cappa.Arg(long=True, help="Seconds per row")] = (
        5.0
    )
    directory: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Parent of the data directories"),
    ] = None


class Cluster:
    """Control processes that share this event loop."""

    def __init__(self, path: pathlib.Path) -> None:
        members = [
            settings.Member(name=f"c{number}", address=address)
            for number, address in enumerate(_free_addresses(_MEMBERS))
        ]
        self.configs = [
            settings.Control(
                node=member.name,
                availability_zone="z1",
                operations=member.address,
                cluster_secret="secret of the benchmark",
                listen=member.address,
                data_dir=path / member.name,
                members=members,
            )
            for member in members
        ]
        self.running: list[process.ControlProcess] = []

    async def start(self) -> None:
        """Starts all processes and waits for a leader."""
        for config in self.configs:
            self.running.append(process.ControlProcess.from_config(config))
            await self.running[-1].start()
        await self.leader()

    async def stop(self) -> None:
        """Stops all processes."""
        while self.running:
            await self.running.pop().stop()

    async def leader(self) -> process.ControlProcess:
        """Returns the leader once it has committed in its term."""
        while True:
            for member in self.running:
                leadership = member.driver.raft.leadership
                if leadership is not None and leadership.established:
                    return member
            await asyncio.sleep(_POLL_S)

    async def propose(self, number: int) -> None:
        """Commits one change through whichever member leads."""
        data = codec.encode_command(
            commands.CheckpointBudget(team=f"team-{number}", granted=number)
        )
        while True:
            try:
                leader = await self.leader()
                await leader.driver.propose(data)
                return
            except errors.MonsoonhingeError:
                await asyncio.sleep(_POLL_S)


async def _measure_commits(
    cluster: Cluster, *, proposers: int, seconds: float
) -> tuple[float, float]:
    """Returns commits per second and the 99th percentile in seconds."""
    latencies: list[float] = []
    started = time.perf_counter()

    async def propose_in_turn(proposer: int) -> None:
        while time.perf_counter() < started + seconds:
            asked = time.perf_counter()
            await cluster.propose(proposer)
            latencies.append(time.perf_counter() - asked)

    await asyncio.gather(*(propose_in_turn(n) for n in range(proposers)))
    elapsed = time.perf_counter() - started
    latencies.sort()
    return len(latencies) / elapsed, latencies[int(len(latencies) * 0.99)]


async def _measure_failover(cluster: Cluster) -> float:
    """Returns seconds from the leader's stop to the next commit."""
    leader = await cluster.leader()
    started = time.perf_counter()
    cluster.running.remove(leader)
    await leader.stop()
    await cluster.propose(0)
    return time.perf_counter() - started


async def _measure_restart(path: pathlib.Path) -> tuple[float, float]:
    """Returns seconds to read 1,000 changes back and to the next commit."""
    cluster = Cluster(path)
    await cluster.start()
    await asyncio.gather(*(cluster.propose(n) for n in range(_CHANGES)))
    await cluster.stop()
    started = time.perf_counter()
    cluster.running = [
        process.ControlProcess.from_config(config) for config in cluster.configs
    ]
    opened = time.perf_counter() - started
    for member in cluster.running:
        await member.start()
    await cluster.propose(0)
    committed = time.perf_counter() - started
    await cluster.stop()
    return opened / _MEMBERS, committed


async def _run(path: pathlib.Path, seconds: float) -> None:
    cluster = Cluster(path / "commits")
    await cluster.start()
    print(f"{'measurement':<32}{'commits/s':>12}{'p99 ms':>10}{'s':>10}")
    for proposers in _PROPOSERS:
        rate, p99 = await _measure_commits(
            cluster, proposers=proposers, seconds=seconds
        )
        label = f"{proposers} proposers"
        print(f"{label:<32}{rate:>12.0f}{p99 * 1000:>10.1f}")
    failover = await _measure_failover(cluster)
    await cluster.stop()
    opened, committed = await _measure_restart(path / "restart")
    _print_times(
        (
            ("failover to next commit", failover),
            (f"open with {_CHANGES} changes", opened),
            (f"restart of all, {_CHANGES} changes", committed),
        )
    )


def _print_times(rows: Iterable[tuple[str, float]]) -> None:
    for label, seconds in rows:
        print(f"{label:<54}{seconds:>10.3f}")


def _free_addresses(count: int) -> list[settings.Address]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [
            settings.Address(host="127.0.0.1", port=item.getsockname()[1])
            for item in sockets
        ]
    finally:
        for item in sockets:
            item.close()


def main() -> None:
    """Runs the measurements and prints the table."""
    options = cappa.parse(Options)
    path = pathlib.Path(tempfile.mkdtemp(dir=options.directory))
    try:
        with aiomisc.entrypoint(log_config=False, pool_size=2) as loop:
            loop.run_until_complete(_run(path, options.seconds))
    finally:
        shutil.rmtree(path)


if __name__ == "__main__":
    main()
