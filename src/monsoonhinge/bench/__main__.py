"""Entry point of ``monsoonhinge-load``."""

import asyncio
import dataclasses
import json
import pathlib
import sys
from typing import Annotated

import cappa

from monsoonhinge.bench import load
from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings


@cappa.command(name="monsoonhinge-load")
@dataclasses.dataclass(kw_only=True)
class Options:
    """Sends requests to gateways on loopback and reports the outcomes.

    Attributes:
        plan: Path of the JSON load plan.
        json: Report as JSON instead of a table.
        check: Validate the plan, print the result and exit.
    """

    plan: Annotated[pathlib.Path, cappa.Arg(long=True, help="JSON load plan")]
    json: Annotated[bool, cappa.Arg(long=True, help="Report as JSON")] = False
    check: Annotated[
        bool, cappa.Arg(long=True, help="Validate the plan and exit")
    ] = False


def main() -> None:
    """Runs a load plan; exits with 1 if a response was wrong or truncated."""
    options = cappa.parse(Options)
    try:
        plan = settings.read(options.plan, load_plan.LoadPlan)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(f"{options.plan}: {problem}", file=sys.stderr)
        sys.exit(service.EXIT_BAD_SETTINGS)
    if options.check:
        print(f"{options.plan}: ok")
        return
    document = asyncio.run(load.run(plan))
    if options.json:
        print(json.dumps(document, indent=2))
    else:
        print(report.format_table(document))
    outcomes = document["all"]["outcomes"]
    if outcomes.get("mismatched") or outcomes.get("truncated"):
        sys.exit(service.EXIT_FAILED)


if __name__ == "__main__":
    main()
