"""Whole events out of the bytes of an event stream."""

import dataclasses

_END_LF = b"\n\n"
_END_CRLF = b"\r\n\r\n"

# A stream whose event exceeds this is broken.
MAX_EVENT_BYTES = 1024 * 1024


class Oversized(Exception):
    """An event is larger than any that a target sends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        data: Its bytes, up to and including the empty line.
        event_id: Its id, or "".
    """

    data: bytes
    event_id: str


class EventSplitter:
    """Cuts a byte stream into events; an event in part is held back."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that are now whole.

        Raises:
            Oversized: An event does not end.
        """
        self._buffer += data
        events = []
        while (end := _event_end(self._buffer)) > 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(data=event, event_id=_event_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise Oversized
        return events


def _event_end(buffer: bytes) -> int:
    """Returns where the first event ends, or 0."""
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
