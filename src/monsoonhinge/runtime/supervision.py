"""Keeps long-lived tasks running and reports unexpected exceptions in them.

An unexpected exception is logged with its traceback and counted. It ends the
block or the round in which it was raised, and the task goes on.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
import contextlib
import logging
import time
from typing import Any

import prometheus_client

# Delay before a task that has failed runs again; it doubles up to the maximum.
_MIN_RESTART_DELAY_S = 0.1
_MAX_RESTART_DELAY_S = 1.0

# A task that has failed less than this long ago counts as failing.
_FAILING_FOR_S = 5.0

# Interval of the log lines about repeated failures of the same work.
_LOG_INTERVAL_S = 1.0

_FAILURES = prometheus_client.Counter(
    "monsoonhinge_task_failures_total",
    "Unexpected exceptions in tasks that run as long as their process",
    ["task"],
)

_LOG = logging.getLogger(__name__)

# Creates the coroutine of a task, anew for each time that it is run.
Work = Callable[[], Coroutine[Any, Any, None]]


class _FailureLog:
    """Logs failures, and each kind of work at most once per interval."""

    def __init__(self) -> None:
        self._logged_at: dict[tuple[str, str], float] = {}

    def record(self, task: str, subject: str, error: BaseException) -> None:
        """Counts and logs an exception."""
        _FAILURES.labels(task).inc()
        now = time.monotonic()
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if now - at < _LOG_INTERVAL_S
        }
        if (task, subject) in self._logged_at:
            return
        self._logged_at[task, subject] = now
        _LOG.error(
            "unexpected exception in task %s%s",
            task,
            f" ({subject})" if subject else "",
            exc_info=error,
            extra={"step": task},
        )


_FAILURE_LOG = _FailureLog()


@contextlib.contextmanager
def contain(task: str, *, subject: str = "") -> Iterator[None]:
    """Reports an unexpected exception in the block, and goes on after it.

    Args:
        task: Name of the task that the block is part of.
        subject: What the block works on, such as a service or a target.
    """
    try:
        yield
    except Exception as error:
        _FAILURE_LOG.record(task, subject, error)


def _report(name: str, task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        _FAILURE_LOG.record(name, "", error)


class Supervisor:
    """Runs tasks of one owner and reports unexpected exceptions in them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed_at: dict[str, float] = {}

    def start(self, name: str, work: Work) -> asyncio.Task[None]:
        """Starts a task whose work runs again each time that it raises.

        The task ends when the work returns or is cancelled.
        """
        return self._create(self._run(name, work))

    def spawn(
        self, name: str, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Starts a task that runs once."""
        task = self._create(work)
        task.add_done_callback(lambda done: _report(name, done))
        return task

    def failing(self) -> list[str]:
        """Returns the names of the tasks that failed in the last seconds."""
        now = asyncio.get_running_loop().time()
        return sorted(
            name
            for name, at in self._failed_at.items()
            if now - at < _FAILING_FOR_S
        )

    async def wait(self) -> None:
        """Waits until all tasks have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _create(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, name: str, work: Work) -> None:
        loop = asyncio.get_running_loop()
        delay_s = _MIN_RESTART_DELAY_S
        while True:
            started_at = loop.time()
            try:
                await work()
                return
            except Exception as error:
                _FAILURE_LOG.record(name, "", error)
            self._failed_at[name] = loop.time()
            if loop.time() - started_at > _FAILING_FOR_S:
                delay_s = _MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RESTART_DELAY_S)
