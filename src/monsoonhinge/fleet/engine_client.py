"""Interface through which the fleet sends orders to model engines."""

from collections.abc import Callable
import dataclasses
import enum
import typing

from monsoonhinge.runtime import errors


class NoResponseError(errors.MonsoonhingeError):
    """No valid response arrived; an order may still be carried out later."""


class OrderResponse(enum.Enum):
    """Response of an engine to an order.

    Attributes:
        STARTED: The order was accepted and is being carried out.
        APPLIED: The ordered state is already in effect.
        CONFLICT: The order count was wrong, or another order is in progress.
        FENCED: The engine has seen a higher fencing token.
        OTHER_INSTANCE: Another target is running at the address.
        INVALID: The engine rejected the order as invalid.
    """

    STARTED = "started"
    APPLIED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload a model or an adapter.

    Attributes:
        load: True to load, False to unload.
        model: Name of the model.
        adapter: Adapter of that model, or "" for the model itself.
        holder: Holder of the lease under which the order is sent.
        fencing: Fencing token of that lease.
        expected_order_count: Orders that the engine must have accepted so far;
            it responds with a conflict otherwise.
    """

    load: bool
    model: str
    adapter: str
    holder: str
    fencing: int
    expected_order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State of an engine, some hundred milliseconds old.

    Attributes:
        models: Loaded adapters, by loaded model.
        busy: Whether a load or unload of a model is in progress.
        order_count: Orders accepted since the engine started.
        pending_adapters: Adapters that are being loaded from the store, as
            (model, adapter).
        in_memory: Models with a cached copy in host memory.
        on_disk: Models with a cached copy on disk.
        waiting: Requests in the queue of the engine.
        running: Requests that the engine is executing.
    """

    models: dict[str, list[str]]
    busy: bool
    order_count: int
    pending_adapters: list[tuple[str, str]]
    in_memory: list[str]
    on_disk: list[str]
    waiting: int
    running: int


class EngineClient(typing.Protocol):
    """Sends orders to engines and fetches their reports.

    Attributes:
        on_leaving: Called with the id of a target whose response says that it
            is leaving.
    """

    on_leaving: Callable[[str], None]

    async def order(
        self, *, address: str, target: str, order: Order, timeout_s: float
    ) -> OrderResponse:
        """Sends an order and returns the response of the engine.

        Raises:
            NoResponseError: The outcome is unknown.
        """

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> Report:
        """Fetches the state of an engine.

        Raises:
            NoResponseError: No valid report arrived.
        """

    async def close(self) -> None:
        """Closes the connections to all engines."""
