"""Records of the log files.

A record holds everything that one write makes durable, so that a power
failure keeps the write as a whole or not at all. Its header is a marker, the
payload length and a CRC-32 over the record's offset and payload.
"""

from collections.abc import Iterator
import dataclasses
import struct
import zlib

from monsoonhinge.protocol import messages

_MARKER = b"MhR1"
_HEADER = struct.Struct(">4sII")
_STATE = struct.Struct(">QH")
_ENTRY = struct.Struct(">QQBI")
_OFFSET = struct.Struct(">Q")


@dataclasses.dataclass(slots=True)
class Record:
    """One durable write."""

    term: int
    vote: str
    entries: list[messages.Entry]


class Corruption(Exception):
    """A damaged record is followed by an intact one."""


def encode(record: Record, *, offset: int) -> bytes:
    """Encodes a record that begins at an offset of its file."""
    vote = record.vote.encode()
    parts = [_STATE.pack(record.term, len(vote)), vote]
    for entry in record.entries:
        parts.append(
            _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.data))
        )
        parts.append(entry.data)
    payload = b"".join(parts)
    return (
        _HEADER.pack(_MARKER, len(payload), _checksum(offset, payload))
        + payload
    )


def decode_all(data: bytes) -> tuple[list[Record], int]:
    """Decodes the records of a file.

    Returns:
        The records, and the size of the part that they fill. What follows is
        a record that was not completely written.

    Raises:
        Corruption: A damaged record is followed by an intact one, so it was
            once complete.
    """
    records = []
    offset = 0
    while (payload := _payload_at(data, offset)) is not None:
        records.append(_decode(payload))
        offset += _HEADER.size + len(payload)
    for later in _markers(data, offset + 1):
        if _payload_at(data, later) is not None:
            raise Corruption(
                f"record at offset {offset} is damaged, but the one at "
                f"{later} is intact"
            )
    return records, offset


def _checksum(offset: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_OFFSET.pack(offset)))


def _payload_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    marker, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if (
        marker != _MARKER
        or len(payload) != length
        or _checksum(offset, payload) != checksum
    ):
        return None
    return payload


def _markers(data: bytes, start: int) -> Iterator[int]:
    while (start := data.find(_MARKER, start)) >= 0:
        yield start
        start += 1


def _decode(payload: bytes) -> Record:
    term, vote_length = _STATE.unpack_from(payload)
    position = _STATE.size + vote_length
    vote = payload[_STATE.size : position].decode()
    entries = []
    while position < len(payload):
        index, entry_term, kind, length = _ENTRY.unpack_from(payload, position)
        position += _ENTRY.size
        entries.append(
            messages.Entry(
                index=index,
                term=entry_term,
                kind=kind,
                data=payload[position : position + length],
            )
        )
        position += length
    return Record(term=term, vote=vote, entries=entries)
