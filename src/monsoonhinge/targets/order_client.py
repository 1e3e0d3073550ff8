"""Orders to targets, independent of the protocol that carries them."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a target; idempotent by its id.

    Attributes:
        fencing: Fencing token of the scheduler that sends the order.
        order_id: Unique id; the id of a load order is also the id of the
            replica that it creates.
        action: ``load``, ``unload``, ``load_adapter`` or ``unload_adapter``.
        model: Name of the model.
        model_version: Version of the model.
        adapter: Name of the adapter, or "".
        replica: Id of the replica, except for a load order.
    """

    fencing: int
    order_id: str
    action: str
    model: str
    model_version: str
    adapter: str = ""
    replica: str = ""


class OrderClient(typing.Protocol):
    """Sends orders to targets."""

    async def send_order(
        self, address: str, order: Order, *, timeout: float
    ) -> None:
        """Delivers an order; a later announcement reports its outcome.

        Args:
            address: Address of the target, ``host:port``.
            order: The order.
            timeout: Seconds after which no byte of the order may be sent.

        Raises:
            OrderRefused: The target refused the order and did not act on it.
            OrderUnknown: It is unknown whether the target received the order.
        """
