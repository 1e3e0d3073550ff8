"""Gives out the permits for requests to targets that name a rate limit."""

from collections.abc import Callable

from monsoonhinge.fleet import rate_limits
from monsoonhinge.protocol import durations
from monsoonhinge.protocol import fleet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import events


class PermitServer:
    """Rate limits as gateways report them, and the permits for them.

    Every control member records the limits, so that the next holder of the
    fleet lease knows them, and tells them to gateways that connect. Only the
    holder publishes changes and gives permits.
    """

    def __init__(
        self,
        *,
        lease_held: Callable[[float], bool],
        broadcast: Callable[[fleet.RateLimits], None],
    ) -> None:
        self._lease_held = lease_held
        self._broadcast = broadcast
        self._limits = rate_limits.RateLimits()

    def record(self, message: fleet.RateLimits, now: float) -> None:
        """Records the limits that targets named to a gateway."""
        changed = [
            limit for limit in message.limits if self._limits.record(limit, now)
        ]
        if not changed or not self._lease_held(now):
            return
        for limit in changed:
            events.emit(
                events.RATE_LIMIT,
                target=limit.target,
                incarnation=limit.incarnation,
                requests_per_s=limit.requests_per_s if limit.limited else None,
            )
        self._broadcast(fleet.RateLimits(limits=changed))

    def permit(
        self, message: fleet.PermitRequest, now: float
    ) -> fleet.Permit | messages.Error:
        """Returns whether a request may be sent to a limited target."""
        if not self._lease_held(now):
            return messages.Error(
                code="not_holder",
                message="this member does not hold the fleet lease",
                step="permit",
            )
        wait_s = self._limits.take(message.target, now)
        return fleet.Permit(wait_us=durations.to_us(wait_s))

    def snapshot(self, now: float) -> fleet.RateLimits:
        """Returns the limits in force, for a new subscriber."""
        return self._limits.snapshot(now)
