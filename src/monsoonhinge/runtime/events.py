"""Event log: one JSON line per decision, with bounded buffer and rate.

The fields of an event are the inputs of the decision and its outcome. Lines
are buffered and written by the event loop without blocking. When the reader of
the output stops or events come too fast, lines are dropped and counted.
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
RESUMPTION = "stream_resumption"
PLACEMENT = "placement"
PLACEMENT_SUMMARY = "placement_summary"
MODEL_UNSERVED = "model_unserved"
LOADED = "model_loaded"
ORDER = "order"
TARGET = "target"
EJECTED = "target_ejected"
CRASHED = "target_crashed"
RATE_LIMIT = "target_rate_limit"
PAUSED = "target_paused"
QUARANTINE = "prompt_quarantined"
LEASE = "lease"
CONFIG = "config_in_force"
CONFIG_CHANGE = "config_change"
CONFIG_SENT = "config_sent"
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

# Limit for each event name; further lines are dropped and counted.
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


class EventLog:
    """Buffers lines and writes them to a non-blocking file descriptor."""

    def __init__(self, *, descriptor: int, node: str, role: str) -> None:
        self.node = node
        self.role = role
        self.omitted: collections.Counter[str] = collections.Counter()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, event: str, fields: dict[str, Any]) -> None:
        """Buffers a line, or drops it if a rate or buffer limit is exceeded."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        self._counts[event] += 1
        if (
            self._counts[event] > MAX_LINES_PER_S
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.omitted[event] += 1
            _OMITTED.labels(event).inc()
            return
        self._append(event, now, fields)
        self._schedule_flush()

    def flush(self) -> None:
        """Writes as many buffered lines as possible without blocking."""
        self._timer = None
        if self.omitted and self._buffered_bytes < MAX_BUFFERED_BYTES // 2:
            omitted = dict(self.omitted)
            self.omitted.clear()
            self._append(OMITTED, time.time(), {"counts": omitted})
        while self._lines:
            # One write per line: a write of up to PIPE_BUF bytes is atomic,
            # so that a full pipe does not split the line.
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                break
        if self._lines:
            self._schedule_flush()

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        document = {
            "time": round(now, 4),
            "node": self.node,
            "role": self.role,
            "event": event,
            **fields,
        }
        text = json.dumps(document, separators=(",", ":"), default=str)
        line = text.encode() + b"\n"
        self._lines.append(line)
        self._buffered_bytes += len(line)
        _WRITTEN.labels(event).inc()

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(_FLUSH_S, self.flush)


_EVENT_LOGS: list[EventLog] = []


def configure(*, node: str, role: str) -> EventLog:
    """Writes the event log of this process to standard output."""
    log = EventLog(descriptor=sys.stdout.fileno(), node=node, role=role)
    _EVENT_LOGS[:] = [log]
    return log


def emit(event: str, **fields: Any) -> None:
    """Adds an event to the event log; a no-op until ``configure``."""
    for log in _EVENT_LOGS:
        log.emit(event, fields)


def flush() -> None:
    """Writes buffered lines before the process exits."""
    for log in _EVENT_LOGS:
        log.flush()
