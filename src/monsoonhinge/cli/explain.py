"""Command that collects what log files say about one request."""

import dataclasses
import json
import pathlib
import sys
from typing import Annotated, Any

import cappa

from monsoonhinge.cli import options
from monsoonhinge.cli import outcome

_OMITTED_FIELDS = ("time", "node", "role", "event", "request_id")

# Events that change the state on which decisions about requests are based, and
# how long before the last line of a request they are printed.
_STATE_EVENTS = frozenset(
    {
        "config_change",
        "config_in_force",
        "dependency",
        "leader",
        "lease",
        "model_loaded",
        "order",
        "placement",
        "target",
    }
)
_LOOKBACK_S = 10.0


@cappa.command(name="explain", help="Shows why a request ended as it did")
@dataclasses.dataclass
class Explain(options.BaseCommand):
    """Prints the log lines of a request, sorted by time.

    Also prints state changes in the ten seconds before the request ended: those
    of its model, target or gateway, and those of the whole cluster.
    """

    request_id: Annotated[
        str, cappa.Arg(value_name="ID", help="X-Request-Id of the request")
    ]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(
            value_name="FILE",
            num_args=-1,
            help="Log files of any processes; defaults to standard input",
        ),
    ] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Reads the logs and prints the lines that concern the request."""
        lines = sorted(
            _read_lines(self.files), key=lambda line: float(line["time"])
        )
        request_lines = [
            line for line in lines if line.get("request_id") == self.request_id
        ]
        if not request_lines:
            raise outcome.CommandError(
                outcome.EXIT_FAILED, [f"no line names {self.request_id}"]
            )
        printed = [
            line
            for line in lines
            if line in request_lines or _is_related(line, request_lines)
        ]
        outcome.print_result(
            printed,
            as_json=self.json,
            text="\n".join(
                _format_line(line, request_lines[0]) for line in printed
            ),
        )


def _read_lines(files: list[pathlib.Path]) -> list[dict[str, Any]]:
    texts = []
    for path in files:
        try:
            texts.append(path.read_text(errors="replace"))
        except OSError as error:
            raise outcome.CommandError(
                outcome.EXIT_FAILED, [f"{path}: {error.strerror}"]
            ) from error
    if not files:
        texts.append(sys.stdin.read())
    lines = []
    for text in texts:
        for raw in text.splitlines():
            # Log collectors may add a prefix to each line.
            start = raw.find("{")
            try:
                line = json.loads(raw[start:]) if start >= 0 else None
            except ValueError:
                continue
            if isinstance(line, dict) and isinstance(
                line.get("time"), int | float
            ):
                lines.append(line)
    return lines


def _is_related(
    line: dict[str, Any], request_lines: list[dict[str, Any]]
) -> bool:
    if line.get("event") not in _STATE_EVENTS:
        return False
    age_s = request_lines[-1]["time"] - line["time"]
    if not 0 <= age_s <= _LOOKBACK_S:
        return False
    models = {item["model"] for item in request_lines if item.get("model")}
    targets = {item["target"] for item in request_lines if item.get("target")}
    nodes = {item.get("node") for item in request_lines}
    if line.get("model"):
        return line["model"] in models
    if line.get("target"):
        return line["target"] in targets
    return line.get("node") in nodes or line["event"] in (
        "config_change",
        "leader",
        "lease",
    )


def _format_line(line: dict[str, Any], first: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OMITTED_FIELDS and value not in ("", None)
    )
    mark = "*" if line.get("request_id") else " "
    offset = line["time"] - first["time"]
    return (
        f"{mark}{offset:+9.3f} {line.get('node', '')} "
        f"{line.get('event', '')} {fields}"
    )
