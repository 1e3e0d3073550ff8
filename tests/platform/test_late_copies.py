"""Tests of engines that answer an order or a report twice."""

import asyncio

from monsoonhinge.fleet import engine_client
from monsoonhinge.platform import engines

_ORDER = engine_client.Order(
    load=True,
    model="m1",
    adapter="",
    holder="h",
    fencing=1,
    expected_order_count=0,
)


def _answer(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers orders with 202 and reports with 200, each answer twice.

    The second copy comes while the next request waits for its answer.
    """
    copy = b""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    await reader.readexactly(int(line.split(b":")[1]))
            if copy:
                writer.write(copy)
                await asyncio.sleep(0.05)
            copy = _answer(202, b"{}")
            if head.startswith(b"GET"):
                copy = _answer(200, b'{"sequence": 7, "models": []}')
            writer.write(copy)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def test_second_answer_to_a_report_is_no_answer_to_an_order() -> None:
    """Guards against an order that counts as applied and was not carried out.

    Answers to orders and reports name no request, so that a copy cannot be
    told from the answer that is due.
    """

    async def run() -> engine_client.OrderResponse:
        server = await asyncio.start_server(_serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = engines.PlatformEngineClient()
        try:
            report = await client.report(
                address=f"{host}:{port}", target="t1", timeout_s=5.0
            )
            assert report.order_count == 7
            return await client.order(
                address=f"{host}:{port}",
                target="t1",
                order=_ORDER,
                timeout_s=5.0,
            )
        finally:
            await client.close()
            server.close()

    assert asyncio.run(run()) is engine_client.OrderResponse.STARTED
