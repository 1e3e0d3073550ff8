"""Costs of the real processes on loopback, read from their own metrics."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
import re
from typing import Any

import aiohttp

from monsoonhinge.bench import fit
from monsoonhinge.bench import local
from monsoonhinge.bench import sample
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
_SUBSCRIBERS = (20, 60, 120)
_TARGETS = (100, 200, 400)
_COMMITS = (200, 600, 1_200)
_REQUESTS = (300, 900, 1_800)
_CHUNKS = (2_000, 8_000, 24_000)
_CONCURRENCY = 16


async def measure(folder: pathlib.Path) -> list[fit.Slope]:
    """Measures a small cluster.

    Args:
        folder: Folder for its settings, data and logs.
    """
    cluster = local.Cluster.plan(
        folder,
        controls=3,
        schedulers=2,
        gateways=1,
        engines=1,
        services=1,
        engine={"token_s": 0.0, "first_token_s": 0.0, "load_s": 0.1},
        service={"services": ["ledger"], "service_s": 0.0},
    )
    cluster.start()
    try:
        async with _operator(cluster) as control:
            await _publish(control)
            await asyncio.to_thread(cluster.wait_ready)
            rows = [await _commits(cluster, control)]
        rows += await _subscribers(cluster)
        rows += await _targets(cluster)
        rows += await _requests(cluster)
        return rows
    finally:
        cluster.stop()


async def _metrics(node: local.Node) -> dict[str, float]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{node.operations}/metrics") as response,
    ):
        text = await response.text()
    return {
        name: float(value)
        for name, value in re.findall(r"^([^#\s]\S*) (\S+)$", text, re.M)
    }


async def _processor_s(*nodes: local.Node) -> float:
    return sum(
        [(await _metrics(node))["process_cpu_seconds_total"] for node in nodes]
    )


async def _busiest_s(nodes: list[local.Node], before: list[float]) -> float:
    after = [await _processor_s(node) for node in nodes]
    return max(b - a for a, b in zip(before, after, strict=True))


@contextlib.asynccontextmanager
async def _operator(cluster: local.Cluster) -> AsyncIterator[client.Client]:
    control = _client(cluster, "operator", "operator")
    control.start(watch=False)
    try:
        yield control
    finally:
        await control.stop()


def _identity(node: str, role: str) -> connection.Identity:
    return connection.Identity(
        node=node,
        role=role,
        incarnation=1,
        secret=local.CLUSTER_SECRET.encode(),
    )


def _client(cluster: local.Cluster, node: str, role: str) -> client.Client:
    operator = settings.read(
        cluster.settings_path("operator"), settings.Operator
    )
    return client.Client(
        members=operator.control, identity=_identity(node, role)
    )


async def _publish(control: client.Client) -> None:
    documents = sample.objects(models=20, adapters=40, teams=5)
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
    await _grant(control, "measurement", _KEY)


async def _grant(control: client.Client, name: str, key: str) -> int:
    result = await control.propose(
        commands.GrantKey(
            name=name,
            team="team-0",
            hash=view.key_hash(secret=local.KEY_SECRET.encode(), key=key),
        ),
        commands.ConfigResult,
        timeout=10,
    )
    return result.version


async def _commits(cluster: local.Cluster, control: client.Client) -> fit.Slope:
    members = cluster.of("control")
    costs = []
    for size in _COMMITS:
        before = [await _processor_s(node) for node in members]

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
        costs.append(await _busiest_s(members, before) * 1e6)
    return fit.Slope(
        "commit a record (busiest control member)",
        "record",
        "us",
        [float(size) for size in _COMMITS],
        costs,
    )


async def _subscribers(cluster: local.Cluster) -> list[fit.Slope]:
    members = cluster.of("control")
    costs, sent, delays = [], [], []
    for size in _SUBSCRIBERS:
        clients = [
            _client(cluster, f"subscriber-{n}", "gateway") for n in range(size)
        ]
        for subscriber in clients:
            subscriber.start()
        await asyncio.sleep(1.5)
        before = [await _processor_s(node) for node in members]
        bytes_before = await _sent_to_gateways(members)
        await asyncio.sleep(_WINDOW_S)
        busiest = await _busiest_s(members, before)
        costs.append(busiest / _WINDOW_S * 1e6)
        sent.append(
            (await _sent_to_gateways(members) - bytes_before) / _WINDOW_S
        )
        delays.append(await _change_delay_ms(cluster, clients))
        await asyncio.gather(*(subscriber.stop() for subscriber in clients))
    sizes = [float(size) for size in _SUBSCRIBERS]
    return [
        fit.Slope(
            "idle subscriber (busiest control member)",
            "subscriber",
            "us/s",
            sizes,
            costs,
        ),
        fit.Slope(
            "bytes to idle subscribers", "subscriber", "B/s", sizes, sent
        ),
        fit.Slope(
            "change in effect on all subscribers",
            "subscriber",
            "ms",
            sizes,
            delays,
        ),
    ]


async def _sent_to_gateways(members: list[local.Node]) -> float:
    name = 'monsoonhinge_peer_sent_bytes_total{role="gateway"}'
    return sum([(await _metrics(node)).get(name, 0.0) for node in members])


async def _change_delay_ms(
    cluster: local.Cluster, clients: list[client.Client]
) -> float:
    loop = asyncio.get_running_loop()
    async with _operator(cluster) as control:
        await asyncio.sleep(0.3)
        start = loop.time()
        version = await _grant(
            control, f"key-{len(clients)}", f"key-{len(clients)}"
        )
        while any(item.view.version < version for item in clients):
            await asyncio.sleep(0.001)
            if loop.time() - start > 20:
                break
        return (loop.time() - start) * 1000


class _Sink:
    """Counts what a scheduler publishes to a gateway."""

    def __init__(self) -> None:
        self.updates = 0

    def connected(self, link: connection.Connection) -> None:
        """Subscribes."""
        link.notify(messages.Subscribe(gateway="measurement"))

    def disconnected(self, link: connection.Connection) -> None:
        """Nothing to do."""

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Counts an update."""
        self.updates += 1
        return None


async def _targets(cluster: local.Cluster) -> list[fit.Slope]:
    """Measures a standby scheduler.

    The targets' replicas have no decisions, so the active scheduler would
    order all of them to be unloaded.
    """
    node = await _standby(cluster)
    address = node.settings["listen"]
    peer = endpoint.Client(
        host=address["host"],
        port=address["port"],
        identity=_identity("measurement", "gateway"),
        handler=_Sink(),
    )
    peer.start()
    await asyncio.sleep(0.5)
    costs, sent, sequence = [], [], 0
    name = 'monsoonhinge_peer_sent_bytes_total{role="gateway"}'
    for size in _TARGETS:
        before = {}
        # The structure of new targets is sent in the first second.
        for second in range(int(_WINDOW_S) + 2):
            if second == 2:
                before = await _metrics(node)
            sequence += 1
            _announce(peer, size, sequence)
            await asyncio.sleep(1)
        after = await _metrics(node)
        processor = "process_cpu_seconds_total"
        costs.append((after[processor] - before[processor]) / _WINDOW_S * 1e6)
        # Two gateways subscribe: the real one and the measuring one.
        sent.append((after[name] - before[name]) / _WINDOW_S / 2)
    await peer.stop()
    await asyncio.sleep(4)
    sizes = [float(size) for size in _TARGETS]
    return [
        fit.Slope(
            "announced target (standby scheduler)",
            "target",
            "us/s",
            sizes,
            costs,
        ),
        fit.Slope(
            "directory bytes to one gateway, no model followed",
            "target",
            "B/s",
            sizes,
            sent,
        ),
    ]


async def _standby(cluster: local.Cluster) -> local.Node:
    held = 'monsoonhinge_scheduler_lease_held{lease="scheduler"}'
    for node in cluster.of("scheduler"):
        if not (await _metrics(node)).get(held):
            return node
    raise RuntimeError("no scheduler is on standby")


def _announce(peer: endpoint.Client, size: int, sequence: int) -> None:
    for first in range(0, size, 25):
        peer.notify(
            messages.Announcements(
                targets=[
                    sample.target(n, sequence, replicas=8)
                    for n in range(first, min(first + 25, size))
                ]
            )
        )


async def _requests(cluster: local.Cluster) -> list[fit.Slope]:
    (gateway,) = cluster.of("gateway")
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
        for size in _REQUESTS:
            before = await _processor_s(gateway)
            for _ in range(size // _CONCURRENCY):
                await asyncio.gather(*(call() for _ in range(_CONCURRENCY)))
            call_costs.append((await _processor_s(gateway) - before) * 1e6)
        chunk_costs = []
        for size in _CHUNKS:
            before = await _processor_s(gateway)
            await asyncio.gather(
                *(stream(size // _CONCURRENCY) for _ in range(_CONCURRENCY))
            )
            chunk_costs.append((await _processor_s(gateway) - before) * 1e6)
    return [
        fit.Slope(
            "request to a plain service (gateway)",
            "request",
            "us",
            [float(size // _CONCURRENCY * _CONCURRENCY) for size in _REQUESTS],
            call_costs,
        ),
        fit.Slope(
            "streamed chunk (gateway)",
            "chunk",
            "us",
            [float(size) for size in _CHUNKS],
            chunk_costs,
        ),
    ]
