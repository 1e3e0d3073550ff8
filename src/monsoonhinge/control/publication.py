"""Validation of configuration changes before they are proposed."""

import json

import pydantic

from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.protocol import commands

# Limits the errors in one reply; ``monsoonhinge check`` prints all of them.
_MAX_LISTED_ERRORS = 20


def problems(command: commands.Command) -> str:
    """Returns why a change is invalid, or "" if it is valid.

    The command line validates a configuration before publishing it. This
    check rejects invalid configurations from other publishers: subscribers
    could not read them and would refuse all requests.
    """
    match command:
        case commands.PublishConfig():
            return _config_problems(command.objects or None, command.packed)
        case commands.ReplaceConfig():
            return _config_problems(None, command.packed, allow_keys=True)
        case commands.GrantKey():
            return _key_problems(command)
        case _:
            return ""


def _config_problems(
    documents: list[bytes] | None, packed: bytes, *, allow_keys: bool = False
) -> str:
    try:
        documents = documents or pack.unpack(packed)
        objects = validate.parse_set(
            [json.loads(item) for item in documents],
            size_bytes=sum(map(len, documents)),
        )
    except ValueError as error:
        return str(error)
    except ExceptionGroup as group:
        lines = [str(error) for error in group.exceptions]
        omitted = len(lines) - _MAX_LISTED_ERRORS
        listed = "; ".join(lines[:_MAX_LISTED_ERRORS])
        return f"{listed}; and {omitted} more" if omitted > 0 else listed
    for object_id in objects:
        if object_id.startswith("key/") and not allow_keys:
            return f"{object_id}: keys are changed by grant and withdraw"
    return ""


def _key_problems(command: commands.GrantKey) -> str:
    try:
        schema.Key(name=command.name, team=command.team, hash=command.hash)
    except pydantic.ValidationError as error:
        return "; ".join(
            f"key: {detail['loc'][0]}: {detail['msg']}"
            for detail in error.errors(include_input=False, include_url=False)
        )
    return ""
