"""Tests of the load tool's caller against responses that are no answers."""

import asyncio
import contextlib

import aiohttp
import pytest
import uvloop

from monsoonhinge.bench import caller
from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report
from tests.soak import http11
from tests.targets import malformed_heads

_FLOW = load_plan.Flow(name="f", route="r", kind="call", rate_per_s=1.0)


def _outcome(spoil: malformed_heads.Spoil) -> str:
    """Returns the outcome of a call whose response is spoiled."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            request = await http11.read_message(reader)
            fields = {
                "X-Request-Id": request.headers["x-request-id"],
                "Content-Length": "2",
            }
            writer.write(spoil(http11.encode("HTTP/1.1 200 OK", fields, b"ok")))
        writer.close()

    async def run() -> report.RequestSample:
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, aiohttp.ClientSession() as session:
            return await caller.Caller(session).send(
                f"http://{host}:{port}",
                _FLOW,
                number=0,
                due=asyncio.get_running_loop().time(),
            )

    return uvloop.run(run()).outcome


def test_sound_response_is_a_success() -> None:
    """Guards against a load tool that takes each response for a failure."""
    assert _outcome(bytes) == "ok"


@pytest.mark.parametrize(
    "kind", malformed_heads.INVALID_STATUSES | malformed_heads.INVALID_FIELDS
)
def test_malformed_response_is_no_success(kind: str) -> None:
    """Guards against a load tool that counts status 000 as a success."""
    assert _outcome(malformed_heads.ALL[kind]) != "ok"
