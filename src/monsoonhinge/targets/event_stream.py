"""Splits the bytes of a server-sent event stream into events."""

import dataclasses

_END_LF = b"\n\n"
_END_CRLF = b"\r\n\r\n"

# A stream with a larger event is treated as broken.
MAX_EVENT_BYTES = 1024 * 1024


class Oversized(Exception):
    """An event exceeds the size limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes:
        data: Bytes of the event, including the empty line that ends it.
        event_id: Value of the id field, or "".
    """

    data: bytes
    event_id: str

    @property
    def has_data(self) -> bool:
        """Whether it is more than comments, which only keep a connection."""
        return _has_data(self.data)


class EventSplitter:
    """Splits a byte stream into events and buffers incomplete ones."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            Oversized: An incomplete event exceeds the size limit.
        """
        self._buffer += data
        events = []
        while (end := _event_end(self._buffer)) > 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(data=event, event_id=_event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise Oversized
        return events


def is_inside_event(end: bytes) -> bool:
    """Returns whether a stream with this end lacks a part of its last event.

    Args:
        end: Last bytes of the stream. Comments after its last event are whole
            without an empty line.
    """
    while (event_end := _event_end(end)) > 0:
        end = end[event_end:]
    return _has_data(end)


def _has_data(text: bytes) -> bool:
    return any(line and not line.startswith(b":") for line in text.splitlines())


def _event_end(buffer: bytes) -> int:
    """Returns the end position of the first event, or 0 if incomplete."""
    ends = [
        found + len(mark)
        for mark in (_END_LF, _END_CRLF)
        if (found := buffer.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return ""
