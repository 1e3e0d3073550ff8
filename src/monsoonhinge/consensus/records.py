"""Binary format of the records in log files.

A record holds everything that one write makes durable, so that a write
survives a power failure either completely or not at all. Its header consists
of magic bytes, the payload length and a CRC-32 over the record's file offset
and payload.
"""

from collections.abc import Iterator
import dataclasses
import struct
import zlib

from monsoonhinge.protocol import messages

_MAGIC = b"MhR1"
_RECORD_HEADER = struct.Struct(">4sII")
_TERM_AND_VOTE = struct.Struct(">QH")
_ENTRY_HEADER = struct.Struct(">QQBI")
_FILE_OFFSET = struct.Struct(">Q")


@dataclasses.dataclass(slots=True)
class Record:
    """Term, vote and appended entries of one durable write."""

    term: int
    vote: str
    entries: list[messages.Entry]


class Corruption(Exception):
    """A damaged record is followed by an intact one.

    It is therefore not the last, incomplete write before a power failure.
    """


def encode(record: Record, *, offset: int) -> bytes:
    """Encodes a record to be written at a file offset."""
    vote = record.vote.encode()
    parts = [_TERM_AND_VOTE.pack(record.term, len(vote)), vote]
    for entry in record.entries:
        parts.append(
            _ENTRY_HEADER.pack(
                entry.index, entry.term, entry.kind, len(entry.data)
            )
        )
        parts.append(entry.data)
    payload = b"".join(parts)
    return (
        _RECORD_HEADER.pack(_MAGIC, len(payload), _checksum(offset, payload))
        + payload
    )


def decode_all(data: bytes) -> tuple[list[Record], int]:
    """Decodes the records of a file.

    Returns:
        The records and their total size in bytes. Data after that is a record
        that was not written completely.

    Raises:
        Corruption: A damaged record is followed by an intact one, so it had
            been written completely.
    """
    records = []
    offset = 0
    while (payload := _read_payload(data, offset)) is not None:
        records.append(_decode_payload(payload))
        offset += _RECORD_HEADER.size + len(payload)
    for later_offset in _find_magic(data, offset + 1):
        if _read_payload(data, later_offset) is not None:
            raise Corruption(
                f"record at offset {offset} is damaged, but the one at "
                f"{later_offset} is intact"
            )
    return records, offset


def _checksum(offset: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_FILE_OFFSET.pack(offset)))


def _read_payload(data: bytes, offset: int) -> bytes | None:
    if offset + _RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    start = offset + _RECORD_HEADER.size
    payload = data[start : start + length]
    if (
        magic != _MAGIC
        or len(payload) != length
        or _checksum(offset, payload) != checksum
    ):
        return None
    return payload


def _find_magic(data: bytes, start: int) -> Iterator[int]:
    while (start := data.find(_MAGIC, start)) >= 0:
        yield start
        start += 1


def _decode_payload(payload: bytes) -> Record:
    term, vote_length = _TERM_AND_VOTE.unpack_from(payload)
    position = _TERM_AND_VOTE.size + vote_length
    vote = payload[_TERM_AND_VOTE.size : position].decode()
    entries = []
    while position < len(payload):
        index, entry_term, kind, length = _ENTRY_HEADER.unpack_from(
            payload, position
        )
        position += _ENTRY_HEADER.size
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
