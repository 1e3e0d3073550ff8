"""Tests of the knowledge which software versions have served."""

from monsoonhinge.targets import software_versions


def test_version_is_the_only_one_since_the_last_use_of_others() -> None:
    """Guards against a version that counts as the only one beside another."""
    versions = software_versions.SoftwareVersions(known_since=0.0)
    assert versions.sole_version("s", 1.0) is None
    versions.observe("s", "v1", 2.0)
    versions.observe("u", "v9", 5.0)
    assert versions.sole_version("s", 5.0) == software_versions.SoleVersion(
        "v1", 5.0
    )
    versions.observe("s", "v2", 6.0)
    versions.observe("s", "v1", 6.0)
    sole = versions.sole_version("s", 6.0)
    assert sole is not None
    assert sole.for_s == 0.0
    versions.observe("s", "v2", 50.0)
    assert versions.sole_version("s", 50.0) == software_versions.SoleVersion(
        "v2", 44.0
    )
    assert versions.others_since("s", "v2", 5.0)
    assert not versions.others_since("s", "v2", 6.0)


def test_versions_of_any_name_take_bounded_memory() -> None:
    """Guards against announcements that name ever new versions."""
    versions = software_versions.SoftwareVersions(known_since=0.0)
    for number in range(1_000):
        versions.observe("s", f"v{number}", float(number))
    # What was forgotten may have served until then.
    versions.observe("s", "v999", 5_000.0)
    sole = versions.sole_version("s", 5_000.0)
    assert sole is not None
    assert sole.for_s <= software_versions.RETENTION_S


def test_forgotten_version_does_not_shorten_what_is_known() -> None:
    """Guards against a claim that reaches back beyond what is remembered."""
    versions = software_versions.SoftwareVersions(known_since=0.0)
    versions.observe("s", "v1", 0.0)
    later = 3 * software_versions.RETENTION_S
    versions.observe("s", "v2", later)
    assert versions.sole_version("s", later) == software_versions.SoleVersion(
        "v2", software_versions.RETENTION_S
    )
