"""Tests of the supervision of long-lived tasks."""

import asyncio
import logging

import prometheus_client
import pytest

from monsoonhinge.runtime import supervision


def _failures(task: str) -> float:
    value = prometheus_client.REGISTRY.get_sample_value(
        "monsoonhinge_task_failures_total", {"task": task}
    )
    return value or 0.0


def test_loop_ended_by_an_exception_while_its_process_goes_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against loops that end unseen and are never run again."""
    rounds: list[int] = []

    async def work() -> None:
        while True:
            rounds.append(1)
            if len(rounds) == 2:
                raise OverflowError("no such number")
            await asyncio.sleep(0.01)

    async def run() -> list[str]:
        supervisor = supervision.Supervisor()
        supervisor.start("ended_loop", work)
        await asyncio.sleep(0.4)
        failing = supervisor.failing()
        await supervisor.stop()
        return failing

    before = _failures("ended_loop")
    with caplog.at_level(logging.ERROR):
        failing = asyncio.run(run())
    assert len(rounds) > 5
    assert failing == ["ended_loop"]
    assert _failures("ended_loop") == before + 1
    (record,) = caplog.records
    assert record.exc_info is not None
    assert "ended_loop" in record.getMessage()


def test_exception_of_one_item_stops_the_others() -> None:
    """Guards against one bad input that keeps a round from its other work."""
    done = []
    for item in ("bad", "good"):
        with supervision.contain("items", subject=item):
            if item == "bad":
                raise ValueError(item)
            done.append(item)
    assert done == ["good"]


def test_repeated_failures_flood_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against log lines beyond the limit that hide all others."""
    before = _failures("flood")
    with caplog.at_level(logging.ERROR):
        for _ in range(100):
            with supervision.contain("flood"):
                raise ValueError
    assert len(caplog.records) <= 2
    assert _failures("flood") == before + 100


def test_cancelled_task_counts_as_failed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against stops that are logged as failures, or do not stop."""

    async def run() -> bool:
        supervisor = supervision.Supervisor()
        task = supervisor.start("cancelled", lambda: asyncio.sleep(60))
        once = supervisor.spawn("cancelled", asyncio.sleep(60))
        await asyncio.sleep(0)
        await supervisor.stop()
        return task.cancelled() and once.cancelled()

    with caplog.at_level(logging.ERROR):
        assert asyncio.run(run())
    assert not caplog.records


def test_exception_of_a_task_that_runs_once_is_lost(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against exceptions that nobody sees."""

    async def work() -> None:
        raise ValueError("lost")

    async def run() -> None:
        supervisor = supervision.Supervisor()
        supervisor.spawn("once", work())
        await supervisor.wait()
        await asyncio.sleep(0)

    with caplog.at_level(logging.ERROR):
        asyncio.run(run())
    assert "once" in caplog.text
