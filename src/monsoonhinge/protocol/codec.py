"""Conversion between the message data classes and capnp bytes."""

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

# Limit of the words that a reader visits. It bounds the work that a message of
# the largest frame size can cause when its pointers overlap.
_TRAVERSAL_LIMIT_WORDS = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message with its request id.

    Attributes:
        id: Request id; 0 for a notification.
        reply: Whether the message is the reply to the request with that id.
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
    (request_id, reply), body = _decode(
        "Envelope", messages.Message, data, "id", "reply"
    )
    return Envelope(id=request_id, reply=reply, body=body)


def encode_command(command: commands.Command) -> bytes:
    """Encodes a command for the replicated log."""
    return _encode("Command", command)


def decode_command(data: bytes) -> commands.Command:
    """Decodes a command from the replicated log.

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
    builder = getattr(_schema(), struct).new_message(**fields)
    cls: Any = type(body)
    _write_struct(builder.body.init(_union_member(cls)), body, cls)
    return typing.cast(bytes, builder.to_bytes())


def _decode(
    struct: str, union: Any, data: bytes, *names: str
) -> tuple[list[Any], Any]:
    try:
        with getattr(_schema(), struct).from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            fields = [getattr(reader, name) for name in names]
            name = str(reader.body.which())
            cls = _classes_by_member(union)[name]
            return fields, _struct_reader(cls)(getattr(reader.body, name))
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
def _classes_by_member(union: Any) -> dict[str, Any]:
    return {_union_member(cls): cls for cls in typing.get_args(union)}


@functools.cache
def _union_member(cls: Any) -> str:
    name: str = cls.__name__
    return name[0].lower() + name[1:]


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.title() for word in rest)


class _FieldConversion(typing.NamedTuple):
    """How a field of a data class is converted.

    Attributes:
        name: Name in the data class.
        schema_name: Name in the capnp schema.
        is_list: Whether it is a list.
        element: Data class of the list's elements, or None for plain values.
    """

    name: str
    schema_name: str
    is_list: bool
    element: Any


@functools.cache
def _field_conversions(cls: Any) -> list[_FieldConversion]:
    fields = []
    for field in dataclasses.fields(cls):
        is_list = typing.get_origin(field.type) is list
        element = typing.get_args(field.type)[0] if is_list else None
        if not dataclasses.is_dataclass(element):
            element = None
        fields.append(
            _FieldConversion(
                field.name, _to_camel_case(field.name), is_list, element
            )
        )
    return fields


# Setting fields one by one is several times faster than passing capnp a dict.
def _write_struct(builder: Any, value: Any, cls: Any) -> None:
    for name, schema_name, is_list, element_class in _field_conversions(cls):
        item = getattr(value, name)
        # Default values are omitted, which saves bytes and time.
        if not item:
            continue
        if not is_list:
            setattr(builder, schema_name, item)
            continue
        elements = builder.init(schema_name, len(item))
        for position, element in enumerate(item):
            if element_class is None:
                elements[position] = element
            else:
                _write_struct(elements[position], element, element_class)


@functools.cache
def _struct_reader(cls: Any) -> Callable[[Any], Any]:
    """Returns a function that builds an instance from a capnp reader."""
    converters = [
        (field.schema_name, _list_reader(field))
        for field in _field_conversions(cls)
    ]

    def read(reader: Any) -> Any:
        values = []
        for schema_name, convert in converters:
            value = getattr(reader, schema_name)
            values.append(value if convert is None else convert(value))
        return cls(*values)

    return read


def _list_reader(field: _FieldConversion) -> Callable[[Any], list[Any]] | None:
    if not field.is_list:
        return None
    if field.element is None:
        return list
    element = _struct_reader(field.element)
    return lambda values: [element(value) for value in values]
