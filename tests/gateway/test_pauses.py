"""Tests of targets that ask for a pause with Retry-After."""

import asyncio
import json

from tests.gateway import standins

_PAUSE_S = 0.6


def _respond_busy(retry_after: str) -> standins.Responder:
    """Returns a responder that refuses requests and asks for a pause."""

    async def respond(
        request: standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            f"HTTP/1.1 503 Busy\r\nX-Request-Id: {request.request_id}\r\n"
            f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n".encode()
        )

    return respond


async def test_target_gets_nothing_during_the_pause_it_asked_for() -> None:
    """Guards against a target that is hammered while it is in need."""
    async with standins.run_gateway(
        _respond_busy(str(_PAUSE_S)), standins.respond_ok
    ) as gateway:
        busy = gateway.targets[0]
        gateway.process.dispatcher.router.rng.seed(1)
        while not busy.received:
            async with gateway.post() as response:
                assert response.status == 200
        paused_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < paused_at + _PAUSE_S / 2:
            async with gateway.post() as response:
                assert response.status == 200
        assert len(busy.received) == 1
        await asyncio.sleep(_PAUSE_S)
        busy.responder = standins.respond_ok
        while len(busy.received) == 1:
            async with gateway.post() as response:
                assert response.status == 200


async def test_request_is_refused_at_once_if_all_targets_pause_too_long() -> (
    None
):
    """Guards against a request held to its end, and an untrue Retry-After."""
    async with standins.run_gateway(_respond_busy("20")) as gateway:
        timeout = {"X-Request-Timeout": "5"}
        await gateway.post_refused(headers=timeout)
        async with (
            asyncio.timeout(1.0),
            gateway.post(headers=timeout) as answer,
        ):
            assert answer.status == 503
            error = json.loads(await answer.text())["error"]
        assert (error["code"], error["not_run"]) == ("engine_busy", True)
        assert 15.0 < error["retry_after_s"] <= 20.0
        assert len(gateway.targets[0].received) == 1
