"""Measures commits, failover and restart of the replicated log.

Runs three control members on loopback inside this process, each with its own
storage and connections, and prints one table.
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

_MEMBER_COUNT = 3
_PROPOSER_COUNTS = (1, 16, 256)
_CHANGE_COUNT = 1000
_FAILOVER_COUNT = 9
_POLL_S = 0.002

# Lets a restarted member connect and catch up before the next failover.
_CATCH_UP_S = 1.0


@cappa.command(name="monsoonhinge-bench-commits")
@dataclasses.dataclass(kw_only=True)
class Options:
    """Measures the replicated log on loopback with real fsync.

    Attributes:
        seconds: Duration of each measurement of commits, in seconds.
        directory: Parent of the data directories; by default the system's
            directory for temporary files.
    """

    seconds: Annotated[float, cappa.Arg(long=True, help="Seconds per row")] = (
        5.0
    )
    directory: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Parent of the data directories"),
    ] = None


class InProcessCluster:
    """Control members that run in this process and share its event loop.

    Attributes:
        configs: Settings of all members.
        running_members: Members that are started.
    """

    def __init__(self, path: pathlib.Path) -> None:
        addresses = _free_addresses(2 * _MEMBER_COUNT)
        members = [
            settings.Member(name=f"c{number}", address=addresses[number])
            for number in range(_MEMBER_COUNT)
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
                # The gateway in the claims sends no probes, so its session
                # would expire and the claims would be abandoned.
                session_ttl_s=3600.0,
            )
            for member, operations in zip(
                members, addresses[_MEMBER_COUNT:], strict=True
            )
        ]
        self.running_members: list[process.ControlProcess] = []
        self._call_count = 0

    async def start(self) -> None:
        """Starts all members and waits for a leader."""
        for config in self.configs:
            self.running_members.append(
                process.ControlProcess.from_config(config)
            )
            await self.running_members[-1].start()
        await self.wait_for_leader()

    async def stop(self) -> None:
        """Stops all running members."""
        while self.running_members:
            await self.running_members.pop().stop()

    async def wait_for_leader(self) -> process.ControlProcess:
        """Returns the leader once it has committed in its term."""
        while True:
            for member in self.running_members:
                leadership = member.driver.raft.leadership
                if leadership is not None and leadership.has_committed_in_term:
                    return member
            await asyncio.sleep(_POLL_S)

    async def propose(self) -> None:
        """Commits the claim of a new call, with retries until it succeeds."""
        self._call_count += 1
        data = codec.encode_command(
            commands.ClaimCall(
                team="team",
                route="refunds",
                key=f"call-{self._call_count}",
                digest=b"d" * 32,
                gateway="gateway/1",
                claim_id=f"claim-{self._call_count}",
            )
        )
        while True:
            try:
                leader = await self.wait_for_leader()
                await leader.driver.propose(data)
                return
            except errors.MonsoonhingeError:
                await asyncio.sleep(_POLL_S)


async def _measure_commits(
    cluster: InProcessCluster, *, proposers: int, seconds: float
) -> tuple[float, float]:
    """Returns commits per second and the p99 latency in seconds."""
    latencies: list[float] = []
    started = time.perf_counter()

    async def propose_repeatedly() -> None:
        while time.perf_counter() < started + seconds:
            proposed = time.perf_counter()
            await cluster.propose()
            latencies.append(time.perf_counter() - proposed)

    await asyncio.gather(*(propose_repeatedly() for _ in range(proposers)))
    elapsed = time.perf_counter() - started
    latencies.sort()
    return len(latencies) / elapsed, latencies[int(len(latencies) * 0.99)]


async def _measure_failovers(cluster: InProcessCluster) -> list[float]:
    """Returns sorted times in seconds from a leader's stop to a commit."""
    durations_s = []
    for _ in range(_FAILOVER_COUNT):
        leader = await cluster.wait_for_leader()
        started = time.perf_counter()
        cluster.running_members.remove(leader)
        await leader.stop()
        await cluster.propose()
        durations_s.append(time.perf_counter() - started)
        restarted = process.ControlProcess.from_config(leader.config)
        await restarted.start()
        cluster.running_members.append(restarted)
        await asyncio.sleep(_CATCH_UP_S)
    return sorted(durations_s)


async def _measure_restart(path: pathlib.Path) -> tuple[float, float]:
    """Measures a restart of all members with 1,000 changes in the log.

    Returns:
        Seconds for one member to read its log, and seconds from the restart
        to the first commit.
    """
    cluster = InProcessCluster(path)
    await cluster.start()
    await asyncio.gather(*(cluster.propose() for _ in range(_CHANGE_COUNT)))
    await cluster.stop()
    started = time.perf_counter()
    cluster.running_members = [
        process.ControlProcess.from_config(config) for config in cluster.configs
    ]
    opened = time.perf_counter() - started
    for member in cluster.running_members:
        await member.start()
    await cluster.propose()
    committed = time.perf_counter() - started
    await cluster.stop()
    return opened / _MEMBER_COUNT, committed


async def _run(path: pathlib.Path, seconds: float) -> None:
    cluster = InProcessCluster(path / "commits")
    await cluster.start()
    print(f"{'measurement':<32}{'commits/s':>12}{'p99 ms':>10}{'s':>10}")
    for proposers in _PROPOSER_COUNTS:
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
            (f"open with {_CHANGE_COUNT} changes", opened),
            (f"restart of all, {_CHANGE_COUNT} changes", committed),
        )
    )


def _print_times(rows: Iterable[tuple[str, float]]) -> None:
    for label, seconds in rows:
        print(f"{label:<54}{seconds:>10.3f}")


def _free_addresses(count: int) -> list[settings.Address]:
    listeners = [socket.socket() for _ in range(count)]
    try:
        for listener in listeners:
            listener.bind(("127.0.0.1", 0))
        return [
            settings.Address(host="127.0.0.1", port=listener.getsockname()[1])
            for listener in listeners
        ]
    finally:
        for listener in listeners:
            listener.close()


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
