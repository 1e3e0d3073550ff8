"""Which versions of its software the targets of a service have run.

What two versions write does not fit together. A stream whose version is not
known goes on only if no other version can have begun it.
"""

import dataclasses

# A version that no target has run for this long is forgotten, and the
# knowledge of a process counts as no older than this.
RETENTION_S = 600.0

# Bounds the memory that announcements of any version can take.
_MAX_VERSIONS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class SoleVersion:
    """The only version of a service that targets have run lately.

    Attributes:
        software_version: The version.
        for_s: For how long it has been the only one, as far as is known.
    """

    software_version: str
    for_s: float


class SoftwareVersions:
    """Software versions by service, with the time they were last in use.

    All times are in seconds of the same clock.
    """

    def __init__(self, *, known_since: float) -> None:
        """Creates it without any version.

        Args:
            known_since: Time from which on all versions are observed.
        """
        self._known_since = known_since
        self._used_at: dict[str, dict[str, float]] = {}

    def observe(self, service: str, software_version: str, now: float) -> None:
        """Records that a target of a service runs a version now."""
        used_at = self._used_at.setdefault(service, {})
        used_at.pop(software_version, None)
        used_at[software_version] = now
        oldest = next(iter(used_at))
        if len(used_at) > _MAX_VERSIONS:
            self._known_since = now
            del used_at[oldest]
        elif now - used_at[oldest] > RETENTION_S:
            del used_at[oldest]

    def others_since(
        self, service: str, software_version: str, since: float
    ) -> bool:
        """Returns whether another version was in use after a time."""
        return any(
            used_at > since
            for name, used_at in self._used_at.get(service, {}).items()
            if name != software_version
        )

    def sole_version(self, service: str, now: float) -> SoleVersion | None:
        """Returns the version used last, and for how long it is the only one.

        Returns:
            None if no version of the service is known.
        """
        used_at = self._used_at.get(service)
        if not used_at:
            return None
        *others, latest = used_at
        since = max([self._known_since, *(used_at[name] for name in others)])
        return SoleVersion(
            software_version=latest, for_s=min(now - since, RETENTION_S)
        )
