"""Plays a rate limit against the permits of a fleet with 200 gateways.

All gateways would always send a request to the limited target. They join,
restart and lose the lease holder while the limit holds.
"""

import dataclasses

from monsoonhinge.fleet import rate_limits
from monsoonhinge.ingress import rate_limit_state
from monsoonhinge.protocol import fleet

_GATEWAYS = 195
_JOINING = 30
_STEP_S = 0.02
_TARGET = "t1"

# The rule: in a window, a target gets at most one and a half times what its
# limit allows, and some requests more.
_WINDOW_S = 4.0

# Gateways learn after this time how many they are.
_COUNT_DELAY_S = 1.0


@dataclasses.dataclass
class _Gateway:
    """A gateway that asks the holder, or uses its share without one.

    Attributes:
        closed_until: Time before which it does not ask again.
        fallback: Its share of the limit while nobody holds the lease.
    """

    closed_until: float = 0.0
    fallback: rate_limit_state.FallbackBucket | None = None

    def take(
        self,
        holder: rate_limits.RateLimits | None,
        requests_per_s: float,
        gateway_count: int,
        now: float,
    ) -> bool:
        """Returns whether it may send a request now."""
        if now < self.closed_until:
            return False
        if holder is not None:
            self.fallback = None
            wait_s = holder.take(_TARGET, now)
            self.closed_until = now + wait_s
            return wait_s <= 0.0
        if self.fallback is None:
            self.fallback = rate_limit_state.FallbackBucket(updated_at=now)
        return self.fallback.take(requests_per_s / gateway_count, now)


def _member(requests_per_s: float) -> rate_limits.RateLimits:
    """Returns a member that knows the limit from the start."""
    limits = rate_limits.RateLimits()
    limits.record(
        fleet.RateLimit(
            target=_TARGET,
            incarnation=1,
            limited=True,
            requests_per_s=requests_per_s,
        ),
        0.0,
    )
    return limits


def _most_in_window(times: list[float]) -> int:
    return max(
        sum(start <= at < start + _WINDOW_S for at in times) for start in times
    )


def _play(requests_per_s: float) -> list[float]:
    """Returns the times of the requests of 24 s.

    The lease has no holder from 6 to 10 s; another member holds it from then
    on. Gateways join at 7 s and at 12 s, and half of them restart at 14 s.
    """
    first, second = _member(requests_per_s), _member(requests_per_s)
    gateways = [_Gateway() for _ in range(_GATEWAYS)]
    counts = [(0.0, _GATEWAYS)]
    sent = []
    joins = [7.0, 12.0]
    restarts = [14.0]
    for step in range(round(24.0 / _STEP_S)):
        now = step * _STEP_S
        if joins and now >= joins[0]:
            joins.pop(0)
            gateways.extend(_Gateway() for _ in range(_JOINING))
            counts.append((now + _COUNT_DELAY_S, len(gateways)))
        if restarts and now >= restarts[0]:
            restarts.pop(0)
            half = len(gateways) // 2
            gateways[:half] = [_Gateway() for _ in range(half)]
        holder = first if now < 6.0 else second if now >= 10.0 else None
        known = [count for at, count in counts if at <= now][-1]
        sent.extend(
            now
            for gateway in gateways
            if gateway.take(holder, requests_per_s, known, now)
        )
    return sent


def test_permits_hold_while_gateways_join_restart_and_lose_the_holder() -> None:
    """Guards against a limit that each of 195 gateways keeps to alone."""
    for requests_per_s in (0.5, 2.0, 20.0):
        sent = _play(requests_per_s)
        assert _most_in_window(sent) <= 1.5 * requests_per_s * _WINDOW_S + 5


def test_permits_use_the_limit() -> None:
    """Guards against a target that gets far less than it accepts."""
    sent = [at for at in _play(20.0) if at < 6.0]
    assert len(sent) >= 0.9 * 20.0 * 6.0
