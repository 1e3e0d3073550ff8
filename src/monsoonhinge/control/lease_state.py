"""Decisions of a lease holder, without any input or output."""

import dataclasses
import enum

from monsoonhinge.protocol import commands

# The holder stops using the lease this share of the TTL before it ends. The
# clocks of holder and leader may differ by 5% over one TTL.
TTL_MARGIN_FRACTION = 0.1

# A lease is renewed when this share of the TTL has passed.
RENEWAL_FRACTION = 1 / 3

# Delay before the next attempt while another process holds the lease or the
# control members do not answer.
RETRY_INTERVAL_S = 0.25


class Step(enum.Enum):
    """What the holder sends next."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclasses.dataclass(slots=True)
class LeaseState:
    """A lease as its holder or candidate sees it.

    All times are the holder's own monotonic time in seconds.

    Attributes:
        fencing: Fencing number of the grant; 0 without a grant.
        usable_until: The lease must not be used from this time on.
        next_step_at: When to send the next step.
        draining: Whether the lease is being handed over.
    """

    fencing: int = 0
    usable_until: float = float("-inf")
    next_step_at: float = float("-inf")
    draining: bool = False

    def is_usable(self, now: float, *, for_s: float = 0.0) -> bool:
        """Returns whether the lease may be used for some seconds from now."""
        return (
            self.fencing != 0
            and not self.draining
            and now + for_s < self.usable_until
        )

    def next_step(self, now: float) -> Step | None:
        """Returns what to send now, or None."""
        if self.draining:
            return Step.RELEASE if self.fencing else None
        if now < self.next_step_at:
            return None
        return Step.RENEW if self.fencing else Step.ACQUIRE

    def handle_grant(self, result: commands.LeaseResult, now: float) -> None:
        """Takes the result of an acquisition.

        The lease is usable only after a renewal, which tells the TTL.
        """
        if result.granted:
            self.fencing = result.fencing
            self.next_step_at = now
        else:
            self.next_step_at = now + RETRY_INTERVAL_S

    def handle_renewal(self, *, sent_at: float, ttl_s: float) -> None:
        """Takes a confirmed renewal.

        Args:
            sent_at: Time before the renewal was sent for the first time.
            ttl_s: Time to live in seconds.
        """
        self.usable_until = max(
            self.usable_until, sent_at + ttl_s * (1 - TTL_MARGIN_FRACTION)
        )
        self.next_step_at = sent_at + ttl_s * RENEWAL_FRACTION

    def handle_loss(self, now: float) -> None:
        """Takes the leader's answer that the grant has ended."""
        self.fencing = 0
        self.usable_until = float("-inf")
        self.next_step_at = now + RETRY_INTERVAL_S

    def handle_failure(self, now: float) -> None:
        """Takes a step that was not answered."""
        self.next_step_at = now + RETRY_INTERVAL_S

    def drain(self) -> None:
        """Stops using the lease so that it can be released."""
        self.draining = True

    def handle_release(self) -> None:
        """Takes a confirmed release, or gives up on it."""
        self.fencing = 0
        self.usable_until = float("-inf")
