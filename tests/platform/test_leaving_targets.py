"""Tests of targets that say in a response that they are leaving."""

import asyncio
import contextlib
import pathlib

from aiohttp import web

from monsoonhinge.platform import engines
from tests.platform import test_path


class LeavingServer(test_path.Server):
    """A server whose responses may say that it is leaving.

    Attributes:
        is_leaving: Whether they do.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.is_leaving = False

    def response_headers(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.is_leaving else {}


class Deployment(test_path.TwoGateways):
    """Two gateways and two servers, of which the first may be leaving."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.leaving, self.staying = LeavingServer("s1"), LeavingServer("s2")
        self.servers = [self.leaving, self.staying]

    async def send_to(self, port: int, prefix: str) -> list[int]:
        """Sends requests to one gateway; returns their statuses."""
        answers = [
            await self.send_request(f"{prefix}{number}", port=port)
            for number in range(6)
        ]
        return [status for status, _, _ in answers]

    async def run_on_leaving(self, port: int) -> None:
        """Sends requests to a gateway until the leaving server answers one."""
        self.leaving.is_leaving = True
        number = 0
        while not self.leaving.runs:
            await self.send_request(f"first{number}", port=port)
            number += 1

    def members_know(self) -> list[bool]:
        """Returns for each member whether it knows that the server leaves."""
        known = [member.registry.entries.get("s1") for member in self.members]
        return [
            entry is not None and entry.registration.leaving for entry in known
        ]


def test_target_that_says_it_is_leaving_gets_no_further_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests to a target that is about to go."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            await deployment.run_on_leaving(deployment.ingress_port)
            runs = len(deployment.leaving.runs)
            statuses = await deployment.send_to(deployment.ingress_port, "a")
            assert statuses == [200] * 6
            assert len(deployment.leaving.runs) == runs

    asyncio.run(run())


def test_other_gateways_learn_that_a_target_is_leaving(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a notice that only the gateway knows that received it."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            await deployment.run_on_leaving(deployment.ingress_port)
            runs = len(deployment.leaving.runs)
            target = deployment.second_gateway.targets.by_name["s1"]

            async def is_known() -> bool:
                return target.registration.leaving

            await test_path.wait_until(is_known)
            statuses = await deployment.send_to(deployment.second_port, "b")
            assert statuses == [200] * 6
            assert len(deployment.leaving.runs) == runs
            # Later announcements of the target do not take it back.
            await deployment.announce(deployment.leaving, sequence=2)
            await deployment.send_to(deployment.second_port, "c")
            assert len(deployment.leaving.runs) == runs

    asyncio.run(run())


def test_restarted_members_learn_from_gateways_that_a_target_is_leaving(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a leaving target that is used after a restart."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            await deployment.run_on_leaving(deployment.ingress_port)

            async def is_known() -> bool:
                return all(deployment.members_know())

            await test_path.wait_until(is_known)
            await deployment.restart_members()
            await test_path.wait_until(is_known)

    asyncio.run(run())


def test_target_that_starts_again_is_used(tmp_path: pathlib.Path) -> None:
    """Guards against blaming a target for what its predecessor said."""

    async def run() -> None:
        async with test_path.run_without_rates(
            Deployment(tmp_path)
        ) as deployment:
            await deployment.run_on_leaving(deployment.ingress_port)
            deployment.leaving.is_leaving = False
            await deployment.announce(deployment.leaving, born=2000)
            target = deployment.gateway.targets.by_name

            async def is_new() -> bool:
                return target["s1"].registration.incarnation == 2000

            await test_path.wait_until(is_new)
            runs = len(deployment.leaving.runs)

            async def is_used() -> bool:
                await deployment.send_to(deployment.ingress_port, "d")
                return len(deployment.leaving.runs) > runs

            await test_path.wait_until(is_used)

    asyncio.run(run())


def test_answers_to_orders_say_that_a_target_is_leaving() -> None:
    """Guards against orders to a target that has said that it is leaving."""

    async def handle(request: web.Request) -> web.Response:
        status = int(request.headers["X-Expected-Instance"])
        return web.json_response(
            {"sequence": 0}, status=status, headers={"Server-Leaving": "1"}
        )

    async def run() -> list[str]:
        server = test_path.Server("s1")
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", server.port).start()
        client = engines.PlatformEngineClient()
        leaving: list[str] = []
        client.on_leaving = leaving.append
        try:
            for target in ("200", "421"):
                with contextlib.suppress(Exception):
                    await client.report(
                        address=f"127.0.0.1:{server.port}",
                        target=target,
                        timeout_s=5.0,
                    )
        finally:
            await client.close()
            await runner.cleanup()
        return leaving

    assert asyncio.run(run()) == ["200"]
