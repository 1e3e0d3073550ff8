"""Exit codes and output of commands."""

from collections.abc import Sequence
import json
import sys
from typing import Any

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4


class CommandError(Exception):
    """A command failed and exits with a nonzero code.

    Attributes:
        exit_code: Exit code of the process.
        problems: Messages for standard error, one per line.
        document: Further fields of the document printed with ``--json``.
    """

    def __init__(
        self,
        exit_code: int,
        problems: Sequence[str],
        document: dict[str, Any] | None = None,
    ) -> None:
        super().__init__("; ".join(problems))
        self.exit_code = exit_code
        self.problems = list(problems)
        self.document = document or {}


def print_result(document: Any, *, as_json: bool, text: str) -> None:
    """Prints a result as JSON or as text."""
    print(json.dumps(document, indent=2) if as_json else text, flush=True)


def print_error(error: CommandError, *, as_json: bool) -> None:
    """Prints an error as JSON to stdout or as text to stderr."""
    if as_json:
        document = {"errors": error.problems, **error.document}
        print(json.dumps(document, indent=2), flush=True)
    else:
        for problem in error.problems:
            print(problem, file=sys.stderr)


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Formats rows as a text table with aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
