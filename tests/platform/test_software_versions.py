"""Tests of streams while targets of two software versions serve."""

import asyncio
import pathlib
import re
import time

import aiohttp
import pytest

from monsoonhinge.ingress import process as ingress_process
from tests.control import stub
from tests.platform import test_path

# Both versions serve, each on two targets.
_VERSIONS = ("v1", "v2", "v1", "v2")

# A refusal that is known at once is not held back.
_AT_ONCE_S = 1.0

_DATA = re.compile(rb"data: (v\d)(\d)")


class _TwoVersions(test_path.TwoGateways):
    """Two gateways, and targets of two software versions."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.servers = [
            test_path.Server(f"s{number}") for number in range(len(_VERSIONS))
        ]
        for server, version in zip(self.servers, _VERSIONS, strict=True):
            server.software_version = version
        self.gateways: list[ingress_process.IngressProcess] = []

    def of_version(self, version: str) -> list[test_path.Server]:
        """Returns the targets that run a software version."""
        return [
            item for item in self.servers if item.software_version == version
        ]

    async def replace_gateways(self) -> int:
        """Stops both gateways; returns the port of a new one."""
        await self.gateway.stop()
        await self.second_gateway.stop()
        port = stub.free_port()
        self.gateway = self.new_gateway("gateway-3", port)
        self.second_gateway = self.new_gateway("gateway-4", stub.free_port())
        await self.gateway.start()
        await self.second_gateway.start()
        await test_path.wait_until(self.is_ready)
        return port

    async def events(
        self,
        request_id: str,
        *,
        port: int | None = None,
        most: int | None = None,
        last_event_id: str = "",
        first_request_id: str = "",
    ) -> tuple[int, list[bytes]]:
        """Sends a stream request; returns its status and the events.

        Args:
            request_id: Id of the request.
            port: Port of the gateway; the first gateway by default.
            most: Number of events after which the connection is closed.
            last_event_id: Last event of a stream that is resumed.
            first_request_id: Request that brought its first event.
        """
        headers = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Model": "m1",
            "X-Token-Count": "10,20",
            "X-Deadline-Ms": "5000",
            "Authorization": "Bearer k1",
        }
        if last_event_id:
            headers["Last-Event-Id"] = last_event_id
        if first_request_id:
            headers["Resumes"] = first_request_id
        events: list[bytes] = []
        url = f"http://127.0.0.1:{port or self.ingress_port}/a/x"
        async with self.session.post(url, headers=headers) as response:
            try:
                async for line in response.content:
                    if line.startswith(b"data:"):
                        events.append(line)
                    if len(events) == most:
                        response.close()
                        break
            except aiohttp.ClientPayloadError:
                pass
            return response.status, events


def _versions(events: list[bytes]) -> set[str]:
    """Returns the software versions that wrote some events."""
    matches = [_DATA.match(event) for event in events]
    return {match[1].decode() for match in matches if match}


def test_stream_within_one_answer_goes_on_at_its_version(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an answer whose text two software versions wrote."""

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            deployment.of_version("v1")[0].disconnect_at_event = 3
            for number in range(12):
                _, events = await deployment.events(f"r{number}")
                assert len(events) == 6
                assert len(_versions(events)) == 1
            runs = [len(server.runs) for server in deployment.servers]
            assert sum(runs) > 12

    asyncio.run(run())


def test_stream_is_broken_off_without_a_target_of_its_version(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a rest of the text from the only version that is left."""

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            for server in deployment.of_version("v1"):
                server.disconnect_at_event = 3
            for number in range(12):
                _, events = await deployment.events(f"r{number}")
                versions = _versions(events)
                assert len(versions) == 1
                assert len(events) == (3 if versions == {"v1"} else 6)

    asyncio.run(run())


def test_stream_ends_if_its_target_restarts_as_another_version(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against text of a version that the gateway took for another.

    The request may have reached the target after its restart, and before its
    announcement reached the gateway.
    """

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            for server in deployment.servers:
                server.event_interval_s = 0.2
            stream = asyncio.create_task(deployment.events("r1"))
            await asyncio.sleep(0.5)
            for server in deployment.servers:
                await deployment.announce(server, born=2000, version="v3")
            _, events = await stream
            assert len(_versions(events)) == 1
            assert len(events) < 6

    asyncio.run(run())


@pytest.mark.parametrize("where", ["same", "other", "new"])
def test_stream_is_resumed_at_its_version(
    where: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a resumption at another version than the first part's.

    The gateway that began it may be alive, another one, or gone with all
    others.
    """

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            for server in deployment.servers:
                server.event_interval_s = 0.02
            begun = {}
            for number in range(8):
                _, events = await deployment.events(f"r{number}", most=2)
                begun[f"r{number}"] = events
            port = {
                "same": deployment.ingress_port,
                "other": deployment.second_port,
            }.get(where)
            if port is None:
                port = await deployment.replace_gateways()
            for request_id, first_part in begun.items():
                status, rest = await deployment.events(
                    f"{request_id}-again",
                    port=port,
                    last_event_id="1",
                    first_request_id=request_id,
                )
                assert status == 200
                assert len(first_part + rest) == 6
                assert len(_versions(first_part + rest)) == 1
            # A further resumption needs no record of the first gateway.
            if where == "other":
                origins = deployment.second_gateway.origins
                now = asyncio.get_running_loop().time()
                assert all(origins.find(stream, now) for stream in begun)

    asyncio.run(run())


def test_unknown_stream_is_refused_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a resumption at any version if the first is unknown."""

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            for first_request_id in ("", "never sent"):
                started_at = time.monotonic()
                status, events = await deployment.events(
                    "r1", last_event_id="1", first_request_id=first_request_id
                )
                assert (status, events) == (503, [])
                assert time.monotonic() - started_at < _AT_ONCE_S

    asyncio.run(run())


def test_stream_whose_version_left_is_refused_at_once(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request that waits for a version that has left."""

    async def run() -> None:
        deployment = _TwoVersions(tmp_path)
        async with test_path.run_deployment(deployment):
            await deployment.remove_rates()
            for server in deployment.servers:
                server.event_interval_s = 0.02
            _, events = await deployment.events("r1", most=2)
            (version,) = _versions(events)
            gateway = deployment.second_gateway

            async def has_left() -> bool:
                return not gateway.targets.available_targets("llm", version)

            for server in deployment.of_version(version):
                assert await deployment.announces_drain(server)
            await test_path.wait_until(has_left)
            started_at = time.monotonic()
            status, events = await deployment.events(
                "r2",
                port=deployment.second_port,
                last_event_id="1",
                first_request_id="r1",
            )
            assert (status, events) == (503, [])
            assert time.monotonic() - started_at < _AT_ONCE_S

    asyncio.run(run())
