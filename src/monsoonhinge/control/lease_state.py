"""State of a lease at its holder; performs no I/O."""

import dataclasses
import enum

from monsoonhinge.protocol import commands

# The holder stops using the lease this fraction of the TTL before the lease
# expires. The clocks of the holder and the leader may drift apart by 5% of a
# TTL.
TTL_MARGIN_FRACTION = 0.1

# A lease is renewed after this fraction of the TTL.
RENEWAL_FRACTION = 1 / 3

# Delay before the next attempt while another process holds the lease or the
# control members do not respond.
RETRY_INTERVAL_S = 0.25


class Step(enum.Enum):
    """Next request of the lease holder."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclasses.dataclass(slots=True)
class LeaseState:
    """A lease as seen by its holder or by a candidate.

    All times are in seconds on the holder's own monotonic clock.

    Attributes:
        fencing: Fencing token of the grant; 0 without a grant.
        usable_until: Time at which the lease becomes unusable.
        next_step_at: When to send the next request.
        draining: Whether the holder is about to release the lease.
    """

    fencing: int = 0
    usable_until: float = float("-inf")
    next_step_at: float = float("-inf")
    draining: bool = False

    def is_usable(self, now: float, *, for_s: float = 0.0) -> bool:
        """Returns whether the lease may be used from now for ``for_s``."""
        return (
            self.fencing != 0
            and not self.draining
            and now + for_s < self.usable_until
        )

    def next_step(self, now: float) -> Step | None:
        """Returns the request to send now, or None."""
        if self.draining:
            return Step.RELEASE if self.fencing else None
        if now < self.next_step_at:
            return None
        return Step.RENEW if self.fencing else Step.ACQUIRE

    def handle_acquire_result(
        self, result: commands.LeaseResult, now: float
    ) -> None:
        """Handles the reply to an acquisition, which may be a refusal.

        The lease is usable only after its first renewal, because only the
        reply to a renewal contains the TTL.
        """
        if result.granted:
            self.fencing = result.fencing
            self.next_step_at = now
        else:
            self.next_step_at = now + RETRY_INTERVAL_S

    def handle_renewal(self, *, sent_at: float, ttl_s: float) -> None:
        """Handles a confirmed renewal.

        Args:
            sent_at: Time before the first attempt to send the renewal.
            ttl_s: Time to live granted by the leader.
        """
        self.usable_until = max(
            self.usable_until, sent_at + ttl_s * (1 - TTL_MARGIN_FRACTION)
        )
        self.next_step_at = sent_at + ttl_s * RENEWAL_FRACTION

    def handle_loss(self, now: float) -> None:
        """Clears a grant that has ended and schedules the next attempt."""
        self.fencing = 0
        self.usable_until = float("-inf")
        self.next_step_at = now + RETRY_INTERVAL_S

    def handle_failure(self, now: float) -> None:
        """Schedules a retry after a request without a reply."""
        self.next_step_at = now + RETRY_INTERVAL_S

    def drain(self) -> None:
        """Stops using the lease, so that the next step releases it."""
        self.draining = True

    def handle_release(self) -> None:
        """Clears the grant before or after its release."""
        self.fencing = 0
        self.usable_until = float("-inf")
