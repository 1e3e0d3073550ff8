"""Rate limits that targets name, shared by all gateways; performs no I/O.

Load pattern: a target in need names the requests per second that it accepts
from all gateways together, often fewer than there are gateways. The holder of
the fleet lease gives out a permit for each request to such a target.
"""

import dataclasses

from monsoonhinge.protocol import fleet

# Requests beyond the rate that may be sent at once.
_BURST_REQUESTS = 1.0

# A limit that no response has confirmed for this long no longer holds.
EXPIRY_S = 60.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    incarnation: int
    requests_per_s: float
    confirmed_at: float
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Adds the permits of the time since the last update."""
        burst = _BURST_REQUESTS + self.requests_per_s / 2
        elapsed_s = max(0.0, now - self.updated_at)
        self.level = min(burst, self.level + elapsed_s * self.requests_per_s)
        self.updated_at = now


class RateLimits:
    """Token buckets of the targets that name a rate limit.

    A bucket starts empty, since an earlier lease holder or gateways that did
    not know the limit may just have used up the rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def record(self, limit: fleet.RateLimit, now: float) -> bool:
        """Applies what a target named; returns whether its limit changed."""
        self._expire(now)
        bucket = self._buckets.get(limit.target)
        if bucket is not None and limit.incarnation < bucket.incarnation:
            return False
        if not limit.limited:
            return self._buckets.pop(limit.target, None) is not None
        requests_per_s = limit.requests_per_s
        if bucket is None or bucket.incarnation != limit.incarnation:
            self._buckets[limit.target] = _Bucket(
                incarnation=limit.incarnation,
                requests_per_s=requests_per_s,
                confirmed_at=now,
                level=0.0,
                updated_at=now,
            )
            return True
        bucket.refill(now)
        bucket.confirmed_at = now
        changed = bucket.requests_per_s != requests_per_s
        bucket.requests_per_s = requests_per_s
        return changed

    def take(self, target: str, now: float) -> float:
        """Takes a permit for a request to a target.

        Returns:
            0 if the request may be sent, else the seconds until it may be.
        """
        self._expire(now)
        bucket = self._buckets.get(target)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return 0.0
        if bucket.requests_per_s <= 0.0:
            return EXPIRY_S
        return (1.0 - bucket.level) / bucket.requests_per_s

    def snapshot(self, now: float) -> fleet.RateLimits:
        """Returns all limits in force."""
        self._expire(now)
        return fleet.RateLimits(
            limits=[
                fleet.RateLimit(
                    target=target,
                    incarnation=bucket.incarnation,
                    limited=True,
                    requests_per_s=bucket.requests_per_s,
                )
                for target, bucket in self._buckets.items()
            ]
        )

    def _expire(self, now: float) -> None:
        for target, bucket in list(self._buckets.items()):
            if now - bucket.confirmed_at > EXPIRY_S:
                del self._buckets[target]
