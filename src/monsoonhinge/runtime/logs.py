"""JSON logs on standard error or in the event log."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from monsoonhinge.runtime import events


def configure(*, node: str, role: str, level: str = "INFO") -> None:
    """Writes all log records to standard error, as JSON lines.

    Args:
        node: Node name added to each line.
        role: Role added to each line.
        level: Minimum level that is written.
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


def configure_event_log(*, level: str = "INFO") -> None:
    """Writes all log records to the event log, within its limits.

    Args:
        level: Minimum level that is written.
    """
    root = logging.getLogger()
    root.handlers[:] = [_EventLogHandler()]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel("WARNING")


class _EventLogHandler(logging.Handler):
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
