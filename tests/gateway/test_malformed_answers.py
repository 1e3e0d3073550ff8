"""Tests of what a caller gets when targets send malformed heads."""

import asyncio

import pytest

from tests.gateway import standins
from tests.targets import malformed_heads


@pytest.mark.parametrize("kind", malformed_heads.ALL)
async def test_malformed_answer_does_not_reach_the_caller(kind: str) -> None:
    """Guards against an answer of status 000 that a caller gets as such."""

    async def respond(
        request: standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        sound = standins.response_bytes(request, b"of the target")
        writer.write(malformed_heads.ALL[kind](sound))

    async with standins.run_gateway(respond) as gateway:
        outcome = await gateway.post_refused(
            "/services/ledger/refunds/1", headers={"Idempotency-Key": "once"}
        )
        assert outcome == (503, "answer_lost", "unknown")
        assert gateway.control.calls["once"].state == "unknown"
