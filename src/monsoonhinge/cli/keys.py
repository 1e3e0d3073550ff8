"""Commands for caller keys: grant and withdraw."""

import dataclasses
import secrets
import sys
from typing import Annotated

import cappa

from monsoonhinge.cli import control_client
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome
from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands

_GENERATED_KEY_BYTES = 32
_MIN_KEY_CHARS = 16
_MAX_KEY_CHARS = 512


@cappa.command(name="grant", help="Adds a caller key")
@dataclasses.dataclass
class Grant(options.ControlCommand):
    """Adds a caller key and prints it; it cannot be shown again."""

    name: Annotated[str, cappa.Arg(help="Name of the key")]
    team: Annotated[str, cappa.Arg(long=True, help="Team of the key")]
    stdin: Annotated[
        bool,
        cappa.Arg(long=True, help="Read the key from standard input"),
    ] = False

    async def run(self) -> None:
        """Grants a generated key, or one from standard input.

        A key from standard input can be granted again after an unknown outcome.
        """
        config = self.read_settings()
        key = _read_key_from_stdin() if self.stdin else _generate_key()
        key_hash = config_view.key_hash(
            secret=config.key_secret.encode(), key=key
        )
        try:
            schema.Key(name=self.name, team=self.team, hash=key_hash)
        except ValueError as error:
            raise outcome.CommandError(
                outcome.EXIT_BAD_INPUT, [f"invalid name or team: {error}"]
            ) from error
        command = commands.GrantKey(
            name=self.name,
            team=self.team,
            hash=key_hash,
            publisher=config.operator,
        )
        key_fields = {} if self.stdin else {"key": key}
        try:
            async with control_client.connect(config) as control:
                result = await control_client.commit_change(
                    control, command, timeout=self.timeout
                )
        except outcome.CommandError as error:
            if error.exit_code == outcome.EXIT_UNKNOWN and not self.stdin:
                # A retry must grant the same key: a new one conflicts with this
                # grant if it was committed.
                error.document.update(key_fields)
                error.problems[-1] = (
                    "outcome unknown; run it again with --stdin and this key: "
                    f"{key}"
                )
            raise
        outcome.print_result(
            {"name": self.name, "version": result.version, **key_fields},
            as_json=self.json,
            text=f"key/{self.name} is granted" if self.stdin else key,
        )


@cappa.command(name="withdraw", help="Removes a caller key permanently")
@dataclasses.dataclass
class Withdraw(options.ControlCommand):
    """Removes a caller key permanently."""

    name: Annotated[str, cappa.Arg(help="Name of the key")]

    async def run(self) -> None:
        """Withdraws the key that currently has this name."""
        config = self.read_settings()
        async with control_client.connect(config) as control:
            # The client resends the command if the reply is lost. The hash
            # keeps a resend from removing a newer key of the same name.
            state = await control.read("keys", timeout=self.timeout)
            command = commands.WithdrawKey(
                name=self.name,
                publisher=config.operator,
                hash=state.get(self.name, {}).get("hash", ""),
            )
            result = await control_client.commit_change(
                control, command, timeout=self.timeout
            )
        outcome.print_result(
            {"name": self.name, "version": result.version},
            as_json=self.json,
            text=f"key/{self.name} is withdrawn since version {result.version}",
        )


@cappa.command(name="key", help="Grants and withdraws caller keys")
@dataclasses.dataclass
class KeyGroup:
    """Command group for caller keys."""

    command: cappa.Subcommands[Grant | Withdraw]


def _generate_key() -> str:
    return f"mh_{secrets.token_urlsafe(_GENERATED_KEY_BYTES)}"


def _read_key_from_stdin() -> str:
    key = sys.stdin.readline().strip()
    if not _MIN_KEY_CHARS <= len(key) <= _MAX_KEY_CHARS or not (
        key.isascii() and key.isprintable() and " " not in key
    ):
        raise outcome.CommandError(
            outcome.EXIT_BAD_INPUT,
            [
                f"the key must have {_MIN_KEY_CHARS} to {_MAX_KEY_CHARS} "
                "printable ASCII characters without spaces"
            ],
        )
    return key
