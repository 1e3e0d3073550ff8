"""Encodes the configuration, and changes of it, as messages of bounded size."""

from collections.abc import Iterable, Iterator, Sequence

from monsoonhinge.config import delta
from monsoonhinge.config import pack
from monsoonhinge.protocol import messages

# Size of the objects in one message. It is small enough that probes between
# two messages are answered within a second over a link of 5 Mbit/s.
PART_BYTES = 128 * 1024

UpdatePart = messages.ConfigSnapshot | messages.ConfigDelta


class SharedParts:
    """Parts of an update, each encoded when the first subscriber needs it.

    Attributes:
        kind: ``snapshot`` or ``delta``, for the event log.
        version: Version that is in effect after the update.
    """

    def __init__(
        self, *, kind: str, version: int, parts: Iterator[UpdatePart]
    ) -> None:
        self.kind = kind
        self.version = version
        self._encoded: list[UpdatePart] = []
        self._remaining = parts

    def part(self, number: int) -> UpdatePart | None:
        """Returns a part, or None after the last one."""
        while len(self._encoded) <= number:
            part = next(self._remaining, None)
            if part is None:
                return None
            self._encoded.append(part)
        return self._encoded[number]


def snapshot_parts(
    objects: Iterable[bytes], *, version: int, index: int, packed: bool
) -> Iterator[messages.ConfigSnapshot]:
    """Yields the parts of a snapshot.

    Args:
        objects: All objects of the configuration.
        version: Its version.
        index: Log index of the change that it results from.
        packed: Whether the objects are compressed.
    """
    groups = _split(objects)
    for number, group in enumerate(groups):
        yield messages.ConfigSnapshot(
            version=version,
            index=index,
            part=number,
            parts=len(groups),
            objects=[] if packed else group,
            packed=pack.pack(group) if packed else b"",
        )


def delta_message(
    change: delta.Delta, *, base: int, version: int, index: int
) -> messages.ConfigDelta:
    """Returns a small change as one message."""
    return messages.ConfigDelta(
        base=base,
        version=version,
        index=index,
        upserts=list(change.upserts.values()),
        deletes=change.deletes,
    )


def delta_parts(
    change: delta.Delta, *, base: int, version: int, index: int
) -> Iterator[messages.ConfigDelta]:
    """Yields the parts of a change, whose objects are compressed."""
    upserts = _split(change.upserts.values())
    deletes = []
    if change.deletes:
        deletes = _split(object_id.encode() for object_id in change.deletes)
    count = len(upserts) + len(deletes)
    for number, group in enumerate([*upserts, *deletes]):
        is_upsert = number < len(upserts)
        yield messages.ConfigDelta(
            base=base,
            version=version,
            index=index,
            part=number,
            parts=count,
            packed=pack.pack(group) if is_upsert else b"",
            deletes=[] if is_upsert else [item.decode() for item in group],
        )


def part_size_bytes(part: UpdatePart) -> int:
    """Returns the size of the objects of a part as they are sent."""
    objects: Sequence[bytes] = (
        part.objects
        if isinstance(part, messages.ConfigSnapshot)
        else part.upserts
    )
    return len(part.packed) + sum(map(len, objects))


def _split(items: Iterable[bytes]) -> list[list[bytes]]:
    """Splits items into groups of about ``PART_BYTES``; at least one."""
    groups: list[list[bytes]] = [[]]
    size_bytes = 0
    for data in items:
        if groups[-1] and size_bytes + len(data) > PART_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(data)
        size_bytes += len(data)
    return groups
