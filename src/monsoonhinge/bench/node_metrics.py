"""Reads the metrics of processes of a local cluster."""

import re

import aiohttp

from monsoonhinge.bench import local_cluster

CPU_SECONDS = "process_cpu_seconds_total"


async def read_metrics(node: local_cluster.Node) -> dict[str, float]:
    """Returns the metrics of a process by name with labels."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{node.operations_url}/metrics") as response,
    ):
        text = await response.text()
    return {
        name: float(value)
        for name, value in re.findall(r"^([^#\s]\S*) (\S+)$", text, re.M)
    }


async def cpu_seconds(node: local_cluster.Node) -> float:
    """Returns the CPU time that a process has used since its start."""
    return (await read_metrics(node))[CPU_SECONDS]


async def max_cpu_increase_s(
    nodes: list[local_cluster.Node], before: list[float]
) -> float:
    """Returns the CPU time of the busiest process since an earlier reading.

    Args:
        nodes: The processes.
        before: Earlier CPU time of each process, in seconds.
    """
    after = [await cpu_seconds(node) for node in nodes]
    return max(b - a for a, b in zip(before, after, strict=True))
