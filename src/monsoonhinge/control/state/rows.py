"""Encoding and decoding of table rows in a snapshot."""

from collections.abc import Iterable, Iterator, Sequence
import copy
import json
import struct
import typing
from typing import Any

from monsoonhinge.runtime import errors

# Sizes of the JSON part and of the binary part of a row.
_SIZES = struct.Struct("<II")

# Number of rows of a table.
_COUNT = struct.Struct("<I")

Row = tuple[Sequence[Any], bytes]


class Table(typing.Protocol):
    """A table whose rows are replaced on changes, never modified in place."""

    def to_rows(self) -> Iterator[Row]:
        """Yields the rows of the snapshot."""


def copy_table(table: Table) -> Table:
    """Returns a copy that is unaffected by later changes of the table.

    Copying the dictionaries is sufficient, since rows are immutable.
    """
    result = copy.copy(table)
    for name, value in vars(table).items():
        if isinstance(value, dict):
            setattr(result, name, dict(value))
    return result


def encode(rows: Iterable[Row]) -> bytes:
    """Encodes a table.

    Args:
        rows: JSON-compatible fields and one binary field of each row. The
            binary field is stored as is, since JSON would enlarge it.
    """
    parts: list[bytes] = []
    count = 0
    for fields, blob in rows:
        head = json.dumps(fields, separators=(",", ":")).encode()
        parts += (_SIZES.pack(len(head), len(blob)), head, blob)
        count += 1
    return b"".join([_COUNT.pack(count), *parts])


class Reader:
    """Reads the tables of a snapshot in the order of writing."""

    def __init__(self, data: bytes) -> None:
        self._data = memoryview(data)
        self._offset = 0

    def table(self) -> Iterator[Row]:
        """Yields the rows of the next table.

        Raises:
            errors.ProtocolError: The snapshot is truncated or malformed.
        """
        (count,) = _COUNT.unpack(self.take(_COUNT.size))
        for _ in range(count):
            head_size, blob_size = _SIZES.unpack(self.take(_SIZES.size))
            try:
                fields = json.loads(bytes(self.take(head_size)))
            except ValueError as error:
                raise _malformed(str(error)) from error
            if not isinstance(fields, list):
                raise _malformed("a row is not a list")
            yield fields, bytes(self.take(blob_size))

    def take(self, size: int) -> memoryview:
        """Returns the next ``size`` bytes.

        Raises:
            errors.ProtocolError: The snapshot is truncated.
        """
        end = self._offset + size
        if end > len(self._data):
            raise _malformed("truncated")
        part = self._data[self._offset : end]
        self._offset = end
        return part

    def check_end(self) -> None:
        """Checks that the end of the snapshot has been reached.

        Raises:
            errors.ProtocolError: Bytes follow the last table.
        """
        if self._offset != len(self._data):
            raise _malformed("bytes follow the last table")


def _malformed(reason: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        f"malformed snapshot: {reason}", step="restore snapshot"
    )
