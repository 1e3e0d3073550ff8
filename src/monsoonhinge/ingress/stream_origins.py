"""Records at a gateway of which targets began which streams.

What two software versions write does not fit together, so that a stream goes
on only at the version that began it. The control members get the record of a
stream before its caller gets the first event, unless only one version can have
begun it.
"""

from collections.abc import Callable
import dataclasses

from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet

# A stream may be resumed until its caller's deadline, which may be later than
# the timeout of the attempt that began it.
_LIFETIMES = 2.0

# Bounds the memory of the records at this gateway.
_MAX_RECORDS = 20_000

# Records in one message.
_MAX_BATCH = 500


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service whose target wrote its first event.
        software_version: Version of the software of that target.
    """

    service: str
    software_version: str


# Origin of a stream that goes on nowhere: no route leads to this service.
UNCERTAIN = StreamOrigin(service="", software_version="")


@dataclasses.dataclass(slots=True)
class _Record:
    """Origin of one stream.

    Attributes:
        origin: The origin.
        expires_at: When the stream can no longer be resumed.
        sent: Whether the control members have got the record.
    """

    origin: StreamOrigin
    expires_at: float
    sent: bool


class StreamOrigins:
    """Origins of the streams of this gateway by request id.

    All times are in seconds of the event loop.
    """

    def __init__(
        self,
        *,
        targets: target_table.TargetTable,
        send: Callable[[fleet.StreamOrigins], None],
    ) -> None:
        """Creates it without any record.

        Args:
            targets: Known targets.
            send: Sends records to all control members.
        """
        self._targets = targets
        self._send = send
        self._records: dict[str, _Record] = {}

    def record(
        self, stream: str, origin: StreamOrigin, *, timeout_s: float, now: float
    ) -> None:
        """Records the origin of a stream before its first event is relayed.

        Args:
            stream: Id of the request.
            origin: Service and software version of its target.
            timeout_s: Timeout of its route.
            now: Current time.
        """
        self._expire(now)
        lifetime_s = lifetime(timeout_s)
        record = _Record(origin, now + lifetime_s, sent=False)
        self._records.pop(stream, None)
        self._records[stream] = record
        sole = self._targets.sole_version(origin.service, now)
        if sole is None or sole.for_s < lifetime_s:
            self._send_records({stream: record}, now)

    def find(self, stream: str, now: float) -> StreamOrigin | None:
        """Returns the origin of a stream that this gateway relayed."""
        record = self._records.get(stream)
        if record is None or now >= record.expires_at:
            return None
        return record.origin

    def send_unsent(self, service: str, now: float) -> None:
        """Sends the records of a service that runs another version now."""
        unsent = {
            stream: record
            for stream, record in self._records.items()
            if record.origin.service == service and not record.sent
        }
        self._send_records(unsent, now)

    def sent(self, now: float) -> list[fleet.StreamOrigins]:
        """Returns the sent records, which a restarted member may lack."""
        self._expire(now)
        return _messages(
            {key: item for key, item in self._records.items() if item.sent},
            now,
        )

    def _send_records(self, records: dict[str, _Record], now: float) -> None:
        for record in records.values():
            record.sent = True
        for message in _messages(records, now):
            self._send(message)

    def _expire(self, now: float) -> None:
        """Drops the oldest records once they are expired or too many."""
        for stream, record in list(self._records.items()):
            if now < record.expires_at and len(self._records) <= _MAX_RECORDS:
                return
            del self._records[stream]


def lifetime(timeout_s: float) -> float:
    """Returns the longest time for which a stream may be resumed.

    Args:
        timeout_s: Timeout of its route, in seconds.
    """
    return _LIFETIMES * timeout_s


def _messages(
    records: dict[str, _Record], now: float
) -> list[fleet.StreamOrigins]:
    """Returns the records in messages of a bounded size."""
    origins = [
        fleet.StreamOrigin(
            stream=stream,
            service=record.origin.service,
            software_version=record.origin.software_version,
            keep_ms=max(0, int((record.expires_at - now) * 1000)),
        )
        for stream, record in records.items()
    ]
    return [
        fleet.StreamOrigins(origins=origins[start : start + _MAX_BATCH])
        for start in range(0, len(origins), _MAX_BATCH)
    ]
