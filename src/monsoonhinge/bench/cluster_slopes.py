"""Costs of processes on loopback, read from the metrics they export."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
from typing import Any

import aiohttp

from monsoonhinge.bench import fit
from monsoonhinge.bench import local_cluster
from monsoonhinge.bench import node_metrics
from monsoonhinge.bench import synthetic
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.config import view
from monsoonhinge.control import client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import settings

_KEY = "measurement-key"
_WINDOW_S = 4.0
_SUBSCRIBER_COUNTS = (20, 60, 120)
_TARGET_COUNTS = (100, 200, 400)
_COMMIT_COUNTS = (200, 600, 1_200)
_REQUEST_COUNTS = (300, 900, 1_800)
_CHUNK_COUNTS = (2_000, 8_000, 24_000)
_CONCURRENCY = 16
_SENT_BYTES = 'monsoonhinge_peer_sent_bytes_total{role="gateway"}'


async def measure(folder: pathlib.Path) -> list[fit.CostSeries]:
    """Starts a small cluster and measures its costs.

    Args:
        folder: Folder for settings, data and logs of the cluster.
    """
    cluster = local_cluster.Cluster.create(
        folder,
        controls=3,
        schedulers=2,
        gateways=1,
        engines=1,
        services=1,
        engine_settings={"token_s": 0.0, "first_token_s": 0.0, "load_s": 0.1},
        service_settings={"services": ["ledger"], "service_s": 0.0},
    )
    cluster.start()
    try:
        async with _connect_operator(cluster) as control:
            await _publish_objects(control)
            await asyncio.to_thread(cluster.wait_ready)
            series = [await _measure_commits(cluster, control)]
        series += await _measure_subscribers(cluster)
        series += await _measure_targets(cluster)
        series += await _measure_requests(cluster)
        return series
    finally:
        cluster.stop()


@contextlib.asynccontextmanager
async def _connect_operator(
    cluster: local_cluster.Cluster,
) -> AsyncIterator[client.Client]:
    control = _make_client(cluster, "operator", "operator")
    control.start(watch=False)
    try:
        yield control
    finally:
        await control.stop()


def _make_identity(node: str, role: str) -> connection.Identity:
    return connection.Identity(
        node=node,
        role=role,
        incarnation=1,
        secret=local_cluster.CLUSTER_SECRET.encode(),
    )


def _make_client(
    cluster: local_cluster.Cluster, node: str, role: str
) -> client.Client:
    operator = settings.read(
        cluster.settings_path("operator"), settings.Operator
    )
    return client.Client(
        members=operator.control, identity=_make_identity(node, role)
    )


async def _publish_objects(control: client.Client) -> None:
    documents = synthetic.objects(models=20, adapters=40, teams=5)
    documents += [
        {"kind": "service", "name": "ledger"},
        {
            "kind": "route",
            "name": "ledger",
            "service": "ledger",
            "teams": ["team-0"],
        },
    ]
    parsed = validate.parse_set(documents)
    result = await control.propose(
        commands.PublishConfig(
            version=1,
            digest=validate.digest(parsed.values()),
            publisher="measurement",
            objects=[schema.canonical(item) for item in parsed.values()],
        ),
        commands.ConfigResult,
        timeout=20,
    )
    assert result.code == "accepted", result.message
    await _grant_key(control, "measurement", _KEY)


async def _grant_key(control: client.Client, name: str, key: str) -> int:
    result = await control.propose(
        commands.GrantKey(
            name=name,
            team="team-0",
            hash=view.key_hash(
                secret=local_cluster.KEY_SECRET.encode(), key=key
            ),
        ),
        commands.ConfigResult,
        timeout=10,
    )
    return result.version


async def _measure_commits(
    cluster: local_cluster.Cluster, control: client.Client
) -> fit.CostSeries:
    members = cluster.nodes_of("control")
    costs = []
    for size in _COMMIT_COUNTS:
        before = [await node_metrics.cpu_seconds(node) for node in members]

        async def propose(first: int, count: int = size) -> None:
            for number in range(first, count, _CONCURRENCY):
                await control.propose(
                    commands.ClaimCall(
                        team="team-0",
                        route="ledger",
                        key=f"{count}-{number}",
                        digest=bytes(32),
                        gateway="measurement/1",
                        claim_id=f"{count}-{number}",
                    ),
                    commands.CallResult,
                    timeout=10,
                )

        await asyncio.gather(*map(propose, range(_CONCURRENCY)))
        costs.append(
            await node_metrics.max_cpu_increase_s(members, before) * 1e6
        )
    return fit.CostSeries(
        "commit a record (busiest control member)",
        "record",
        "us",
        [float(size) for size in _COMMIT_COUNTS],
        costs,
    )


async def _measure_subscribers(
    cluster: local_cluster.Cluster,
) -> list[fit.CostSeries]:
    members = cluster.nodes_of("control")
    costs, sent, delays = [], [], []
    for size in _SUBSCRIBER_COUNTS:
        clients = [
            _make_client(cluster, f"subscriber-{n}", "gateway")
            for n in range(size)
        ]
        for subscriber in clients:
            subscriber.start()
        await asyncio.sleep(1.5)
        before = [await node_metrics.cpu_seconds(node) for node in members]
        bytes_before = await _bytes_sent_to_gateways(members)
        await asyncio.sleep(_WINDOW_S)
        busiest = await node_metrics.max_cpu_increase_s(members, before)
        costs.append(busiest / _WINDOW_S * 1e6)
        sent.append(
            (await _bytes_sent_to_gateways(members) - bytes_before) / _WINDOW_S
        )
        delays.append(await _measure_propagation_ms(cluster, clients))
        await asyncio.gather(*(subscriber.stop() for subscriber in clients))
    sizes = [float(size) for size in _SUBSCRIBER_COUNTS]
    return [
        fit.CostSeries(
            "idle subscriber (busiest control member)",
            "subscriber",
            "us/s",
            sizes,
            costs,
        ),
        fit.CostSeries(
            "bytes to idle subscribers", "subscriber", "B/s", sizes, sent
        ),
        fit.CostSeries(
            "change in effect on all subscribers",
            "subscriber",
            "ms",
            sizes,
            delays,
        ),
    ]


async def _bytes_sent_to_gateways(members: list[local_cluster.Node]) -> float:
    metrics = [await node_metrics.read_metrics(node) for node in members]
    return sum(values.get(_SENT_BYTES, 0.0) for values in metrics)


async def _measure_propagation_ms(
    cluster: local_cluster.Cluster, clients: list[client.Client]
) -> float:
    loop = asyncio.get_running_loop()
    async with _connect_operator(cluster) as control:
        await asyncio.sleep(0.3)
        start = loop.time()
        version = await _grant_key(
            control, f"key-{len(clients)}", f"key-{len(clients)}"
        )
        while any(item.view.version < version for item in clients):
            await asyncio.sleep(0.001)
            if loop.time() - start > 20:
                break
        return (loop.time() - start) * 1000


class _UpdateCounter:
    """Counts the updates that a scheduler sends to a gateway."""

    def __init__(self) -> None:
        self.updates = 0

    def connected(self, link: connection.Connection) -> None:
        """Subscribes to the directory of targets."""
        link.notify(messages.Subscribe(gateway="measurement"))

    def disconnected(self, link: connection.Connection) -> None:
        """Does nothing; the peer reconnects on its own."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Counts each message as an update."""
        self.updates += 1
        return None


async def _measure_targets(
    cluster: local_cluster.Cluster,
) -> list[fit.CostSeries]:
    """Measures announcements and directory updates at a standby scheduler.

    The announced replicas are orphans, since no decision accounts for them;
    the active scheduler would order all of them to be unloaded.
    """
    node = await _find_standby(cluster)
    address = node.settings["listen"]
    peer = endpoint.Peer(
        host=address["host"],
        port=address["port"],
        identity=_make_identity("measurement", "gateway"),
        handler=_UpdateCounter(),
    )
    peer.start()
    await asyncio.sleep(0.5)
    costs, sent, sequence = [], [], 0
    for size in _TARGET_COUNTS:
        before = {}
        # New targets are sent in full during the first second, which is not
        # part of the measured window.
        for second in range(int(_WINDOW_S) + 2):
            if second == 2:
                before = await node_metrics.read_metrics(node)
            sequence += 1
            _announce(peer, size, sequence)
            await asyncio.sleep(1)
        after = await node_metrics.read_metrics(node)
        cpu = node_metrics.CPU_SECONDS
        costs.append((after[cpu] - before[cpu]) / _WINDOW_S * 1e6)
        # Two gateways subscribe: the cluster's own and this client.
        sent.append((after[_SENT_BYTES] - before[_SENT_BYTES]) / _WINDOW_S / 2)
    await peer.stop()
    await asyncio.sleep(4)
    sizes = [float(size) for size in _TARGET_COUNTS]
    return [
        fit.CostSeries(
            "announced target (standby scheduler)",
            "target",
            "us/s",
            sizes,
            costs,
        ),
        fit.CostSeries(
            "directory bytes to one gateway, no model followed",
            "target",
            "B/s",
            sizes,
            sent,
        ),
    ]


async def _find_standby(cluster: local_cluster.Cluster) -> local_cluster.Node:
    lease_held = 'monsoonhinge_scheduler_lease_held{lease="scheduler"}'
    for node in cluster.nodes_of("scheduler"):
        if not (await node_metrics.read_metrics(node)).get(lease_held):
            return node
    raise RuntimeError("no scheduler is on standby")


def _announce(peer: endpoint.Peer, size: int, sequence: int) -> None:
    for first in range(0, size, 25):
        peer.notify(
            messages.Announcements(
                targets=[
                    synthetic.target(n, sequence, replicas=8)
                    for n in range(first, min(first + 25, size))
                ]
            )
        )


async def _measure_requests(
    cluster: local_cluster.Cluster,
) -> list[fit.CostSeries]:
    (gateway,) = cluster.nodes_of("gateway")
    url = f"http://127.0.0.1:{gateway.settings['callers']['port']}"
    headers = {"Authorization": f"Bearer {_KEY}"}
    async with aiohttp.ClientSession(headers=headers) as session:

        async def call() -> None:
            async with session.get(f"{url}/services/ledger/depots") as response:
                assert response.status == 200, await response.text()
                await response.read()

        async def stream(tokens: int) -> None:
            body: dict[str, Any] = {
                "model": "route-0",
                "stream": True,
                "max_tokens": tokens,
            }
            async with session.post(
                f"{url}/v1/chat/completions", json=body
            ) as response:
                assert response.status == 200, await response.text()
                async for _ in response.content.iter_any():
                    pass

        await call()
        await stream(4)
        call_costs = []
        for size in _REQUEST_COUNTS:
            before = await node_metrics.cpu_seconds(gateway)
            for _ in range(size // _CONCURRENCY):
                await asyncio.gather(*(call() for _ in range(_CONCURRENCY)))
            cpu_s = await node_metrics.cpu_seconds(gateway) - before
            call_costs.append(cpu_s * 1e6)
        chunk_costs = []
        for size in _CHUNK_COUNTS:
            before = await node_metrics.cpu_seconds(gateway)
            await asyncio.gather(
                *(stream(size // _CONCURRENCY) for _ in range(_CONCURRENCY))
            )
            cpu_s = await node_metrics.cpu_seconds(gateway) - before
            chunk_costs.append(cpu_s * 1e6)
    return [
        fit.CostSeries(
            "request to a plain service (gateway)",
            "request",
            "us",
            [
                float(size // _CONCURRENCY * _CONCURRENCY)
                for size in _REQUEST_COUNTS
            ],
            call_costs,
        ),
        fit.CostSeries(
            "streamed chunk (gateway)",
            "chunk",
            "us",
            [float(size) for size in _CHUNK_COUNTS],
            chunk_costs,
        ),
    ]
