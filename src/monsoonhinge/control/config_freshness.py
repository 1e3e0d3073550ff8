"""How current the configuration in effect at a subscriber is."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """What a subscriber knows of the age of its configuration.

    Attributes:
        version: Version in effect; 0 before the first.
        newest_version: Newest version that a leader has confirmed to this
            subscriber; 0 before the first confirmation.
        staleness_s: Seconds since ``version`` was known to be the newest;
            infinite before the first confirmation.
    """

    version: int
    newest_version: int
    staleness_s: float

    @property
    def is_behind(self) -> bool:
        """Whether a version newer than the one in effect is known."""
        return self.newest_version > self.version

    @property
    def loggable_staleness_s(self) -> float | None:
        """Staleness for the event log; None before the first confirmation."""
        if math.isinf(self.staleness_s):
            return None
        return round(self.staleness_s, 3)
