"""Entry point of ``monsoonhinge``."""

import dataclasses
import sys

import cappa
import uvloop

from monsoonhinge.cli import cluster
from monsoonhinge.cli import configuration
from monsoonhinge.cli import explain
from monsoonhinge.cli import keys
from monsoonhinge.cli import operations
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome
from monsoonhinge.cli import why
from monsoonhinge.runtime import errors

_AnyCommand = (
    configuration.Check
    | configuration.Publish
    | configuration.Get
    | configuration.Diff
    | keys.KeyGroup
    | cluster.Status
    | operations.Dump
    | operations.Drain
    | cluster.MemberGroup
    | explain.Explain
    | why.Why
)


@cappa.command(name="monsoonhinge")
@dataclasses.dataclass
class Monsoonhinge:
    """Operates a monsoonhinge system."""

    command: cappa.Subcommands[_AnyCommand]


def run(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Command-line arguments; defaults to those of the process.
    """
    command = cappa.parse(Monsoonhinge, argv=argv, completion=False).command
    selected: options.BaseCommand = (
        command.command
        if isinstance(command, keys.KeyGroup | cluster.MemberGroup)
        else command
    )
    try:
        uvloop.run(selected.run())
    except outcome.CommandError as error:
        return _report_error(error, selected)
    except errors.RequestTimeout as error:
        return _report_error(
            outcome.CommandError(outcome.EXIT_UNKNOWN, [str(error)]), selected
        )
    except errors.MonsoonhingeError as error:
        return _report_error(
            outcome.CommandError(outcome.EXIT_FAILED, [str(error)]), selected
        )
    return outcome.EXIT_OK


def _report_error(
    error: outcome.CommandError, selected: options.BaseCommand
) -> int:
    outcome.print_error(error, as_json=selected.json)
    return error.exit_code


def main() -> None:
    """Runs one command and exits the process with its exit code."""
    sys.exit(run())


if __name__ == "__main__":
    main()
