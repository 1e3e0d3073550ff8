"""Tests of control members, ingress and fake servers over connections."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import functools
import json
import pathlib
import typing
from typing import Any

import aiohttp
from aiohttp import web
import pytest

from monsoonhinge.ingress import process as ingress_process
from monsoonhinge.platform import programs
from monsoonhinge.platform import requests
from monsoonhinge.runtime import settings
from tests.control import stub
from tests.platform import test_translation

_SECRETS = {
    "cluster_secret": "a cluster secret for tests",
    "key_secret": "a key secret for tests",
}
_HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
_TIMEOUT_S = 20.0

_UNLIMITED = {"name": "t1", "apiKeys": ["k1"]}


class Server:
    """Fake server of the platform that counts the requests it runs."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = stub.free_port()
        self.runs: dict[str, int] = {}
        self.headers: list[Any] = []
        self.disconnect_at_event: int | None = None
        self.refuse_all = False
        self.event_interval_s = 0.0
        self.software_version = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def announcement(self, sequence: int, **changes: Any) -> dict[str, Any]:
        return {
            "service": "llm",
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": 1000,
            "models": [{"name": "m1", "version": 1, "adapters": []}],
            "version": self.software_version,
        } | changes

    def response_headers(self) -> dict[str, str]:
        """Returns headers that its responses have in addition."""
        return {}

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/monsoonhinge/report":
            return web.json_response(
                {"models": self.announcement(0)["models"], "sequence": 0}
            )
        if request.path == "/monsoonhinge/order":
            return web.json_response({})
        request_id = request.headers["X-Request-Id"]
        if self.refuse_all:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.headers.append(request.headers)
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request_id,
                "X-Server-Signature": f"by-{self.name}",
                "Content-Type": "text/event-stream",
                **self.response_headers(),
            }
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(first, 6):
            await asyncio.sleep(self.event_interval_s)
            if number == self.disconnect_at_event:
                await response.write(b"id: %d\nda" % number)
                assert request.transport is not None
                request.transport.abort()
                return response
            text = f"{self.software_version}{number}"
            await response.write(f"id: {number}\ndata: {text}\n\n".encode())
        await response.write_eof()
        return response


class Deployment:
    """Three control members, a gateway and two servers in one event loop."""

    def __init__(self, path: pathlib.Path) -> None:
        self.internal_port = stub.free_port()
        self.control_port = stub.free_port()
        self.ingress_port = stub.free_port()
        self.servers: list[Server] = [Server("s1"), Server("s2")]
        self.members = [
            programs.PlatformControl(self._control(host, path))
            for host in _HOSTS
        ]
        self.gateway = self.new_gateway("gateway", self.ingress_port)
        self.session = aiohttp.ClientSession()

    def new_gateway(
        self, name: str, port: int
    ) -> ingress_process.IngressProcess:
        """Returns a gateway that is not started yet."""
        return ingress_process.IngressProcess(
            settings.Ingress(
                node=name,
                availability_zone="a",
                operations=settings.Address(host="127.0.0.1", port=1),
                callers=settings.Address(host="127.0.0.1", port=port),
                readiness=settings.Address(
                    host="127.0.0.1", port=stub.free_port()
                ),
                seeds=[
                    settings.Address(host=host, port=self.control_port)
                    for host in _HOSTS
                ],
                control_port=self.internal_port,
                retry_extra=100.0,
                **_SECRETS,
            ),
            request_dialect=requests.PlatformDialect(),
        )

    def _control(self, host: str, path: pathlib.Path) -> settings.Control:
        return settings.Control.model_validate(
            {
                "node": host,
                "availability_zone": "a",
                "operations": f"{host}:1",
                "listen": f"{host}:{self.internal_port}",
                "data_dir": str(path / host),
                "seeds": [f"{seed}:{self.control_port}" for seed in _HOSTS],
                "first_start": True,
                "tolerated_losses": 1,
                "registrations": f"{host}:{self.control_port}",
                **_SECRETS,
            }
        )

    async def start(self) -> None:
        for server in self.servers:
            await server.start()
        for member in self.members:
            await member.start()
        await self.gateway.start()

    async def stop(self) -> None:
        await self.session.close()
        await self.gateway.stop()
        for member in self.members:
            await member.stop()
        for server in self.servers:
            await server.stop()

    async def restart_members(self) -> None:
        """Stops all members, then starts them again with their disks."""
        configs = [member.config for member in self.members]
        for member in self.members:
            await member.stop()
        self.members = [
            programs.PlatformControl(
                config.model_copy(update={"first_start": False})
            )
            for config in configs
        ]
        for member in self.members:
            await member.start()

    async def call_control(
        self, method: str, path: str, document: Any, *, member: int = 0
    ) -> int:
        url = f"http://{_HOSTS[member]}:{self.control_port}/monsoonhinge/{path}"
        async with self.session.request(method, url, json=document) as response:
            return response.status

    async def put_config(self, document: Any, *, member: int = 0) -> bool:
        return (
            await self.call_control("PUT", "config", document, member=member)
            == 200
        )

    async def is_ready(self) -> bool:
        known = self.gateway.targets.by_name
        return not self.gateway.not_ready_reason() and len(known) == len(
            self.servers
        )

    async def remove_rates(self) -> None:
        """Publishes a configuration in which no request waits for tokens.

        A request that waits for them while the event loop pauses gets 429.
        """
        document = test_translation.document(version=8, tenants=[_UNLIMITED])
        await wait_until(lambda: self.put_config(document))
        await wait_until(self._has_unlimited_configuration)

    async def _has_unlimited_configuration(self) -> bool:
        return self.gateway.fleet_client.view.version == 8

    async def announces_drain(self, server: Server) -> bool:
        status = await self.announce(server, sequence=2, state="draining")
        return status == 200

    async def is_served(self, request_id: str) -> bool:
        status, _, body = await self.send_request(request_id)
        # A gateway refuses only until its configuration is confirmed again.
        assert status == 200 or b"stale_configuration" in body
        return status == 200

    async def announce(self, server: Server, **changes: Any) -> int:
        changes.setdefault("sequence", 1)
        announcement = server.announcement(changes.pop("sequence"), **changes)
        return await self.call_control(
            "PUT", f"instances/{server.name}", announcement
        )

    async def send_request(
        self,
        request_id: str,
        key: str = "k1",
        *,
        prompt: str = "",
        port: int | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        async with self.session.post(
            f"http://127.0.0.1:{port or self.ingress_port}/a/x?q=1",
            data=b"body",
            headers={
                "Host": "h.example",
                "X-Request-Id": request_id,
                "X-Model": "m1",
                "X-Token-Count": "10,20",
                "X-Prompt-Prefix": prompt,
                "X-Deadline-Ms": "5000",
                "X-Tenant": "someone else",
                "Authorization": f"Bearer {key}",
            },
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.read(),
            )


class TwoGateways(Deployment):
    """A deployment with a second gateway.

    Attributes:
        second_gateway: The other gateway.
        second_port: Its port for callers.
    """

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.second_port = stub.free_port()
        self.second_gateway = self.new_gateway("gateway-2", self.second_port)

    async def start(self) -> None:
        await super().start()
        await self.second_gateway.start()

    async def stop(self) -> None:
        await self.second_gateway.stop()
        await super().stop()

    async def is_ready(self) -> bool:
        return (
            await super().is_ready()
            and not self.second_gateway.not_ready_reason()
        )

    def port_of(self, number: int) -> int:
        """Returns the ports of the gateways in turn."""
        return (self.ingress_port, self.second_port)[number % 2]


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_deployment(path: pathlib.Path) -> AsyncIterator[Deployment]:
    """Yields a deployment that has a configuration and two known servers."""
    deployment = Deployment(path)
    async with run_deployment(deployment):
        yield deployment


@contextlib.asynccontextmanager
async def run_deployment(deployment: Deployment) -> AsyncIterator[None]:
    """Starts a deployment and gives it a configuration and its servers."""
    await deployment.start()
    try:
        await wait_until(
            lambda: deployment.put_config(test_translation.document())
        )
        for server in deployment.servers:
            assert await deployment.announce(server) == 200
        await wait_until(deployment.is_ready)
        yield
    finally:
        await deployment.stop()


_D = typing.TypeVar("_D", bound=Deployment)


@contextlib.asynccontextmanager
async def run_without_rates(deployment: _D) -> AsyncIterator[_D]:
    """Runs a deployment in which no request waits for tokens."""
    async with run_deployment(deployment):
        await deployment.remove_rates()
        yield deployment


_ALL_EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(6))


def test_request_is_served_without_forwarding_the_key(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost bytes and a caller key that reaches a server."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            status, headers, body = await deployment.send_request("r1")
            assert (status, body) == (200, _ALL_EVENTS)
            assert headers["X-Server-Signature"].startswith("by-")
            (seen,) = [h for s in deployment.servers for h in s.headers]
            assert seen["X-Tenant"] == "t1"
            assert "Authorization" not in seen
            assert 0 < int(seen["X-Deadline-Ms"]) <= 5000
            assert (await deployment.send_request("r2", key="no"))[0] == 401

    asyncio.run(run())


def test_interrupted_stream_resumes_at_another_server(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost or repeated events when a server disconnects."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            for server in deployment.servers:
                server.disconnect_at_event = 3
                server.event_interval_s = 0.05
            first = asyncio.create_task(deployment.send_request("r1"))

            async def runs() -> bool:
                return any(server.runs for server in deployment.servers)

            await wait_until(runs)
            for server in deployment.servers:
                if not server.runs:
                    server.disconnect_at_event = None
            status, _, body = await first
            assert (status, body) == (200, _ALL_EVENTS)
            assert [s.runs.get("r1") for s in deployment.servers] == [1, 1]

    asyncio.run(run())


def test_request_refused_by_all_servers_gets_503_with_retry_after(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a 503 for a request that ran, or without Retry-After."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            await deployment.remove_rates()
            for server in deployment.servers:
                server.refuse_all = True
            status, headers, _ = await deployment.send_request("r1")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert not any(server.runs for server in deployment.servers)

    asyncio.run(run())


def test_draining_server_receives_no_new_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests to a server that has announced its drain."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            leaving, staying = deployment.servers
            await deployment.remove_rates()
            # A member without a leader, after a pause of the event loop, does
            # not acknowledge the drain; the server then announces it again.
            await wait_until(lambda: deployment.announces_drain(leaving))
            await asyncio.sleep(0.2)
            for number in range(6):
                await wait_until(
                    functools.partial(deployment.is_served, f"r{number}")
                )
            assert not leaving.runs
            assert len(staying.runs) == 6

    asyncio.run(run())


def test_newest_configuration_is_read_at_any_member(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an older document read after a newer was acknowledged."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            newer = test_translation.document(version=12)
            assert (
                await deployment.call_control("PUT", "config", newer, member=1)
                == 200
            )
            older = test_translation.document(version=9, tenants=[])
            assert (
                await deployment.call_control("PUT", "config", older, member=2)
                == 200
            )
            invalid = test_translation.document(version=20, routes=None)
            assert (
                await deployment.call_control("PUT", "config", invalid) == 400
            )
            for host in _HOSTS:
                port = deployment.control_port
                url = f"http://{host}:{port}/monsoonhinge/config"
                async with deployment.session.get(url) as response:
                    assert json.loads(await response.read()) == newer

    asyncio.run(run())


@pytest.mark.parametrize("lost", [0, 2])
def test_member_with_a_lost_disk_rejoins_the_cluster(
    tmp_path: pathlib.Path, lost: int
) -> None:
    """Guards against a member that lost its disk and its earlier votes.

    It must not vote again in a term, and not bootstrap a second cluster.
    """

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            old = deployment.members[lost]
            await old.stop()
            config = old.config.model_copy(
                update={"data_dir": tmp_path / "new", "first_start": False}
            )
            fresh = deployment.members[lost] = programs.PlatformControl(config)
            await fresh.start()

            async def votes() -> bool:
                voters = fresh.driver.configuration.voters
                return (
                    fresh.replicated_state.state_machine.version == 7
                    and fresh.driver.raft.state.member_id in voters
                )

            await wait_until(votes)
            assert len(fresh.driver.configuration.voters) == 3
            document = test_translation.document(version=8)
            await wait_until(lambda: deployment.put_config(document, member=1))

    asyncio.run(run())


def test_stopping_gateway_refuses_new_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request accepted during shutdown and then aborted."""

    async def run() -> None:
        async with running_deployment(tmp_path) as deployment:
            assert (await deployment.send_request("r1"))[0] == 200
            deployment.gateway.drain()
            finishing = asyncio.create_task(deployment.gateway.finish())
            status, headers, _ = await deployment.send_request("r2")
            assert status == 200
            assert headers["Connection"] == "close"
            handler = deployment.gateway.handler
            assert handler is not None

            async def refuses() -> bool:
                return handler.refuse_new_requests

            await wait_until(refuses)
            status, headers, _ = await deployment.send_request("r3")
            assert status == 503
            assert "Retry-After" in headers
            await finishing

    asyncio.run(run())
