"""JSON logs on standard error, or among the decision lines."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from monsoonhinge.runtime import events


def configure(*, node: str, role: str, level: str = "INFO") -> None:
    """Sends all logs to standard error as one JSON object per line.

    Args:
        node: Node name added to each line.
        role: Role added to each line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            timestamp=True,
            static_fields={"node": node, "role": role},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel("WARNING")


def use_events(*, level: str = "INFO") -> None:
    """Writes all logs as decision lines, bounded and without blocking.

    Args:
        level: Lowest level that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [_EventHandler()]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel("WARNING")


class _EventHandler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        fields = {
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            formatter = logging.Formatter()
            fields["error"] = formatter.formatException(record.exc_info)
        events.emit(events.LOG, **fields)
