"""Measures a gateway process in front of an emulated engine."""

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

from monsoonhinge.bench import local_cluster
from monsoonhinge.bench import operator_client

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

_STREAM_COUNT = 20
_CHUNKS_PER_STREAM = 2000
_WARM_UP_REQUESTS = 50

# Posts a request body; the result is a context manager with the response.
Post = Callable[[dict[str, Any]], Any]


@cappa.command(name="monsoonhinge-bench-gateway")
@dataclasses.dataclass
class Options:
    """Measures a gateway on loopback.

    Attributes:
        seconds: Duration of the throughput run, in seconds.
        requests: Number of requests in each latency run.
        workers: Number of concurrent requests in the throughput run.
        streams: Number of open streams in the memory run.
    """

    seconds: Annotated[float, cappa.Arg(long=True)] = 4.0
    requests: Annotated[int, cappa.Arg(long=True)] = 1000
    workers: Annotated[int, cappa.Arg(long=True)] = 16
    streams: Annotated[int, cappa.Arg(long=True)] = 1000


def publish(cluster: local_cluster.Cluster) -> None:
    """Publishes the configuration and grants the caller key.

    Raises:
        RuntimeError: The configuration or the key was not accepted.
    """
    operator = operator_client.OperatorClient.for_cluster(cluster, name="bench")
    for result in (
        operator.publish(1, _OBJECTS),
        operator.grant_key(name="bench", team="bars", key=_KEY),
    ):
        if result.code != "accepted":
            raise RuntimeError(f"publication refused: {result.message}")


class GatewayBenchmark:
    """Sends requests to a gateway and to its engine and measures them.

    Attributes:
        cluster: Processes of the cluster.
        session: HTTP session of the caller.
    """

    def __init__(
        self, *, cluster: local_cluster.Cluster, session: aiohttp.ClientSession
    ) -> None:
        self.cluster = cluster
        self.session = session

    def post_to_gateway(self, body: dict[str, Any]) -> Any:
        """Posts a chat completion to the gateway."""
        port = self.cluster.nodes["gateway-0"].settings["callers"]["port"]
        return self._post(port, {"model": "assistant", **body})

    def post_to_engine(self, body: dict[str, Any]) -> Any:
        """Posts a chat completion directly to the engine."""
        port = self.cluster.nodes["engine-0"].settings["listen"]["port"]
        return self._post(port, {"model": "assistant", **body})

    async def measure_latencies_s(self, post: Post, count: int) -> list[float]:
        """Returns the sorted latencies of sequential requests, in seconds."""
        latencies_s = []
        for _ in range(count):
            started = time.perf_counter()
            await _post_and_read(post, {"max_tokens": 1})
            latencies_s.append(time.perf_counter() - started)
        return sorted(latencies_s)

    async def measure_requests_per_s(
        self, post: Post, workers: int, seconds: float
    ) -> float:
        """Returns requests per second of a number of concurrent workers."""
        count = 0
        end = time.perf_counter() + seconds

        async def send_until_end() -> None:
            nonlocal count
            while time.perf_counter() < end:
                await _post_and_read(post, {"max_tokens": 1})
                count += 1

        await asyncio.gather(*(send_until_end() for _ in range(workers)))
        return count / seconds

    async def measure_chunks_per_s(
        self, post: Post, streams: int, chunks_per_stream: int
    ) -> float:
        """Returns chunks per second over some concurrent streams."""
        body = {"stream": True, "max_tokens": chunks_per_stream}
        started = time.perf_counter()
        await asyncio.gather(
            *(_post_and_read(post, body) for _ in range(streams))
        )
        elapsed_s = time.perf_counter() - started
        return streams * chunks_per_stream / elapsed_s

    async def measure_stream_memory_kib(self, count: int) -> tuple[int, int]:
        """Returns the gateway's memory without and with open streams, in KiB.

        Closes the session.
        """
        before = self._gateway_memory_kib()
        body = {"stream": True, "max_tokens": 300}
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(count):
                response = await stack.enter_async_context(
                    self.post_to_gateway(body)
                )
                await response.content.readany()
            await asyncio.sleep(0.5)
            during = self._gateway_memory_kib()
            # Closing the session avoids reading the streams to their end.
            await self.session.close()
        return before, during

    def gateway_cpu_s(self) -> float:
        """Returns the CPU time that the gateway has used, in seconds."""
        stat = pathlib.Path(f"/proc/{self._gateway_pid()}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _gateway_pid(self) -> int:
        process = self.cluster.nodes["gateway-0"].process
        assert process is not None
        return process.pid

    def _post(self, port: int, body: dict[str, Any]) -> Any:
        return self.session.post(
            f"http://127.0.0.1:{port}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {_KEY}", "X-Request-Id": "b"},
        )

    def _gateway_memory_kib(self) -> int:
        status = pathlib.Path(f"/proc/{self._gateway_pid()}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


async def measure_speed(bench: GatewayBenchmark, options: Options) -> None:
    """Measures and prints latency, CPU time and throughput."""
    await bench.measure_latencies_s(bench.post_to_gateway, _WARM_UP_REQUESTS)
    engine_s = await bench.measure_latencies_s(
        bench.post_to_engine, options.requests
    )
    gateway_s = await bench.measure_latencies_s(
        bench.post_to_gateway, options.requests
    )
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        index = int(quantile * (options.requests - 1))
        added_ms = (gateway_s[index] - engine_s[index]) * 1000
        print(
            f"latency {name}: direct {engine_s[index] * 1000:.2f} ms, "
            f"gateway {gateway_s[index] * 1000:.2f} ms, "
            f"added {added_ms:.2f} ms"
        )
    for label, post in (
        ("direct", bench.post_to_engine),
        ("gateway", bench.post_to_gateway),
    ):
        cpu_before_s = bench.gateway_cpu_s()
        rate = await bench.measure_requests_per_s(
            post, options.workers, options.seconds
        )
        cpu_s = bench.gateway_cpu_s() - cpu_before_s
        if label == "gateway":
            per_request_ms = cpu_s / (rate * options.seconds) * 1000
            print(f"gateway: {per_request_ms:.3f} ms of CPU per request")
        chunk_rate = await bench.measure_chunks_per_s(
            post, _STREAM_COUNT, _CHUNKS_PER_STREAM
        )
        print(
            f"{label}: {rate:.0f} requests/s with {options.workers} at a "
            f"time, {chunk_rate:.0f} chunks/s on {_STREAM_COUNT} streams"
        )


async def measure_memory(bench: GatewayBenchmark, options: Options) -> None:
    """Measures and prints the memory of the gateway with open streams."""
    before, during = await bench.measure_stream_memory_kib(options.streams)
    print(
        f"memory: {before / 1024:.1f} MiB, with {options.streams} open "
        f"streams {during / 1024:.1f} MiB"
    )


async def _run_benchmark(
    cluster: local_cluster.Cluster,
    measure: Callable[[GatewayBenchmark, Options], Awaitable[None]],
    options: Options,
) -> None:
    await asyncio.to_thread(publish, cluster)
    await asyncio.to_thread(cluster.wait_ready)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=120),
    ) as session:
        await measure(
            GatewayBenchmark(cluster=cluster, session=session), options
        )


async def _post_and_read(post: Post, body: dict[str, Any]) -> None:
    async with post(body) as response:
        text = await response.text()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {text}")


def main() -> None:
    """Runs each benchmark on a new cluster and prints the results."""
    options = cappa.parse(Options)
    for measure, token_s in ((measure_speed, 0.0), (measure_memory, 1.0)):
        with tempfile.TemporaryDirectory() as folder:
            cluster = local_cluster.Cluster.create(
                pathlib.Path(folder),
                services=0,
                engine_settings={"first_token_s": 0.0, "token_s": token_s},
            )
            cluster.start()
            try:
                asyncio.run(_run_benchmark(cluster, measure, options))
            finally:
                cluster.stop()


if __name__ == "__main__":
    main()
