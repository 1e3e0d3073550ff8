"""Command that collects what log files say about one request."""

from collections.abc import Iterator
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
        "placement_summary",
        "target",
    }
)

# Those of them that concern the whole cluster.
_CLUSTER_EVENTS = frozenset(
    {"config_change", "leader", "lease", "placement_summary"}
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
        subject = _Subject.from_lines(request_lines)
        printed = [
            line
            for line in lines
            if line.get("request_id") == self.request_id
            or subject.is_related(line)
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Subject:
    """What a request had to do with.

    Attributes:
        ended_at: Unix time of its last line.
        models: Models that its lines name.
        targets: Targets that its lines name.
        nodes: Processes that wrote its lines.
    """

    ended_at: float
    models: frozenset[str]
    targets: frozenset[str]
    nodes: frozenset[str]

    @classmethod
    def from_lines(cls, lines: list[dict[str, Any]]) -> "_Subject":
        """Returns the subject of the lines of one request, sorted by time."""
        return cls(
            ended_at=lines[-1]["time"],
            models=frozenset(_values(lines, "model")),
            targets=frozenset(_values(lines, "target")),
            nodes=frozenset(_values(lines, "node")),
        )

    def is_related(self, line: dict[str, Any]) -> bool:
        """Returns whether a state change may have affected the request."""
        event = line.get("event")
        if event not in _STATE_EVENTS:
            return False
        if not 0 <= self.ended_at - line["time"] <= _LOOKBACK_S:
            return False
        if line.get("model"):
            return line["model"] in self.models
        if line.get("target"):
            return line["target"] in self.targets
        return line.get("node") in self.nodes or event in _CLUSTER_EVENTS


def _values(lines: list[dict[str, Any]], name: str) -> Iterator[str]:
    return (line[name] for line in lines if line.get(name))


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
