"""Orders to targets whose outcome is not known yet."""

from collections.abc import Iterator
import dataclasses
import math

from monsoonhinge.protocol import messages
from monsoonhinge.targets import order_client

_MIN_RESEND_DELAY_S = 0.5
_MAX_RESEND_DELAY_S = 8.0
_UNREPORTED_RESEND_DELAY_S = 10.0


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """An order whose outcome the target has not reported yet.

    Attributes:
        order: The order.
        target: Target it goes to.
        incarnation: Incarnation of the target that it is for.
        in_flight: Whether a transmission is in progress.
        attempts: Transmissions so far.
        next_send_at: Earliest time of the next transmission, in seconds.
        sent_at: Start of the last transmission, in seconds.
    """

    order: order_client.Order
    target: str
    incarnation: int
    in_flight: bool = False
    attempts: int = 0
    next_send_at: float = 0.0
    sent_at: float = -math.inf


class PendingOrders:
    """Tracks pending orders and decides when each may be sent.

    Attributes:
        pending: Orders by id.
        fencing: Fencing token of this scheduler's lease.
        taken_over_at: When this scheduler acquired the lease, in seconds.
        order_timeout_s: Time after which sending an order is aborted.
    """

    def __init__(
        self, *, fencing: int, taken_over_at: float, order_timeout_s: float
    ) -> None:
        self.pending: dict[str, PendingOrder] = {}
        self.fencing = fencing
        self.taken_over_at = taken_over_at
        self.order_timeout_s = order_timeout_s

    def add(
        self, order: order_client.Order, target: str, incarnation: int
    ) -> None:
        """Adds an order whose decision is committed."""
        if order.order_id not in self.pending:
            self.pending[order.order_id] = PendingOrder(
                order, target, incarnation
            )

    def discard(self, order_id: str) -> None:
        """Removes an order whose outcome is known."""
        self.pending.pop(order_id, None)

    def due(
        self,
        *,
        now: float,
        lease_until: float,
        live_targets: dict[str, tuple[messages.TargetState, float]],
    ) -> Iterator[PendingOrder]:
        """Yields orders that may be sent now.

        Args:
            now: Current time in seconds.
            lease_until: Time from which on the lease must not be used.
            live_targets: State and time of the last announcement by target.
        """
        if lease_until - now <= self.order_timeout_s:
            return
        for pending in self.pending.values():
            if pending.in_flight or now < pending.next_send_at:
                continue
            live_target = live_targets.get(pending.target)
            if live_target is None:
                continue
            state, announced_at = live_target
            if state.incarnation != pending.incarnation:
                continue
            if self.is_safe_to_send(state, announced_at):
                yield pending

    def is_safe_to_send(
        self, state: messages.TargetState, announced_at: float
    ) -> bool:
        """Returns whether no earlier scheduler's order can still take effect.

        A target that ignores fencing could execute an old order after a new
        one, so its state must have been announced after all orders of earlier
        schedulers timed out.
        """
        return state.checks_fencing or (
            announced_at >= self.taken_over_at + self.order_timeout_s
        )

    def may_still_arrive(self, order_id: str, announced_at: float) -> bool:
        """Returns whether an order may arrive after an announcement.

        Args:
            order_id: Id of the order.
            announced_at: When the target's state was announced, in seconds.
        """
        sent_at = self.taken_over_at
        pending = self.pending.get(order_id)
        if pending is not None:
            sent_at = max(sent_at, pending.sent_at)
        return announced_at < sent_at + self.order_timeout_s

    def mark_sent(self, order_id: str, now: float) -> None:
        """Records that a transmission has started."""
        pending = self.pending[order_id]
        pending.sent_at = now
        pending.in_flight = True
        pending.attempts += 1

    def mark_accepted(self, order_id: str, now: float) -> None:
        """Records that the target accepted the order.

        The order is sent again if the target does not report an outcome.
        """
        pending = self.pending.get(order_id)
        if pending is not None:
            pending.in_flight = False
            pending.next_send_at = now + _UNREPORTED_RESEND_DELAY_S

    def mark_unanswered(self, order_id: str, now: float) -> None:
        """Schedules a retry with exponential backoff.

        The outcome of the last transmission is unknown. Sending the same id
        again is safe because orders are idempotent.
        """
        pending = self.pending.get(order_id)
        if pending is not None:
            pending.in_flight = False
            delay = _MIN_RESEND_DELAY_S * 2.0 ** (pending.attempts - 1)
            pending.next_send_at = now + min(_MAX_RESEND_DELAY_S, delay)
