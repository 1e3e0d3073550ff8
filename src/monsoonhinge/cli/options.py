"""Base classes of the commands, with their shared options."""

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
    """Base class of all commands.

    Attributes:
        json: Print one JSON document instead of text.
    """

    json: Annotated[
        bool, cappa.Arg(long=True, help="Print one JSON document")
    ] = False

    async def run(self) -> None:
        """Runs the command.

        Raises:
            outcome.CommandError: The command failed.
            errors.MonsoonhingeError: A request to a control member failed.
        """
        raise NotImplementedError


@dataclasses.dataclass(kw_only=True)
class ControlCommand(BaseCommand):
    """Base class of commands that connect to the control members.

    Attributes:
        settings_file: Settings file of the operator.
        timeout: Time limit of the command in seconds.
    """

    settings_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            default=cappa.Env(SETTINGS_VARIABLE),
            help=f"Settings file; defaults to ${SETTINGS_VARIABLE}",
        ),
    ]
    timeout: Annotated[
        float, cappa.Arg(long=True, help="Time limit in seconds")
    ] = 20.0

    def read_settings(self) -> settings.Operator:
        """Reads the settings file.

        Raises:
            outcome.CommandError: The settings or the timeout are invalid.
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
                [f"pass --settings FILE or set {SETTINGS_VARIABLE}"],
            )
        try:
            return settings.read(path, settings.Operator)
        except errors.SettingsError as error:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT,
                [f"{path}: {problem}" for problem in error.problems],
            ) from error
