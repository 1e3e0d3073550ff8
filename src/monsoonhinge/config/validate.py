"""Validates a complete set of objects and reports all errors at once."""

from collections.abc import Collection, Iterable, Mapping
import json
from typing import Any

import pydantic

from monsoonhinge.config import base
from monsoonhinge.config import digest as config_digest
from monsoonhinge.config import ingress
from monsoonhinge.config import schema
from monsoonhinge.runtime import errors

MAX_OBJECTS = 50_000

# Limits the memory that the configuration takes in every process.
MAX_SET_BYTES = 16 * 1024 * 1024


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


def parse_set(
    documents: Any, *, size_bytes: int | None = None
) -> dict[str, schema.AnyObject]:
    """Parses and validates a set of decoded JSON objects.

    Args:
        documents: List of JSON objects.
        size_bytes: Sum of the sizes of the canonical objects, if it is known.

    Raises:
        ExceptionGroup: Of ObjectError, one for each error found.
    """
    objects, problems = _parse_all(documents, size_bytes)
    if problems:
        raise ExceptionGroup("invalid configuration", problems)
    return objects


def _parse_all(
    documents: Any, size_bytes: int | None = None
) -> tuple[dict[str, schema.AnyObject], list[ObjectError]]:
    if not isinstance(documents, list):
        return {}, [_object_error("objects", "", "must be a list of objects")]
    if len(documents) > MAX_OBJECTS:
        return {}, [
            _object_error("objects", "", f"more than {MAX_OBJECTS} objects")
        ]
    problems: list[ObjectError] = []
    objects: dict[str, schema.AnyObject] = {}
    invalid: set[str] = set()
    for position, document in enumerate(documents):
        try:
            item = schema.parse(document)
        except pydantic.ValidationError as error:
            problems += _parse_errors(position, document, error)
            if isinstance(document, dict):
                invalid.add(f"{document.get('kind')}/{document.get('name')}")
            continue
        object_id = schema.object_id(item)
        if object_id in objects:
            problems.append(
                _object_error(object_id, "name", "is defined twice")
            )
        objects[object_id] = item
    return objects, problems + check_objects(
        objects, invalid=invalid, size_bytes=size_bytes
    )


def check_objects(
    objects: Mapping[str, schema.AnyObject],
    *,
    invalid: Collection[str] = (),
    size_bytes: int | None = None,
) -> list[ObjectError]:
    """Returns all errors in the references and values of a set.

    Args:
        objects: Valid objects by id.
        invalid: Ids of objects that exist but have errors of their own.
        size_bytes: Sum of the sizes of the canonical objects, if it is known.

    Cycles of references need no check because none can exist: routes refer to
    models, adapters, services and teams, adapters to models, keys to teams,
    and nothing to routes.
    """
    problems: list[ObjectError] = []
    for object_id, item in objects.items():
        problems += [
            _object_error(object_id, field, f"{target} does not exist")
            for field, target in _references(item)
            if target not in objects and target not in invalid
        ]
        problems += [
            _object_error(object_id, field, reason)
            for field, reason in _value_problems(item, objects)
        ]
    problems += _key_hash_problems(objects)
    problems += _route_match_problems(objects)
    for kind in ("store", "policy", "ingress_limits"):
        count = sum(item.kind == kind for item in objects.values())
        if count > 1:
            problems.append(
                _object_error(kind, "", f"at most one object, found {count}")
            )
    if size_bytes is None:
        size_bytes = sum(
            len(schema.canonical(item)) for item in objects.values()
        )
    return problems + _size_problems(len(objects), size_bytes)


def _size_problems(count: int, size_bytes: int) -> list[ObjectError]:
    problems = []
    if size_bytes > MAX_SET_BYTES:
        problems.append(
            _object_error(
                "objects", "", f"{size_bytes} bytes exceed {MAX_SET_BYTES}"
            )
        )
    if count > MAX_OBJECTS:
        problems.append(
            _object_error("objects", "", f"{count} are more than {MAX_OBJECTS}")
        )
    return problems


def digest(objects: Iterable[schema.AnyObject]) -> bytes:
    """Returns a SHA-256 of the objects that ignores their order."""
    return config_digest.digest(schema.canonical(item) for item in objects)


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
        case ingress.IngressRoute():
            return [
                ("backends", f"ingress_service/{backend.service}")
                for backend in item.backends
            ]
        case _:
            return []


def _value_problems(
    item: schema.AnyObject, objects: Mapping[str, schema.AnyObject]
) -> list[tuple[str, str]]:
    match item:
        case schema.Model():
            return _model_problems(item)
        case schema.Adapter():
            return _adapter_problems(item, objects)
        case schema.Route():
            return _route_problems(item)
        case schema.Service():
            calls = [
                (call.method, call.path_prefix) for call in item.non_repeatable
            ]
            if len(set(calls)) != len(calls):
                return [("non_repeatable", "an entry is repeated")]
        case ingress.IngressRoute():
            if not any(backend.weight for backend in item.backends):
                return [("backends", "the weights add up to 0")]
        case schema.Policy() if item.min_keep_s > item.max_keep_s:
            return [("min_keep_s", "exceeds max_keep_s")]
    return []


def _model_problems(item: schema.Model) -> list[tuple[str, str]]:
    problems: list[tuple[str, str]] = []
    names = [version.version for version in item.versions]
    if item.current not in names:
        problems.append(("current", f"{item.current} is no version"))
    if len(set(names)) != len(names):
        problems.append(("versions", "a version is defined twice"))
    if item.min_replicas > item.max_replicas:
        problems.append(("min_replicas", "exceeds max_replicas"))
    return problems


def _adapter_problems(
    item: schema.Adapter, objects: Mapping[str, schema.AnyObject]
) -> list[tuple[str, str]]:
    problems: list[tuple[str, str]] = []
    if f"model/{item.name}" in objects:
        # Models and adapters share one namespace in the engines.
        problems.append(("name", f"model/{item.name} has the same name"))
    model = objects.get(f"model/{item.model}")
    if isinstance(model, schema.Model) and (
        0 < model.adapter_slot_bytes < item.bytes
    ):
        problems.append(
            ("bytes", f"exceeds adapter_slot_bytes of model/{item.model}")
        )
    return problems


def _route_problems(item: schema.Route) -> list[tuple[str, str]]:
    problems: list[tuple[str, str]] = []
    destinations = [item.model, item.adapter, item.service]
    if sum(name is not None for name in destinations) != 1:
        problems.append(("model", "name exactly one model, adapter or service"))
    if not item.teams and item.open_team is None:
        problems.append(("teams", "no team may use the route"))
    if len(set(item.teams)) != len(item.teams):
        problems.append(("teams", "a team is repeated"))
    return problems


def _key_hash_problems(
    objects: Mapping[str, schema.AnyObject],
) -> list[ObjectError]:
    owners: dict[str, str] = {}
    problems: list[ObjectError] = []
    for object_id, item in objects.items():
        if isinstance(item, schema.Key):
            owner = owners.setdefault(item.hash, object_id)
            if owner != object_id:
                problems.append(
                    _object_error(object_id, "hash", f"is that of {owner}")
                )
    return problems


def _route_match_problems(
    objects: Mapping[str, schema.AnyObject],
) -> list[ObjectError]:
    owners: dict[tuple[str, str], str] = {}
    problems: list[ObjectError] = []
    for object_id, item in objects.items():
        if isinstance(item, ingress.IngressRoute):
            place = (item.host, item.path_prefix)
            owner = owners.setdefault(place, object_id)
            if owner != object_id:
                problems.append(
                    _object_error(
                        object_id, "path_prefix", f"is that of {owner}"
                    )
                )
    return problems


def _parse_errors(
    position: int, document: Any, error: pydantic.ValidationError
) -> list[ObjectError]:
    name = f"objects[{position}]"
    if isinstance(document, dict):
        kind, label = document.get("kind"), document.get("name")
        if isinstance(kind, str) and isinstance(label, str):
            name = f"{name} {_printable(kind)}/{_printable(label)}"
    return [
        _object_error(
            name,
            _printable(".".join(str(part) for part in detail["loc"][1:])),
            _printable(detail["msg"], limit=512),
        )
        for detail in error.errors(include_input=False, include_url=False)
    ]


def _printable(text: str, *, limit: int = 128) -> str:
    """Returns text without control characters, truncated to a limit."""
    safe = text if text.isprintable() else ascii(text)
    return safe if len(safe) <= limit else f"{safe[:limit]}..."


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object and rejects repeated fields.

    The JSON parser would otherwise silently use the last one.
    """
    result = dict(pairs)
    if len(result) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {_printable(repeated)} is repeated")
    return result


def _object_error(object_id: str, field: str, reason: str) -> ObjectError:
    return ObjectError(object_id=object_id, field=field, reason=reason)


def read_file(text: str) -> tuple[int, dict[str, schema.AnyObject]]:
    """Parses a configuration file: ``{"version": N, "objects": [...]}``.

    Returns:
        The version to publish and the objects.

    Raises:
        ExceptionGroup: Of ObjectError, one for each error found.
    """
    try:
        document = json.loads(text, object_pairs_hook=_reject_duplicate_fields)
    except (ValueError, RecursionError) as error:
        raise ExceptionGroup(
            "invalid configuration",
            [_object_error("file", "", f"not valid JSON: {error}")],
        ) from error
    if not isinstance(document, dict):
        raise ExceptionGroup(
            "invalid configuration",
            [_object_error("file", "", "must be an object")],
        )
    problems = [
        _object_error("file", _printable(field), "unknown field")
        for field in document
        if field not in ("version", "objects")
    ]
    version = document.get("version")
    if type(version) is not int or not 1 <= version <= base.MAX_INTEGER:
        problems.append(
            _object_error("file", "version", "must be a positive integer")
        )
    objects, found = _parse_all(document.get("objects"))
    problems += found
    problems += [
        _object_error(
            object_id, "", "keys are changed by key grant and key withdraw"
        )
        for object_id, item in objects.items()
        if item.kind == "key"
    ]
    if problems:
        raise ExceptionGroup("invalid configuration", problems)
    return int(version or 0), objects
