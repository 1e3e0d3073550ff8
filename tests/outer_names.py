"""Lists the names that are visible outside the processes.

These are the messages and their fields, the fields of the pydantic models, the
values of enumerations, the metrics, the events, and the options in the help
texts of the programs.

Usage: ``python -m tests.outer_names [--all]``; ``--all`` adds the lines of the
wire schema and every string constant of the source that is a single word.
"""

import ast
import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import importlib
import io
import os
import pathlib
import pkgutil
import re
import runpy
import sys
import types
import typing
from typing import Any
from unittest import mock
import warnings

import pydantic
import pydantic.fields

import monsoonhinge
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages

_PACKAGE = pathlib.Path(monsoonhinge.__file__).parent
_METRIC_CLASSES = {"Counter", "Gauge", "Histogram", "Summary", "Info"}
_PROGRAMS = ("cli", "control", "emulator", "gateway", "scheduler", "bench")
_SINGLE_WORD = re.compile(r"[A-Za-z0-9_./:{}$*%-]+")


def names() -> list[str]:
    """Returns one line per message, model, enum, metric, event and program."""
    modules = list(_import_modules())
    trees = [ast.parse(path.read_text()) for path in _source_paths()]
    events = vars(importlib.import_module("monsoonhinge.runtime.events"))
    sections = {
        "message": _message_lines(),
        "model": _model_lines(modules),
        "enum": _enum_lines(modules),
        "metric": [line for tree in trees for line in _metric_lines(tree)],
        "event": [
            line for tree in trees for line in _event_lines(tree, events)
        ],
        "option": [line for name in _PROGRAMS for line in _option_lines(name)],
    }
    return [
        f"{section} {line}"
        for section, lines in sections.items()
        for line in sorted(set(lines))
    ]


def schema_lines() -> list[str]:
    """Returns the lines of the wire schema without its comments."""
    text = (_PACKAGE / "protocol" / "schema.capnp").read_text()
    lines = (line.partition("#")[0].strip() for line in text.splitlines())
    return [f"schema {line}" for line in lines if line]


def word_counts() -> list[str]:
    """Returns the one-word string constants, each with its number of uses."""
    counts = collections.Counter(
        node.value
        for path in _source_paths()
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and _SINGLE_WORD.fullmatch(node.value)
    )
    return [f"word {word} {count}" for word, count in sorted(counts.items())]


def _source_paths() -> list[pathlib.Path]:
    return sorted(_PACKAGE.rglob("*.py"))


def _import_modules() -> Iterator[types.ModuleType]:
    for info in pkgutil.walk_packages([str(_PACKAGE)], "monsoonhinge."):
        if not info.name.endswith("__main__"):
            yield importlib.import_module(info.name)


def _message_lines() -> list[str]:
    pending: list[Any] = [
        *typing.get_args(messages.Message),
        *typing.get_args(commands.Command),
        *typing.get_args(commands.Result),
    ]
    lines = {}
    while pending:
        cls = pending.pop()
        fields = dataclasses.fields(cls)
        lines[cls.__name__] = ", ".join(field.name for field in fields)
        for field in fields:
            pending += [
                item
                for item in (field.type, *typing.get_args(field.type))
                if dataclasses.is_dataclass(item)
            ]
    return [f"{name}: {fields}" for name, fields in lines.items()]


def _project_classes(modules: list[types.ModuleType], base: Any) -> list[Any]:
    found = {
        value
        for module in modules
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, base)
    }
    return [cls for cls in found if cls.__module__.startswith("monsoonhinge")]


def _model_lines(modules: list[types.ModuleType]) -> list[str]:
    lines = []
    for cls in _project_classes(modules, pydantic.BaseModel):
        fields = [
            f"{field.alias or name}={_default(field)}{_literals(field)}"
            for name, field in cls.model_fields.items()
        ]
        if fields:
            lines.append(", ".join(fields))
    return lines


def _default(field: pydantic.fields.FieldInfo) -> str:
    if field.is_required():
        return "required"
    factory: Any = field.default_factory
    value = field.default if factory is None else factory()
    return "model" if isinstance(value, pydantic.BaseModel) else repr(value)


def _literals(field: pydantic.fields.FieldInfo) -> str:
    values = re.findall(r"Literal\[([^\]]*)\]", str(field.annotation))
    return f" of {values}" if values else ""


def _enum_lines(modules: list[types.ModuleType]) -> list[str]:
    return [
        ", ".join(str(member.value) for member in cls)
        for cls in _project_classes(modules, enum.Enum)
    ]


def _metric_lines(tree: ast.Module) -> Iterator[str]:
    for node in _call_nodes(tree):
        name = node.func.attr if isinstance(node.func, ast.Attribute) else ""
        if name not in _METRIC_CLASSES or not node.args:
            continue
        if isinstance(node.args[0], ast.Constant):
            labels = [ast.unparse(item) for item in node.args[2:3]]
            yield f"{name} {node.args[0].value} {' '.join(labels)}"


def _event_lines(tree: ast.Module, constants: dict[str, Any]) -> Iterator[str]:
    for node in _call_nodes(tree):
        if ast.unparse(node.func) != "events.emit" or not node.args:
            continue
        event = node.args[0]
        if isinstance(event, ast.Attribute):
            text = str(constants[event.attr])
        else:
            text = ast.unparse(event)
        fields = sorted(item.arg or "**" for item in node.keywords)
        yield f"{text}: {', '.join(fields)}"


def _call_nodes(tree: ast.Module) -> Iterator[ast.Call]:
    return (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def _option_lines(program: str) -> list[str]:
    pending: list[list[str]] = [[]]
    lines = []
    while pending:
        path = pending.pop()
        text = _help_text([program, *path])
        found = sorted(set(re.findall(r"--[a-z][a-z-]*", text)))
        lines.append(f"{' '.join([program, *path])}: {' '.join(found)}")
        _, _, commands_text = text.partition("Subcommands")
        pending += [
            [*path, name]
            for name in re.findall(r"^ +([a-z-]+)  ", commands_text, re.M)
        ]
    return lines


def _help_text(command: list[str]) -> str:
    program, *path = command
    output = io.StringIO()
    with (
        mock.patch.object(sys, "argv", [program, *path, "--help"]),
        mock.patch.dict(os.environ, {"COLUMNS": "200"}),
        contextlib.redirect_stdout(output),
        contextlib.suppress(SystemExit),
        warnings.catch_warnings(),
    ):
        # runpy warns that other tests have imported the module already.
        warnings.simplefilter("ignore", RuntimeWarning)
        runpy.run_module(f"monsoonhinge.{program}", run_name="__main__")
    return output.getvalue()


if __name__ == "__main__":
    found = names()
    if "--all" in sys.argv:
        found += [*schema_lines(), *word_counts()]
    print("\n".join(found))
