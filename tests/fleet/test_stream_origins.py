"""Tests of the records of streams at a control member."""

from monsoonhinge.fleet import stream_origins
from monsoonhinge.protocol import fleet
from monsoonhinge.targets import software_versions


def _message(
    *streams: str, software_version: str = "v1"
) -> fleet.StreamOrigins:
    return fleet.StreamOrigins(
        origins=[
            fleet.StreamOrigin(
                stream=stream,
                service="s",
                software_version=software_version,
                keep_ms=30_000,
            )
            for stream in streams
        ]
    )


def _find(
    origins: stream_origins.StreamOrigins, stream: str, now: float
) -> fleet.FoundStreamOrigin:
    versions = software_versions.SoftwareVersions(known_since=0.0)
    versions.observe("s", "v2", 0.0)
    request = fleet.FindStreamOrigin(stream=stream, service="s")
    return origins.find(request, versions, now)


def test_record_is_found_until_the_stream_cannot_be_taken_up() -> None:
    """Guards against a stream that is refused although it is recorded."""
    origins = stream_origins.StreamOrigins()
    origins.record(_message("r1"), 10.0)
    origins.record(_message("r1", software_version="v3"), 11.0)
    found = _find(origins, "r1", 40.0)
    assert found.recorded
    assert (found.service, found.software_version) == ("s", "v3")
    assert not _find(origins, "r1", 41.0).recorded
    origins.expire(41.0)
    assert not origins.count()


def test_unrecorded_stream_gets_the_only_version() -> None:
    """Guards against refusals where only one version has served."""
    found = _find(stream_origins.StreamOrigins(), "r1", 7.0)
    assert not found.recorded
    assert (found.sole_version, found.sole_for_ms) == ("v2", 7000)


def test_records_take_bounded_memory() -> None:
    """Guards against a member whose memory grows with the streams."""
    origins = stream_origins.StreamOrigins(max_origins=10)
    origins.record(_message(*(f"r{number}" for number in range(100))), 0.0)
    assert origins.count() == 10
    assert _find(origins, "r99", 1.0).recorded
    assert not _find(origins, "r0", 1.0).recorded
