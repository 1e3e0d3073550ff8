"""Orders to targets that are not known to be complete."""

from collections.abc import Iterator
import dataclasses
import math

from monsoonhinge.protocol import messages
from monsoonhinge.targets import dialect

_RESEND_MIN_S = 0.5
_RESEND_MAX_S = 8.0
_REPEAT_S = 10.0


@dataclasses.dataclass(slots=True)
class Pending:
    """An order until the target reports its outcome.

    Attributes:
        order: The order.
        target: Target it goes to.
        incarnation: Incarnation of the target it is meant for.
        in_flight: Whether a transmission is in progress.
        attempts: Transmissions so far.
        next_at: Earliest time of the next transmission.
        sent_at: Start of the last transmission, in seconds.
    """

    order: dialect.Order
    target: str
    incarnation: int
    in_flight: bool = False
    attempts: int = 0
    next_at: float = 0.0
    sent_at: float = -math.inf


class Orders:
    """Decides which order may be sent when.

    Attributes:
        pending: Orders by id.
        fencing: Fencing number of this scheduler's lease.
        taken_over_at: When this scheduler got the lease.
        order_timeout_s: Longest transmission of an order.
    """

    def __init__(
        self, *, fencing: int, taken_over_at: float, order_timeout_s: float
    ) -> None:
        self.pending: dict[str, Pending] = {}
        self.fencing = fencing
        self.taken_over_at = taken_over_at
        self.order_timeout_s = order_timeout_s

    def add(self, order: dialect.Order, target: str, incarnation: int) -> None:
        """Adds an order whose decision is committed."""
        if order.order_id not in self.pending:
            self.pending[order.order_id] = Pending(order, target, incarnation)

    def discard(self, order_id: str) -> None:
        """Forgets an order whose outcome is known."""
        self.pending.pop(order_id, None)

    def due(
        self,
        *,
        now: float,
        lease_until: float,
        heard: dict[str, tuple[messages.TargetState, float]],
    ) -> Iterator[Pending]:
        """Yields orders that may be sent now.

        Args:
            now: Current time in seconds.
            lease_until: When this scheduler stops using its lease.
            heard: Live targets with the time of their last announcement.
        """
        if lease_until - now <= self.order_timeout_s:
            return
        for pending in self.pending.values():
            if pending.in_flight or now < pending.next_at:
                continue
            known = heard.get(pending.target)
            if known is None or known[0].incarnation != pending.incarnation:
                continue
            if self.may_order(known[0], known[1]):
                yield pending

    def may_order(self, state: messages.TargetState, heard_at: float) -> bool:
        """Returns whether no order of an earlier scheduler can still arrive.

        A target that ignores fencing could run an old order after a new one,
        so its state must have been announced after all old orders ended.
        """
        return state.checks_fencing or (
            heard_at >= self.taken_over_at + self.order_timeout_s
        )

    def may_arrive(self, order_id: str, heard_at: float) -> bool:
        """Returns whether the order may arrive after a time.

        Args:
            order_id: The order.
            heard_at: When the target's state was announced.
        """
        sent_at = self.taken_over_at
        pending = self.pending.get(order_id)
        if pending is not None:
            sent_at = max(sent_at, pending.sent_at)
        return heard_at < sent_at + self.order_timeout_s

    def sent(self, order_id: str, now: float) -> None:
        """Records that a transmission has begun."""
        pending = self.pending[order_id]
        pending.sent_at = now
        pending.in_flight = True
        pending.attempts += 1

    def accepted(self, order_id: str, now: float) -> None:
        """Records that the target accepted the order.

        It is repeated if the target never reports an outcome.
        """
        pending = self.pending.get(order_id)
        if pending is not None:
            pending.in_flight = False
            pending.next_at = now + _REPEAT_S

    def unknown(self, order_id: str, now: float) -> None:
        """Records a transmission without an answer; it is sent again.

        Sending the same id again is safe because orders are idempotent.
        """
        pending = self.pending.get(order_id)
        if pending is not None:
            pending.in_flight = False
            delay = _RESEND_MIN_S * 2.0 ** (pending.attempts - 1)
            pending.next_at = now + min(_RESEND_MAX_S, delay)
