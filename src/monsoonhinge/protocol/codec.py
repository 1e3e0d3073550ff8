"""Conversion between data classes and capnp bytes."""

from collections.abc import Callable
import dataclasses
import functools
import pathlib
import typing
from typing import Any

import capnp

from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_SCHEMA_PATH = pathlib.Path(__file__).with_name("schema.capnp")

# A reader may visit this many words, which bounds the work that a message of
# the largest frame size can cause when its pointers overlap.
_TRAVERSAL_LIMIT_WORDS = 16 * 1024 * 1024

_Convert = Callable[[Any], Any]


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message with its request id.

    Attributes:
        id: Request id; 0 for a notification.
        reply: Whether the message answers the request with that id.
        body: The message.
    """

    id: int
    reply: bool
    body: messages.Message


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope as the bytes of one capnp message."""
    return _encode(
        "Envelope", envelope.body, id=envelope.id, reply=envelope.reply
    )


def decode(data: bytes) -> Envelope:
    """Decodes an envelope.

    Raises:
        errors.ProtocolError: The bytes are not a valid envelope.
    """
    fields, body = _decode("Envelope", messages.Message, data)
    return Envelope(id=fields["id"], reply=fields["reply"], body=body)


def encode_command(command: commands.Command) -> bytes:
    """Encodes a command for the log."""
    return _encode("Command", command)


def decode_command(data: bytes) -> commands.Command:
    """Decodes a command from the log.

    Raises:
        errors.ProtocolError: The bytes are not a valid command.
    """
    command: commands.Command = _decode("Command", commands.Command, data)[1]
    return command


def encode_result(result: commands.Result) -> bytes:
    """Encodes the result of a command."""
    return _encode("Result", result)


def decode_result(data: bytes) -> commands.Result:
    """Decodes the result of a command.

    Raises:
        errors.ProtocolError: The bytes are not a valid result.
    """
    result: commands.Result = _decode("Result", commands.Result, data)[1]
    return result


def _encode(struct: str, body: Any, **fields: Any) -> bytes:
    cls: Any = type(body)
    name = _union_name(cls)
    content = _to_struct(cls)(body)
    builder = getattr(_schema(), struct).new_message(
        body={name: content}, **fields
    )
    return typing.cast(bytes, builder.to_bytes())


def _decode(struct: str, union: Any, data: bytes) -> tuple[dict[str, Any], Any]:
    try:
        with getattr(_schema(), struct).from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            fields = reader.to_dict(verbose=True)
        ((name, content),) = fields.pop("body").items()
        return fields, _from_struct(_classes(union)[name])(content)
    except (
        capnp.KjException,
        UnicodeDecodeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.ProtocolError(
            f"malformed {struct.lower()}: {error}", step="decode"
        ) from error


@functools.cache
def _schema() -> Any:
    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA_PATH))


@functools.cache
def _classes(union: Any) -> dict[str, Any]:
    return {_union_name(cls): cls for cls in typing.get_args(union)}


@functools.cache
def _union_name(cls: Any) -> str:
    name: str = cls.__name__
    return name[0].lower() + name[1:]


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.title() for word in rest)


def _element(annotation: Any, leaf: Callable[[Any], _Convert]) -> Any:
    """Returns a converter for an annotation, or None for plain values."""
    if typing.get_origin(annotation) is list:
        inner = _element(typing.get_args(annotation)[0], leaf)
        if inner is None:
            return list
        return lambda values: [inner(value) for value in values]
    if dataclasses.is_dataclass(annotation):
        return leaf(annotation)
    return None


@functools.cache
def _plan(cls: Any, to_struct: bool) -> list[tuple[str, str, Any]]:
    leaf = _to_struct if to_struct else _from_struct
    return [
        (field.name, _camel(field.name), _element(field.type, leaf))
        for field in dataclasses.fields(cls)
    ]


@functools.cache
def _to_struct(cls: Any) -> _Convert:
    plan = _plan(cls, True)

    def convert(value: Any) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for name, camel, element in plan:
            item = getattr(value, name)
            # A default costs neither bytes nor time when it is left out.
            if item:
                result[camel] = item if element is None else element(item)
        return result

    return convert


@functools.cache
def _from_struct(cls: Any) -> _Convert:
    plan = _plan(cls, False)

    def convert(fields: dict[str, Any]) -> Any:
        arguments = {}
        for name, camel, element in plan:
            value = fields[camel]
            arguments[name] = value if element is None else element(value)
        return cls(**arguments)

    return convert
