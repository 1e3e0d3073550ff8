"""Commands for configurations: check, publish, get and diff."""

import asyncio
from collections.abc import Mapping
import dataclasses
import json
import pathlib
from typing import Annotated, Any

import cappa

from monsoonhinge.cli import cluster
from monsoonhinge.cli import control_client
from monsoonhinge.cli import options
from monsoonhinge.cli import outcome
from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.control import client
from monsoonhinge.protocol import commands
from monsoonhinge.runtime import errors

ConfigurationFile = Annotated[
    pathlib.Path, cappa.Arg(help="Configuration file")
]

_POLL_INTERVAL_S = 0.2
# Timeout of the last read, which may start just before the deadline.
_MIN_READ_TIMEOUT_S = 0.5


@cappa.command(name="check", help="Validates a configuration file")
@dataclasses.dataclass
class Check(options.BaseCommand):
    """Validates a configuration file without contacting the cluster."""

    file: ConfigurationFile

    async def run(self) -> None:
        """Prints the version and the number of objects of a valid file."""
        version, objects = _read_configuration(self.file)
        outcome.print_result(
            {"version": version, "objects": len(objects)},
            as_json=self.json,
            text=f"{self.file}: ok, version {version}, {len(objects)} objects",
        )


@cappa.command(name="publish", help="Publishes a configuration file")
@dataclasses.dataclass
class Publish(options.ControlCommand):
    """Publishes a configuration file as the next version."""

    file: ConfigurationFile
    wait: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Wait until it is in effect at every subscriber"
        ),
    ] = False

    async def run(self) -> None:
        """Publishes the file and reports subscribers that lag behind."""
        version, objects = _read_configuration(self.file)
        config = self.read_settings()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.timeout
        command = commands.PublishConfig(
            version=version,
            digest=validate.digest(objects.values()),
            publisher=config.operator,
            packed=pack.pack(
                [schema.canonical(item) for item in objects.values()]
            ),
        )
        async with control_client.connect(config) as control:
            result = await control_client.commit_change(
                control, command, timeout=self.timeout
            )
            behind = (
                await _wait_for_subscribers(control, version, deadline=deadline)
                if self.wait
                else {}
            )
        document = {
            "version": version,
            "digest": result.digest.hex(),
            "publisher": result.publisher,
            "behind": behind,
        }
        if behind:
            raise outcome.CommandError(
                outcome.EXIT_FAILED,
                [
                    f"version {version} is accepted; "
                    f"{name} has version {current}"
                    for name, current in behind.items()
                ],
                document,
            )
        suffix = " and is in effect at every subscriber" if self.wait else ""
        outcome.print_result(
            document,
            as_json=self.json,
            text=f"version {version} is accepted{suffix}",
        )


@cappa.command(name="get", help="Shows the configuration in effect")
@dataclasses.dataclass
class Get(options.ControlCommand):
    """Shows the configuration in effect, or one object."""

    id: Annotated[
        str | None,
        cappa.Arg(value_name="KIND/NAME", help="Show only this object"),
    ] = None

    async def run(self) -> None:
        """Prints a table of objects, or one object as JSON."""
        view = await control_client.fetch_configuration(
            self.read_settings(), timeout=self.timeout
        )
        if self.id is not None:
            item = view.objects.get(self.id)
            if item is None:
                raise outcome.CommandError(
                    outcome.EXIT_FAILED,
                    [f"{self.id} does not exist in version {view.version}"],
                )
            document = item.model_dump(mode="json")
            outcome.print_result(
                document, as_json=self.json, text=json.dumps(document, indent=2)
            )
            return
        objects = [
            item.model_dump(mode="json") for item in view.objects.values()
        ]
        rows = sorted((item["kind"], item["name"]) for item in objects)
        outcome.print_result(
            {"version": view.version, "objects": objects},
            as_json=self.json,
            text=f"version {view.version}\n"
            + outcome.format_table(["KIND", "NAME"], rows),
        )


@cappa.command(
    name="diff", help="Compares a file with the configuration in effect"
)
@dataclasses.dataclass
class Diff(options.ControlCommand):
    """Shows what publishing a file would change."""

    file: ConfigurationFile

    async def run(self) -> None:
        """Prints a line per changed object and per changed field."""
        version, objects = _read_configuration(self.file)
        view = await control_client.fetch_configuration(
            self.read_settings(), timeout=self.timeout
        )
        changes = _diff_objects(control_client.without_keys(view), objects)
        lines = [f"version {view.version} is in effect, the file has {version}"]
        lines += [
            f"{change['change']:<8} {change['id']}"
            + "".join(
                f"\n         {field}: {old!r} -> {new!r}"
                for field, (old, new) in change.get("fields", {}).items()
            )
            for change in changes
        ]
        outcome.print_result(
            {
                "in_effect": view.version,
                "file": version,
                "changes": changes,
            },
            as_json=self.json,
            text="\n".join(lines if changes else [*lines, "no changes"]),
        )


async def _wait_for_subscribers(
    control: client.Client, version: int, *, deadline: float
) -> dict[str, int]:
    """Waits until all live subscribers have a version or the deadline passes.

    Returns:
        Versions of the subscribers that still lack it, by session.
    """
    loop = asyncio.get_running_loop()
    while True:
        remaining_s = max(deadline - loop.time(), _MIN_READ_TIMEOUT_S)
        try:
            status = await control.read("status", timeout=remaining_s)
        except errors.RequestTimeout as error:
            raise outcome.CommandError(
                outcome.EXIT_UNKNOWN,
                [
                    f"version {version} is accepted; "
                    f"cannot read the status: {error}"
                ],
                {"version": version},
            ) from error
        behind = {
            name: subscriber.version
            for name, subscriber in cluster.live_subscribers(status).items()
            if subscriber.version < version
        }
        if not behind or loop.time() >= deadline:
            return behind
        await asyncio.sleep(_POLL_INTERVAL_S)


def _read_configuration(
    path: pathlib.Path,
) -> tuple[int, dict[str, schema.AnyObject]]:
    try:
        return validate.read_file(path.read_text())
    except OSError as error:
        problems = [f"{path}: cannot read: {error.strerror}"]
    except UnicodeDecodeError:
        problems = [f"{path}: is not UTF-8 text"]
    except ExceptionGroup as group:
        problems = [
            f"{path}: {_message_without_step(error)}"
            for error in group.exceptions
        ]
    raise outcome.CommandError(outcome.EXIT_BAD_INPUT, problems)


def _message_without_step(error: Exception) -> str:
    """Returns an error's message without its step, the command itself."""
    return str(error.args[0])


def _diff_objects(
    old: Mapping[str, schema.AnyObject], new: Mapping[str, schema.AnyObject]
) -> list[dict[str, Any]]:
    changes: list[dict[str, Any]] = []
    for object_id in sorted(old.keys() | new.keys()):
        before, after = old.get(object_id), new.get(object_id)
        if before is None or after is None:
            kind = "added" if before is None else "removed"
            changes.append({"change": kind, "id": object_id})
        elif before != after:
            old_fields = before.model_dump(mode="json")
            new_fields = after.model_dump(mode="json")
            fields = {
                field: (old_fields[field], new_fields[field])
                for field in old_fields
                if old_fields[field] != new_fields[field]
            }
            changes.append(
                {"change": "changed", "id": object_id, "fields": fields}
            )
    return changes
