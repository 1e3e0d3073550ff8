"""Measures a gateway in front of a stand-in engine with real processes."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import os
import pathlib
import tempfile
import time
from typing import Annotated, Any

import aiohttp
import cappa

from monsoonhinge.bench import local
from monsoonhinge.bench import operators

_KEY = "bench-key"
_OBJECTS: list[dict[str, Any]] = [
    {
        "kind": "model",
        "name": "assistant",
        "versions": [{"version": "1", "weights_bytes": 1, "load_s": 0.1}],
        "current": "1",
        "kv_bytes_per_replica": 1,
        "max_concurrency": 5000,
    },
    {
        "kind": "team",
        "name": "bars",
        "tokens_per_s": 1e9,
        "burst_tokens": 10**9,
    },
    {
        "kind": "route",
        "name": "assistant",
        "model": "assistant",
        "teams": ["bars"],
        "max_timeout_s": 600,
    },
]

_CHUNK_STREAMS = 20
_CHUNKS = 2000

Post = Callable[[dict[str, Any]], Any]


@cappa.command(name="monsoonhinge-bench-gateway")
@dataclasses.dataclass
class Options:
    """Measures a gateway on loopback.

    Attributes:
        seconds: Length of the throughput run.
        requests: Requests of each latency run.
        workers: Concurrent requests of the throughput run.
        streams: Open streams of the memory run.
    """

    seconds: Annotated[float, cappa.Arg(long=True)] = 4.0
    requests: Annotated[int, cappa.Arg(long=True)] = 1000
    workers: Annotated[int, cappa.Arg(long=True)] = 16
    streams: Annotated[int, cappa.Arg(long=True)] = 1000


def publish(cluster: local.Cluster) -> None:
    """Publishes the objects and grants the key."""
    operator = operators.Operator.of(cluster, name="bench")
    for result in (
        operator.publish(1, _OBJECTS),
        operator.grant(name="bench", team="bars", key=_KEY),
    ):
        if result.code != "accepted":
            raise RuntimeError(f"not published: {result.message}")


class Bench:
    """Calls of one gateway and of its engine.

    Attributes:
        cluster: The processes.
        session: HTTP connections of the caller.
    """

    def __init__(
        self, *, cluster: local.Cluster, session: aiohttp.ClientSession
    ) -> None:
        self.cluster = cluster
        self.session = session

    def through(self, body: dict[str, Any]) -> Any:
        """Posts through the gateway."""
        port = self.cluster.nodes["gateway-0"].settings["callers"]["port"]
        return self._post(port, {"model": "assistant", **body})

    def direct(self, body: dict[str, Any]) -> Any:
        """Posts to the engine."""
        port = self.cluster.nodes["engine-0"].settings["listen"]["port"]
        return self._post(port, {"model": "assistant", **body})

    async def latency(self, post: Post, count: int) -> list[float]:
        """Returns sorted times of requests made one after another."""
        times = []
        for _ in range(count):
            started = time.perf_counter()
            await _whole(post, {"max_tokens": 1})
            times.append(time.perf_counter() - started)
        return sorted(times)

    async def throughput(
        self, post: Post, workers: int, seconds: float
    ) -> float:
        """Returns requests per second with some requests at a time."""
        count = 0
        end = time.perf_counter() + seconds

        async def work() -> None:
            nonlocal count
            while time.perf_counter() < end:
                await _whole(post, {"max_tokens": 1})
                count += 1

        await _together([work] * workers)
        return count / seconds

    async def chunks(self, post: Post, streams: int, length: int) -> float:
        """Returns streamed chunks per second."""
        body = {"stream": True, "max_tokens": length}
        started = time.perf_counter()
        await _together([lambda: _whole(post, body)] * streams)
        return streams * length / (time.perf_counter() - started)

    async def open_streams(self, count: int) -> tuple[int, int]:
        """Returns the gateway's memory before and with open streams, in KiB."""
        before = self._memory_kib()
        body = {"stream": True, "max_tokens": 300}
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(count):
                response = await stack.enter_async_context(self.through(body))
                await response.content.readany()
            await asyncio.sleep(0.5)
            during = self._memory_kib()
            # Closing at once spares reading the streams to their end.
            await self.session.close()
        return before, during

    def cpu_s(self) -> float:
        """Returns the CPU time of the gateway so far, in seconds."""
        stat = pathlib.Path(f"/proc/{self._pid()}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _pid(self) -> int:
        process = self.cluster.nodes["gateway-0"].process
        assert process is not None
        return process.pid

    def _post(self, port: int, body: dict[str, Any]) -> Any:
        return self.session.post(
            f"http://127.0.0.1:{port}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {_KEY}", "X-Request-Id": "b"},
        )

    def _memory_kib(self) -> int:
        status = pathlib.Path(f"/proc/{self._pid()}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


async def measure(bench: Bench, options: Options) -> None:
    """Prints latency and throughput."""
    await bench.latency(bench.through, 50)
    direct = await bench.latency(bench.direct, options.requests)
    through = await bench.latency(bench.through, options.requests)
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        index = int(part * (options.requests - 1))
        added = (through[index] - direct[index]) * 1000
        print(
            f"latency {name}: direct {direct[index] * 1000:.2f} ms, "
            f"gateway {through[index] * 1000:.2f} ms, added {added:.2f} ms"
        )
    for label, post in (
        ("direct", bench.direct),
        ("gateway", bench.through),
    ):
        used = bench.cpu_s()
        rate = await bench.throughput(post, options.workers, options.seconds)
        used = bench.cpu_s() - used
        if label == "gateway":
            per_request = used / (rate * options.seconds) * 1000
            print(f"gateway: {per_request:.3f} ms of CPU per request")
        chunks = await bench.chunks(post, _CHUNK_STREAMS, _CHUNKS)
        print(
            f"{label}: {rate:.0f} requests/s with {options.workers} at a "
            f"time, {chunks:.0f} chunks/s on {_CHUNK_STREAMS} streams"
        )


async def measure_memory(bench: Bench, options: Options) -> None:
    """Prints the memory of the gateway with open streams."""
    before, during = await bench.open_streams(options.streams)
    print(
        f"memory: {before / 1024:.1f} MiB, with {options.streams} open "
        f"streams {during / 1024:.1f} MiB"
    )


async def _prepared(
    cluster: local.Cluster,
    work: Callable[[Bench, Options], Awaitable[None]],
    options: Options,
) -> None:
    await asyncio.to_thread(publish, cluster)
    await asyncio.to_thread(cluster.wait_ready)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=120),
    ) as session:
        await work(Bench(cluster=cluster, session=session), options)


async def _whole(post: Post, body: dict[str, Any]) -> None:
    async with post(body) as response:
        text = await response.text()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {text}")


async def _together(works: list[Callable[[], Awaitable[None]]]) -> None:
    await asyncio.gather(*(work() for work in works))


def main() -> None:
    """Starts the processes, prints the figures and stops the processes."""
    options = cappa.parse(Options)
    for work, token_s in ((measure, 0.0), (measure_memory, 1.0)):
        with tempfile.TemporaryDirectory() as folder:
            cluster = local.Cluster.plan(
                pathlib.Path(folder),
                services=0,
                engine={"first_token_s": 0.0, "token_s": token_s},
            )
            cluster.start()
            try:
                asyncio.run(_prepared(cluster, work, options))
            finally:
                cluster.stop()


if __name__ == "__main__":
    main()
