"""Checks configuration changes before they are proposed."""

import json

import pydantic

from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.protocol import commands

# A message lists this many errors at most; operators get all of them from
# ``monsoonhinge check``.
_MAX_LISTED = 20


def problems(command: commands.Command) -> str:
    """Returns why a change can never be accepted, or "".

    The command line checks a set before it publishes it. This check keeps
    out a set that came another way: subscribers could not read it and would
    refuse all requests.
    """
    match command:
        case commands.PublishConfig():
            return _set_problems(command.objects or None, command.packed)
        case commands.ReplaceConfig():
            return _set_problems(None, command.packed, keys=True)
        case commands.GrantKey():
            return _key_problems(command)
        case _:
            return ""


def _set_problems(
    documents: list[bytes] | None, packed: bytes, *, keys: bool = False
) -> str:
    try:
        documents = documents or pack.unpack(packed)
        objects = validate.parse_set([json.loads(item) for item in documents])
    except ValueError as error:
        return str(error)
    except ExceptionGroup as group:
        lines = [str(error) for error in group.exceptions]
        more = len(lines) - _MAX_LISTED
        listed = "; ".join(lines[:_MAX_LISTED])
        return f"{listed}; and {more} more" if more > 0 else listed
    for object_id in objects:
        if object_id.startswith("key/") and not keys:
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
