"""Tests of what a caller gets when servers send malformed heads."""

import asyncio
import contextlib
import pathlib

from tests.platform import test_path
from tests.soak import http11
from tests.targets import malformed_heads

_BODY = b"id: 0\ndata: of the server\n\n"


class _MalformedServer(test_path.Server):
    """Fake server whose answers to callers have malformed heads.

    Attributes:
        spoil: Makes a malformed answer of a sound one.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.spoil: malformed_heads.Spoil = bytes
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                request = await http11.read_message(reader)
                writer.write(self._answer(request))
        writer.close()

    def _answer(self, request: http11.Message) -> bytes:
        if request.path.startswith("/monsoonhinge/"):
            body = b'{"sequence": 0, "models": [{"name": "m1", "version": 1}]}'
            fields = {"Content-Length": str(len(body))}
            return http11.encode("HTTP/1.1 200 OK", fields, body)
        request_id = request.headers["x-request-id"]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        fields = {
            "X-Request-Id": request_id,
            "X-Server-Signature": f"by-{self.name}",
            "Content-Type": "text/event-stream",
            "Content-Length": str(len(_BODY)),
        }
        return self.spoil(http11.encode("HTTP/1.1 200 OK", fields, _BODY))


async def _send(port: int, request_id: str) -> http11.Message:
    connection = await http11.Connection.open(f"127.0.0.1:{port}")
    try:
        return await connection.send(
            "POST",
            "/a/x",
            {
                "Host": "h.example",
                "X-Request-Id": request_id,
                "X-Model": "m1",
                "X-Token-Count": "10,20",
                "X-Deadline-Ms": "5000",
                "Authorization": "Bearer k1",
            },
            b"body",
        )
    finally:
        connection.close()


def test_malformed_answer_does_not_reach_the_caller(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an answer of status 000 that a caller gets as such."""

    async def run() -> None:
        deployment = test_path.Deployment(tmp_path)
        servers = [_MalformedServer("s1"), _MalformedServer("s2")]
        deployment.servers = list(servers)
        async with test_path.run_without_rates(deployment):
            sound = await _send(deployment.ingress_port, "sound")
            assert (sound.status, sound.body) == (200, _BODY)
            for number, spoil in enumerate(malformed_heads.ALL.values()):
                for server in servers:
                    server.spoil = spoil
                answer = await _send(deployment.ingress_port, f"r{number}")
                assert answer.status in (502, 503), answer
                assert "x-server-signature" not in answer.headers, answer
            assert any(len(server.runs) > 1 for server in servers)

    asyncio.run(run())
