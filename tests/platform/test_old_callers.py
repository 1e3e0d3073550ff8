"""Tests of callers that speak HTTP/1.0, which knows no chunks."""

import asyncio
import pathlib

import pytest

from tests.platform import test_path

_REQUEST = (
    b"POST /a/x HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
    b"X-Model: m1\r\nX-Token-Count: 10,20\r\nX-Deadline-Ms: 5000\r\n"
    b"Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody"
)


def test_broken_stream_does_not_look_complete(tmp_path: pathlib.Path) -> None:
    """Guards against a stream whose orderly end hides that it broke off."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            await deployment.remove_rates()
            deployment.gateway.retry_budget.ratio = 0.0
            deployment.gateway.retry_budget.extra = 0.0
            for server in deployment.servers:
                server.disconnect_at_event = 3
                server.event_interval_s = 0.05
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", deployment.ingress_port
            )
            writer.write(_REQUEST)
            await reader.readuntil(b"data: 1\n\n")
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    asyncio.run(run())
