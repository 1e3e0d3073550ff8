"""Checks a whole set of objects and reports all errors at once."""

from collections.abc import Iterable, Mapping
import hashlib
import json
from typing import Any

import pydantic

from monsoonhinge.config import schema
from monsoonhinge.runtime import errors


class ObjectError(errors.MonsoonhingeError):
    """One error in a set of objects.

    Attributes:
        object_id: ``kind/name`` of the object, or its position in the file.
        field: Field that is wrong, or "".
        reason: What is wrong with it.
    """

    def __init__(self, *, object_id: str, field: str, reason: str) -> None:
        where = f"{object_id}: {field}" if field else object_id
        super().__init__(f"{where}: {reason}", step="check configuration")
        self.object_id = object_id
        self.field = field
        self.reason = reason


def parse_set(documents: Any) -> dict[str, schema.AnyObject]:
    """Parses decoded JSON objects into a set and checks it.

    Args:
        documents: List of JSON objects.

    Raises:
        ExceptionGroup: Of ObjectError, one for each error found.
    """
    if not isinstance(documents, list):
        raise ExceptionGroup(
            "invalid configuration",
            [_error("objects", "", "must be a list of objects")],
        )
    problems: list[ObjectError] = []
    objects: dict[str, schema.AnyObject] = {}
    for position, document in enumerate(documents):
        try:
            item = schema.parse(document)
        except pydantic.ValidationError as error:
            problems += _parse_errors(position, document, error)
            continue
        object_id = schema.object_id(item)
        if object_id in objects:
            problems.append(_error(object_id, "name", "is defined twice"))
        objects[object_id] = item
    problems += check(objects)
    if problems:
        raise ExceptionGroup("invalid configuration", problems)
    return objects


def check(objects: Mapping[str, schema.AnyObject]) -> list[ObjectError]:
    """Returns all errors in the references and values of a set."""
    problems: list[ObjectError] = []
    for object_id, item in objects.items():
        for field, target in _references(item):
            if target not in objects:
                problems.append(
                    _error(object_id, field, f"{target} does not exist")
                )
        problems += [
            _error(object_id, field, reason)
            for field, reason in _value_problems(item)
        ]
    for kind in ("store", "policy"):
        count = sum(item.kind == kind for item in objects.values())
        if count > 1:
            problems.append(
                _error(kind, "", f"at most one object, found {count}")
            )
    return problems


def digest(objects: Iterable[schema.AnyObject]) -> bytes:
    """Returns the SHA-256 over the canonical objects, in any order."""
    total = hashlib.sha256()
    for data in sorted(schema.canonical(item) for item in objects):
        total.update(len(data).to_bytes(8, "big"))
        total.update(data)
    return total.digest()


def _references(item: schema.AnyObject) -> list[tuple[str, str]]:
    match item:
        case schema.Adapter():
            return [("model", f"model/{item.model}")]
        case schema.Key():
            return [("team", f"team/{item.team}")]
        case schema.Route():
            found = [
                (kind, f"{kind}/{name}")
                for kind in ("model", "adapter", "service")
                if (name := getattr(item, kind)) is not None
            ]
            found += [("teams", f"team/{team}") for team in item.teams]
            if item.open_team is not None:
                found.append(("open_team", f"team/{item.open_team}"))
            return found
        case _:
            return []


def _value_problems(item: schema.AnyObject) -> list[tuple[str, str]]:
    problems: list[tuple[str, str]] = []
    match item:
        case schema.Model():
            names = [version.version for version in item.versions]
            if item.current not in names:
                problems.append(("current", f"{item.current} is no version"))
            if len(set(names)) != len(names):
                problems.append(("versions", "a version is defined twice"))
            if item.min_replicas > item.max_replicas:
                problems.append(("min_replicas", "exceeds max_replicas"))
        case schema.Route():
            named = [item.model, item.adapter, item.service]
            if sum(name is not None for name in named) != 1:
                problems.append(
                    ("model", "name exactly one model, adapter or service")
                )
            if not item.teams and item.open_team is None:
                problems.append(("teams", "no team may use the route"))
        case schema.Policy():
            if item.min_keep_s > item.max_keep_s:
                problems.append(("min_keep_s", "exceeds max_keep_s"))
    return problems


def _parse_errors(
    position: int, document: Any, error: pydantic.ValidationError
) -> list[ObjectError]:
    name = f"objects[{position}]"
    if isinstance(document, dict):
        kind, label = document.get("kind"), document.get("name")
        if isinstance(kind, str) and isinstance(label, str):
            name = f"{kind}/{label}"
    return [
        _error(
            name,
            ".".join(str(part) for part in detail["loc"][1:]),
            detail["msg"],
        )
        for detail in error.errors(include_input=False, include_url=False)
    ]


def _error(object_id: str, field: str, reason: str) -> ObjectError:
    return ObjectError(object_id=object_id, field=field, reason=reason)


def read_file(text: str) -> tuple[int, dict[str, schema.AnyObject]]:
    """Reads a configuration file: ``{"version": N, "objects": [...]}``.

    Returns:
        The version to publish and the objects.

    Raises:
        ExceptionGroup: Of ObjectError, one for each error found.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise ExceptionGroup(
            "invalid configuration",
            [_error("file", "", f"not valid JSON: {error}")],
        ) from error
    if not isinstance(document, dict):
        raise ExceptionGroup(
            "invalid configuration", [_error("file", "", "must be an object")]
        )
    problems = [
        _error("file", field, "unknown field")
        for field in document.keys() - {"version", "objects"}
    ]
    version = document.get("version")
    if type(version) is not int or version < 1:
        problems.append(_error("file", "version", "must be a positive integer"))
    objects: dict[str, schema.AnyObject] = {}
    try:
        objects = parse_set(document.get("objects"))
    except* ObjectError as group:
        problems += [
            error
            for error in group.exceptions
            if isinstance(error, ObjectError)
        ]
    problems += [
        _error(object_id, "", "keys are changed by key grant and key withdraw")
        for object_id, item in objects.items()
        if item.kind == "key"
    ]
    if problems:
        raise ExceptionGroup("invalid configuration", problems)
    return int(version or 0), objects
