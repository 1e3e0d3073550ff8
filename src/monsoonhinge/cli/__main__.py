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

_Command = (
    configuration.Check
    | configuration.Publish
    | configuration.Get
    | configuration.Diff
    | keys.Key
    | cluster.Status
    | operations.Dump
    | operations.Drain
    | cluster.Member
    | explain.Explain
    | why.Why
)


@cappa.command(name="monsoonhinge")
@dataclasses.dataclass
class Monsoonhinge:
    """Operates a monsoonhinge system."""

    command: cappa.Subcommands[_Command]


def run(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Arguments; by default those of the process.
    """
    command = cappa.parse(Monsoonhinge, argv=argv, completion=False).command
    action: options.Output = (
        command.command
        if isinstance(command, keys.Key | cluster.Member)
        else command
    )
    try:
        uvloop.run(action.run())
    except outcome.Failure as failure:
        return _fail(failure, action)
    except errors.RequestTimeout as error:
        return _fail(
            outcome.Failure(outcome.EXIT_UNKNOWN, [str(error)]), action
        )
    except errors.MonsoonhingeError as error:
        return _fail(outcome.Failure(outcome.EXIT_FAILED, [str(error)]), action)
    return outcome.EXIT_OK


def _fail(failure: outcome.Failure, action: options.Output) -> int:
    outcome.show_failure(failure, as_json=action.json)
    return failure.code


def main() -> None:
    """Runs one command; ends with ``sys.exit``."""
    sys.exit(run())


if __name__ == "__main__":
    main()
