"""Structured lines about decisions, bounded and never blocking.

Each event has one name; its fields are what decided it and the outcome. Lines
are buffered and written by the event loop when standard output takes them.
When the reader stops or lines come too fast, lines are dropped and counted.
"""

import asyncio
import collections
import json
import os
import sys
import time
from typing import Any

import prometheus_client

REQUEST = "request"
ATTEMPT = "attempt"
REFUSAL = "refusal"
RESUMED = "resumed"
PLACEMENT = "placement"
LOADED = "model_loaded"
ORDER = "order"
TARGET = "target"
EJECTED = "target_ejected"
LEASE = "lease"
CONFIG = "config_in_force"
CONFIG_CHANGE = "config_change"
MEMBERS = "members_changed"
LEADER = "leader"
QUOTA = "quota"
DEPENDENCY = "dependency"
STARTED = "started"
STOPPING = "stopping"
STOPPED = "stopped"
RELOADED = "reloaded"
OMITTED = "lines_omitted"
LOG = "log"

MAX_BUFFERED_BYTES = 256 * 1024

# Lines of one event in a second; more are dropped and counted.
MAX_LINES_PER_S = 200

_FLUSH_S = 0.1

_WRITTEN = prometheus_client.Counter(
    "monsoonhinge_log_lines_total", "Decision lines written", ["event"]
)
_OMITTED = prometheus_client.Counter(
    "monsoonhinge_log_lines_omitted_total",
    "Decision lines dropped by rate or because nobody reads them",
    ["event"],
)


class Log:
    """Lines that wait to be written to one file descriptor."""

    def __init__(self, *, descriptor: int, node: str, role: str) -> None:
        self.node = node
        self.role = role
        self.omitted: collections.Counter[str] = collections.Counter()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, event: str, fields: dict[str, Any]) -> None:
        """Queues a line, unless there are too many."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        self._counts[event] += 1
        if (
            self._counts[event] > MAX_LINES_PER_S
            or self._size > MAX_BUFFERED_BYTES
        ):
            self.omitted[event] += 1
            _OMITTED.labels(event).inc()
            return
        self._append(event, now, fields)
        self._arm()

    def flush(self) -> None:
        """Writes as much as the descriptor takes now."""
        self._timer = None
        if self.omitted and self._size < MAX_BUFFERED_BYTES // 2:
            omitted = dict(self.omitted)
            self.omitted.clear()
            self._append(OMITTED, time.time(), {"counts": omitted})
        while self._lines:
            # Lines up to a pipe's atomic size are never torn by a full pipe.
            batch = self._lines.popleft()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                break
        if self._lines:
            self._arm()

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        document = {
            "time": round(now, 4),
            "node": self.node,
            "role": self.role,
            "event": event,
            **fields,
        }
        line = json.dumps(document, separators=(",", ":"), default=str)
        data = line.encode() + b"\n"
        self._lines.append(data)
        self._size += len(data)
        _WRITTEN.labels(event).inc()

    def _arm(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(_FLUSH_S, self.flush)


_LOGS: list[Log] = []


def configure(*, node: str, role: str) -> Log:
    """Sends decision lines of this process to standard output."""
    log = Log(descriptor=sys.stdout.fileno(), node=node, role=role)
    _LOGS[:] = [log]
    return log


def emit(event: str, **fields: Any) -> None:
    """Writes one line about a decision; a no-op until ``configure``."""
    for log in _LOGS:
        log.emit(event, fields)


def flush() -> None:
    """Writes what is buffered, before the process ends."""
    for log in _LOGS:
        log.flush()
