"""Load orders without a response; performs no I/O.

An engine may have carried such an order out, or may do so seconds later, as
long as it has accepted no other order in the meantime.
"""

import dataclasses

# An order is not carried out later than this after it was sent.
EXPIRY_S = 15.0

# Model and adapter; the adapter is "" for the model itself.
Item = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    expected_order_count: int
    until: float


class UnsettledOrders:
    """Orders to one engine that it may still carry out."""

    def __init__(self) -> None:
        self._orders: dict[Item, _Order] = {}

    def __contains__(self, item: Item) -> bool:
        return item in self._orders

    def __bool__(self) -> bool:
        return bool(self._orders)

    def has_model(self, model: str) -> bool:
        """Returns whether there is an order for a model or its adapters."""
        return any(name == model for name, _ in self._orders)

    def add(self, item: Item, *, expected_order_count: int, now: float) -> None:
        """Adds an order that got no response."""
        self._orders[item] = _Order(expected_order_count, now + EXPIRY_S)

    def discard(self, item: Item) -> None:
        """Removes an order whose outcome is known."""
        self._orders.pop(item, None)

    def pop_void(self, order_count: int) -> list[Item]:
        """Removes and returns the orders that expect a lower order count."""
        return self._pop(
            [
                item
                for item, order in self._orders.items()
                if order.expected_order_count < order_count
            ]
        )

    def pop_expired(self, now: float) -> list[Item]:
        """Removes and returns the orders that were sent too long ago."""
        return self._pop(
            [item for item, order in self._orders.items() if order.until <= now]
        )

    def _pop(self, items: list[Item]) -> list[Item]:
        for item in items:
            del self._orders[item]
        return items
