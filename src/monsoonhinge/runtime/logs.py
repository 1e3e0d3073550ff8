"""JSON logs on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logger


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
