"""Records at a control member of which targets began which streams.

Gateways send them before a caller gets the first event of a stream, so that the
stream is resumed at the same software version after its gateway is gone.
"""

import dataclasses

from monsoonhinge.protocol import durations
from monsoonhinge.protocol import fleet
from monsoonhinge.targets import software_versions

# Bounds the memory of the records to about 60 MB. Streams whose record was
# dropped are not resumed.
MAX_ORIGINS = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """Record of one stream, and when it is dropped."""

    origin: fleet.StreamOrigin
    expires_at: float


class StreamOrigins:
    """Records of streams by the id of the request that began them."""

    def __init__(self, *, max_origins: int = MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        self._entries: dict[str, _Entry] = {}

    def record(self, message: fleet.StreamOrigins, now: float) -> None:
        """Stores the records that a gateway sent; the latest one counts."""
        for origin in message.origins:
            self._entries.pop(origin.stream, None)
            self._entries[origin.stream] = _Entry(
                origin, now + origin.keep_ms / 1000
            )
        while len(self._entries) > self._max_origins:
            del self._entries[next(iter(self._entries))]

    def find(
        self,
        request: fleet.FindStreamOrigin,
        versions: software_versions.SoftwareVersions,
        now: float,
    ) -> fleet.FoundStreamOrigin:
        """Returns what this member knows of the origin of a stream.

        Args:
            request: The question of a gateway.
            versions: Software versions that this member has observed.
            now: Current time of the event loop.
        """
        found = fleet.FoundStreamOrigin()
        sole = versions.sole_version(request.service, now)
        if sole is not None:
            found.sole_version = sole.software_version
            found.sole_for_ms = durations.to_ms(sole.for_s)
        entry = self._entries.get(request.stream)
        if entry is not None and now < entry.expires_at:
            found.recorded = True
            found.service = entry.origin.service
            found.software_version = entry.origin.software_version
        return found

    def expire(self, now: float) -> None:
        """Drops records of streams that can no longer be resumed."""
        for stream, entry in list(self._entries.items()):
            if now >= entry.expires_at:
                del self._entries[stream]

    def count(self) -> int:
        """Returns the number of records."""
        return len(self._entries)
