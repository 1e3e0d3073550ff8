"""Test of a model that was unloaded after the engine's last announcement."""

import asyncio

import pytest

from tests.gateway import standins


@pytest.mark.parametrize("targets", [1, 2])
async def test_request_is_repeated_after_the_model_was_unloaded(
    targets: int,
) -> None:
    """Guards against relaying the 404 of an engine that unloaded the model."""
    refused: list[str] = []

    async def respond(
        request: standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not refused:
            refused.append(request.request_id)
            writer.write(
                standins.response_bytes(request, b"not here", status=404)
            )
        else:
            await standins.respond_ok(request, writer)

    async with (
        standins.run_gateway(*[respond] * targets) as gateway,
        gateway.post("/v1/completions") as response,
    ):
        assert response.status == 200, await response.text()
    assert len(refused) == 1
