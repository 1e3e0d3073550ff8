"""State of the rate limit of one target at a gateway; performs no I/O."""

import asyncio
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class FallbackBucket:
    """Token bucket of one gateway for its part of a rate limit.

    It starts empty, so that gateways do not all send at once when the lease
    holder is lost.
    """

    updated_at: float
    level: float = 0.0

    def take(self, requests_per_s: float, now: float) -> bool:
        """Takes a permit; returns whether there was one."""
        elapsed_s = now - self.updated_at
        self.level = min(1.0, self.level + elapsed_s * requests_per_s)
        self.updated_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class RateLimit:
    """Rate limit that a target named.

    Attributes:
        requests_per_s: Requests per second from all gateways together.
        known_at: When this gateway learned that there is a limit.
        reported_at: When this gateway last reported it.
        closed_until: When this gateway may next ask for a permit.
        fallback: Permits of this gateway while no lease holder replies, or
            None while one does.
        lock: Held while this gateway asks for a permit.
    """

    requests_per_s: float
    known_at: float
    reported_at: float = -math.inf
    closed_until: float = 0.0
    fallback: FallbackBucket | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
