"""Options that commands share."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from monsoonhinge.cli import outcome
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

SETTINGS_VARIABLE = "MONSOONHINGE_SETTINGS"
MAX_TIMEOUT_S = 3_600


@dataclasses.dataclass(kw_only=True)
class BaseCommand:
    """Options of every command.

    Attributes:
        json: Print one JSON document instead of text.
    """

    json: Annotated[
        bool, cappa.Arg(long=True, help="Print one JSON document")
    ] = False

    async def run(self) -> None:
        """Carries the command out.

        Raises:
            outcome.Failure: It ends with an exit code other than 0.
            errors.MonsoonhingeError: A peer did not answer as needed.
        """
        raise NotImplementedError


@dataclasses.dataclass(kw_only=True)
class ControlCommand(BaseCommand):
    """Options of commands that talk to the control members.

    Attributes:
        settings_file: Settings file of the operator.
        timeout: Seconds until the command gives up.
    """

    settings_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            default=cappa.Env(SETTINGS_VARIABLE),
            help=f"Settings file; by default that of ${SETTINGS_VARIABLE}",
        ),
    ]
    timeout: Annotated[
        float, cappa.Arg(long=True, help="Seconds until it gives up")
    ] = 20.0

    def read_settings(self) -> settings.Operator:
        """Reads the settings file.

        Raises:
            outcome.Failure: It cannot be used.
        """
        if not 0 < self.timeout <= MAX_TIMEOUT_S:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT,
                [f"--timeout must be between 0 and {MAX_TIMEOUT_S} seconds"],
            )
        path = self.settings_file
        if path is None:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT,
                [f"give --settings FILE or set {SETTINGS_VARIABLE}"],
            )
        try:
            return settings.read(path, settings.Operator)
        except errors.SettingsError as error:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT,
                [f"{path}: {problem}" for problem in error.problems],
            ) from error
