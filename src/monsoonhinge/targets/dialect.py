"""What the system needs from a target, whatever protocol it speaks."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a target; idempotent by its id.

    Attributes:
        fencing: Fencing number of the scheduler that sends it.
        order_id: Unique id; a load order's id names the replica it creates.
        action: ``load``, ``unload``, ``load_adapter`` or ``unload_adapter``.
        model: Model to act on.
        model_version: Version to act on.
        adapter: Adapter to act on, or "".
        replica: Id of the load order of the replica to act on.
    """

    fencing: int
    order_id: str
    action: str
    model: str
    model_version: str
    adapter: str = ""
    replica: str = ""


class Dialect(typing.Protocol):
    """Sends orders to targets."""

    async def send_order(
        self, address: str, order: Order, *, timeout: float
    ) -> None:
        """Delivers an order; its outcome comes with a later announcement.

        Args:
            address: Address of the target, ``host:port``.
            order: The order.
            timeout: Seconds after which no byte of it may still be sent.

        Raises:
            OrderRefused: The target refused the order and did nothing.
            OrderUnknown: Whether the target got the order is unknown.
        """
