"""The whole path over real connections: members, ingress and a stand-in."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import json
import pathlib
from typing import Any

import aiohttp
from aiohttp import web
import pytest

from monsoonhinge.ingress import process as ingress_process
from monsoonhinge.platform import __main__ as programs
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


class Server:
    """A stand-in for a server of the platform; counts what it runs."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = stub.free_port()
        self.runs: dict[str, int] = {}
        self.headers: list[Any] = []
        self.break_after: int | None = None
        self.shed = False
        self.pause_s = 0.0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def heartbeat(self, sequence: int, **changes: Any) -> dict[str, Any]:
        return {
            "service": "llm",
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": 1000,
            "models": [{"name": "m1", "version": 1, "adapters": []}],
        } | changes

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/monsoonhinge/report":
            return web.json_response(
                {"models": self.heartbeat(0)["models"], "sequence": 0}
            )
        if request.path == "/monsoonhinge/order":
            return web.json_response({})
        request_id = request.headers["X-Request-Id"]
        if self.shed:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.headers.append(request.headers)
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request_id,
                "X-Server-Signature": f"by-{self.name}",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(first, 6):
            await asyncio.sleep(self.pause_s)
            if number == self.break_after:
                await response.write(b"id: %d\nda" % number)
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(b"id: %d\ndata: %d\n\n" % (number, number))
        await response.write_eof()
        return response


class Deployment:
    """Three members, a gateway and two servers in one event loop."""

    def __init__(self, path: pathlib.Path) -> None:
        self.internal = stub.free_port()
        self.control = stub.free_port()
        self.front = stub.free_port()
        self.servers = [Server("s1"), Server("s2")]
        self.members = [
            programs.PlatformControl(self._control(host, path))
            for host in _HOSTS
        ]
        self.gateway = ingress_process.IngressProcess(
            settings.Ingress(
                node="gateway",
                availability_zone="a",
                operations=settings.Address(host="127.0.0.1", port=1),
                callers=settings.Address(host="127.0.0.1", port=self.front),
                readiness=settings.Address(
                    host="127.0.0.1", port=stub.free_port()
                ),
                seeds=[
                    settings.Address(host=host, port=self.control)
                    for host in _HOSTS
                ],
                control_port=self.internal,
                retry_extra=100.0,
                **_SECRETS,
            ),
            request_dialect=requests.PlatformDialect(),
        )
        self.session = aiohttp.ClientSession()

    def _control(self, host: str, path: pathlib.Path) -> settings.Control:
        return settings.Control.model_validate(
            {
                "node": host,
                "availability_zone": "a",
                "operations": f"{host}:1",
                "listen": f"{host}:{self.internal}",
                "data_dir": str(path / host),
                "seeds": [f"{seed}:{self.control}" for seed in _HOSTS],
                "first_start": True,
                "tolerated_losses": 1,
                "registrations": f"{host}:{self.control}",
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

    async def call(
        self, method: str, path: str, document: Any, *, member: int = 0
    ) -> int:
        url = f"http://{_HOSTS[member]}:{self.control}/monsoonhinge/{path}"
        async with self.session.request(method, url, json=document) as response:
            return response.status

    async def configured(self, document: Any, *, member: int = 0) -> bool:
        return await self.call("PUT", "config", document, member=member) == 200

    async def is_ready(self) -> bool:
        known = self.gateway.targets.by_name
        return not self.gateway.ready() and len(known) == len(self.servers)

    async def announce(self, server: Server, **changes: Any) -> int:
        changes.setdefault("sequence", 1)
        beat = server.heartbeat(changes.pop("sequence"), **changes)
        return await self.call("PUT", f"instances/{server.name}", beat)

    async def ask(
        self, request_id: str, key: str = "k1"
    ) -> tuple[int, dict[str, str], bytes]:
        async with self.session.post(
            f"http://127.0.0.1:{self.front}/a/x?q=1",
            data=b"body",
            headers={
                "Host": "h.example",
                "X-Request-Id": request_id,
                "X-Model": "m1",
                "X-Token-Count": "10,20",
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


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def deployed(path: pathlib.Path) -> AsyncIterator[Deployment]:
    """Yields a deployment with a configuration and two servers."""
    made = Deployment(path)
    await made.start()
    try:
        await until(lambda: made.configured(test_translation.document()))
        for server in made.servers:
            assert await made.announce(server) == 200
        await until(made.is_ready)
        yield made
    finally:
        await made.stop()


_EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(6))


def test_request_is_served_and_the_key_stays(tmp_path: pathlib.Path) -> None:
    """Guards against a path that loses bytes, or passes the key on."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            status, headers, body = await made.ask("r1")
            assert (status, body) == (200, _EVENTS)
            assert headers["X-Server-Signature"].startswith("by-")
            (seen,) = [h for s in made.servers for h in s.headers]
            assert seen["X-Tenant"] == "t1"
            assert "Authorization" not in seen
            assert 0 < int(seen["X-Deadline-Ms"]) <= 5000
            assert (await made.ask("r2", key="no"))[0] == 401

    asyncio.run(run())


def test_broken_stream_goes_on_at_another_server(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against events lost or doubled when a server breaks off."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            for server in made.servers:
                server.break_after = 3
                server.pause_s = 0.05
            first = asyncio.create_task(made.ask("r1"))

            async def runs() -> bool:
                return any(server.runs for server in made.servers)

            await until(runs)
            for server in made.servers:
                if not server.runs:
                    server.break_after = None
            status, _, body = await first
            assert (status, body) == (200, _EVENTS)
            assert [s.runs.get("r1") for s in made.servers] == [1, 1]

    asyncio.run(run())


def test_shedding_servers_lead_to_an_honest_refusal(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a 503 for a request that ran, or without a time."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            for server in made.servers:
                server.shed = True
            status, headers, _ = await made.ask("r1")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert not any(server.runs for server in made.servers)

    asyncio.run(run())


def test_draining_server_gets_nothing_more(tmp_path: pathlib.Path) -> None:
    """Guards against requests to a server that has said it leaves."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            leaving, staying = made.servers
            assert (
                await made.announce(leaving, sequence=2, state="draining")
                == 200
            )
            await asyncio.sleep(0.2)
            for number in range(6):
                assert (await made.ask(f"r{number}"))[0] == 200
            assert not leaving.runs
            assert len(staying.runs) == 6

    asyncio.run(run())


def test_newest_configuration_is_read_at_any_member(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an older state shown after an acknowledgement."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            newer = test_translation.document(version=12)
            assert await made.call("PUT", "config", newer, member=1) == 200
            older = test_translation.document(version=9, tenants=[])
            assert await made.call("PUT", "config", older, member=2) == 200
            invalid = test_translation.document(version=20, routes=None)
            assert await made.call("PUT", "config", invalid) == 400
            for host in _HOSTS:
                url = f"http://{host}:{made.control}/monsoonhinge/config"
                async with made.session.get(url) as response:
                    assert json.loads(await response.read()) == newer

    asyncio.run(run())


@pytest.mark.parametrize("lost", [0, 2])
def test_member_with_a_lost_disk_returns_without_a_second_cluster(
    tmp_path: pathlib.Path, lost: int
) -> None:
    """Guards against a vote, or a cluster, of a member that lost its disk."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            old = made.members[lost]
            await old.stop()
            config = old.config.model_copy(
                update={"data_dir": tmp_path / "new", "first_start": False}
            )
            fresh = made.members[lost] = programs.PlatformControl(config)
            await fresh.start()

            async def votes() -> bool:
                voters = fresh.driver.configuration.voters
                return (
                    fresh.replicated_state.state_machine.version == 7
                    and fresh.driver.raft.state.member_id in voters
                )

            await until(votes)
            assert len(fresh.driver.configuration.voters) == 3
            document = test_translation.document(version=8)
            await until(lambda: made.configured(document, member=1))

    asyncio.run(run())


def test_stopping_gateway_refuses_instead_of_cutting(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request that is taken during a stop and then cut."""

    async def run() -> None:
        async with deployed(tmp_path) as made:
            assert (await made.ask("r1"))[0] == 200
            made.gateway.drain()
            finishing = asyncio.create_task(made.gateway.finish())
            status, headers, _ = await made.ask("r2")
            assert status == 200
            assert headers["Connection"] == "close"
            handler = made.gateway.handler
            assert handler is not None

            async def refuses() -> bool:
                return handler.refuse_new_requests

            await until(refuses)
            status, headers, _ = await made.ask("r3")
            assert status == 503
            assert "Retry-After" in headers
            await finishing

    asyncio.run(run())
