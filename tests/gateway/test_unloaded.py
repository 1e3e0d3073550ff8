"""An engine that unloaded the model since its last announcement."""

import asyncio

import pytest

from tests.gateway import standins


@pytest.mark.parametrize("targets", [1, 2])
async def test_request_is_repeated_after_the_model_was_unloaded(
    targets: int,
) -> None:
    """Guards against an engine's 404 in place of an answer."""
    refused: list[str] = []

    async def respond(
        request: standins.Received, writer: asyncio.StreamWriter
    ) -> None:
        if not refused:
            refused.append(request.request_id)
            writer.write(standins.answer(request, b"not here", status=404))
        else:
            await standins.respond_whole(request, writer)

    async with (
        standins.running(*[respond] * targets) as gateway,
        gateway.post("/v1/completions") as response,
    ):
        assert response.status == 200, await response.text()
    assert len(refused) == 1
