"""Keeps the requests to a target within the rate limit that it names.

Load pattern: a target in need names the requests per second that it accepts
from all gateways together, often fewer than there are gateways. Each request
to it needs a permit of the fleet lease holder.
"""

import asyncio
from collections.abc import Awaitable, Callable

from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import rate_limit_state
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

# Interval at which an unchanged limit is reported again, since a limit that
# nobody confirms expires.
_REPORT_INTERVAL_S = 1.0

# Delay before the lease holder is asked again after it did not reply.
_FALLBACK_RETRY_S = 0.25


class RateLimiter:
    """Obtains permits for requests to targets that name a rate limit.

    Attributes:
        gateway_count: Number of gateways over which a limit is divided while
            the fleet lease holder does not reply.
    """

    def __init__(
        self,
        *,
        request_permit: Callable[[str], Awaitable[float]],
        report: Callable[[fleet.RateLimits], None],
        dispatch_at: Callable[[float], None],
    ) -> None:
        self.gateway_count = 1
        self._request_permit = request_permit
        self._report = report
        self._dispatch_at = dispatch_at

    def record_response(
        self,
        target: target_table.Target,
        limit: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the limit that a response names, or that it names none.

        A response to a request that was sent before the limit was known does
        not end it, since the two may have overtaken each other.
        """
        known = target.rate_limit
        if limit is not None:
            due = known is None or now - known.reported_at > _REPORT_INTERVAL_S
            if known is None or known.requests_per_s != limit:
                self._set_limit(target, limit, now)
                due = True
            if due and target.rate_limit is not None:
                target.rate_limit.reported_at = now
                self._report(_message(target, limit))
        elif known is not None and sent_at >= known.known_at:
            self._end_limit(target, now)
            self._report(_message(target, None))

    def apply(
        self,
        message: fleet.RateLimits,
        targets: target_table.TargetTable,
        now: float,
    ) -> None:
        """Applies the limits that the fleet lease holder publishes."""
        for item in message.limits:
            target = targets.by_name.get(item.target)
            if (
                target is None
                or target.registration.incarnation != item.incarnation
            ):
                continue
            if not item.limited:
                self._end_limit(target, now)
            elif (
                target.rate_limit is None
                or target.rate_limit.requests_per_s != item.requests_per_s
            ):
                self._set_limit(target, item.requests_per_s, now)

    async def acquire(self, target: target_table.Target) -> bool:
        """Returns whether a request may be sent to a target now.

        If not, the target takes no requests of this gateway until the time
        that the lease holder named.
        """
        limit = target.rate_limit
        if limit is None:
            return True
        loop = asyncio.get_running_loop()
        async with limit.lock:
            if target.rate_limit is not limit:
                return target.rate_limit is None
            if loop.time() < limit.closed_until:
                return False
            wait_s = await self._wait_s(target, limit)
            if wait_s <= 0.0:
                return True
            limit.closed_until = loop.time() + wait_s
            self._dispatch_at(limit.closed_until)
            return False

    async def _wait_s(
        self, target: target_table.Target, limit: rate_limit_state.RateLimit
    ) -> float:
        loop = asyncio.get_running_loop()
        try:
            wait_s = await self._request_permit(target.name)
        except errors.MonsoonhingeError:
            metrics.PERMITS.labels("fallback").inc()
            return self._fallback_wait_s(limit, loop.time())
        limit.fallback = None
        metrics.PERMITS.labels("denied" if wait_s > 0 else "granted").inc()
        return wait_s

    def _fallback_wait_s(
        self, limit: rate_limit_state.RateLimit, now: float
    ) -> float:
        if limit.fallback is None:
            limit.fallback = rate_limit_state.FallbackBucket(updated_at=now)
        requests_per_s = limit.requests_per_s / max(1, self.gateway_count)
        if limit.fallback.take(requests_per_s, now):
            return 0.0
        return _FALLBACK_RETRY_S

    def _set_limit(
        self, target: target_table.Target, requests_per_s: float, now: float
    ) -> None:
        if target.rate_limit is None:
            target.rate_limit = rate_limit_state.RateLimit(
                requests_per_s=requests_per_s, known_at=now
            )
        target.rate_limit.requests_per_s = requests_per_s
        _log(target, requests_per_s)

    def _end_limit(self, target: target_table.Target, now: float) -> None:
        if target.rate_limit is not None:
            target.rate_limit = None
            _log(target, None)
            self._dispatch_at(now)


def _message(
    target: target_table.Target, limit: float | None
) -> fleet.RateLimits:
    return fleet.RateLimits(
        limits=[
            fleet.RateLimit(
                target=target.name,
                incarnation=target.registration.incarnation,
                limited=limit is not None,
                requests_per_s=limit or 0.0,
            )
        ]
    )


def _log(target: target_table.Target, requests_per_s: float | None) -> None:
    events.emit(
        events.RATE_LIMIT,
        target=target.name,
        incarnation=target.registration.incarnation,
        requests_per_s=requests_per_s,
    )
