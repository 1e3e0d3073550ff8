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
_FAILOVERS = 9
_POLL_S = 0.002

# The restarted member connects and catches up before the next failover.
_SETTLE_S = 1.0


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
        addresses = _free_addresses(2 * _MEMBERS)
        members = [
            settings.Member(name=f"c{number}", address=addresses[number])
            for number in range(_MEMBERS)
        ]
        self.configs = [
            settings.Control(
                node=member.name,
                availability_zone="z1",
                operations=operations,
                cluster_secret="secret of the benchmark",
                listen=member.address,
                data_dir=path / member.name,
                members=members,
                # No gateway probes here, and claims must not be abandoned.
                session_ttl_s=3600.0,
            )
            for member, operations in zip(
                members, addresses[_MEMBERS:], strict=True
            )
        ]
        self.running: list[process.ControlProcess] = []
        self._calls = 0

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
                if leadership is not None and leadership.has_committed_in_term:
                    return member
            await asyncio.sleep(_POLL_S)

    async def propose(self) -> None:
        """Commits one claim of a call through whichever member leads."""
        self._calls += 1
        data = codec.encode_command(
            commands.ClaimCall(
                team="team",
                route="refunds",
                key=f"call-{self._calls}",
                digest=b"d" * 32,
                gateway="gateway/1",
                claim_id=f"claim-{self._calls}",
            )
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

    async def propose_in_turn() -> None:
        while time.perf_counter() < started + seconds:
            asked = time.perf_counter()
            await cluster.propose()
            latencies.append(time.perf_counter() - asked)

    await asyncio.gather(*(propose_in_turn() for _ in range(proposers)))
    elapsed = time.perf_counter() - started
    latencies.sort()
    return len(latencies) / elapsed, latencies[int(len(latencies) * 0.99)]


async def _measure_failovers(cluster: Cluster) -> list[float]:
    """Returns sorted seconds from a leader's stop to the next commit."""
    times = []
    for _ in range(_FAILOVERS):
        leader = await cluster.leader()
        started = time.perf_counter()
        cluster.running.remove(leader)
        await leader.stop()
        await cluster.propose()
        times.append(time.perf_counter() - started)
        again = process.ControlProcess.from_config(leader.config)
        await again.start()
        cluster.running.append(again)
        await asyncio.sleep(_SETTLE_S)
    return sorted(times)


async def _measure_restart(path: pathlib.Path) -> tuple[float, float]:
    """Returns seconds to read 1,000 changes back and to the next commit."""
    cluster = Cluster(path)
    await cluster.start()
    await asyncio.gather(*(cluster.propose() for _ in range(_CHANGES)))
    await cluster.stop()
    started = time.perf_counter()
    cluster.running = [
        process.ControlProcess.from_config(config) for config in cluster.configs
    ]
    opened = time.perf_counter() - started
    for member in cluster.running:
        await member.start()
    await cluster.propose()
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
    failovers = await _measure_failovers(cluster)
    await cluster.stop()
    opened, committed = await _measure_restart(path / "restart")
    _print_times(
        (
            ("failover, median", failovers[len(failovers) // 2]),
            ("failover, longest", failovers[-1]),
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
