"""What the active member asks of model engines."""

import dataclasses
import enum
import typing

from monsoonhinge.runtime import errors


class NoResponseError(errors.MonsoonhingeError):
    """No answer came; an order may be carried out, now or later."""


class OrderResponse(enum.Enum):
    """How an engine answered an order."""

    STARTED = "started"
    APPLIED = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        load: Whether to load; otherwise to unload.
        model: Model.
        adapter: Adapter of that model, or "" for the model itself.
        holder: Who gives the order.
        fencing: Fencing number under which it is given.
        expected: Orders that the engine has accepted so far; it refuses if
            that is wrong.
    """

    load: bool
    model: str
    adapter: str
    holder: str
    fencing: int
    expected_order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State of an engine some hundred milliseconds ago.

    Attributes:
        models: Adapters held, by model held.
        busy: Whether an order is being carried out.
        accepted: Orders accepted since the engine started.
        pending: Adapters on their way from the store, as (model, adapter).
        in_memory: Models with a copy in host memory.
        on_disk: Models with a copy on disk.
        waiting: Requests that wait there.
        running: Requests that run there.
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
    """Sends orders to engines."""

    async def order(
        self, *, address: str, target: str, order: Order, timeout_s: float
    ) -> OrderResponse:
        """Gives an order.

        Raises:
            NoResponseError: The outcome is not known.
        """

    async def report(
        self, *, address: str, target: str, timeout_s: float
    ) -> Report:
        """Returns the state of an engine.

        Raises:
            NoResponseError: No valid report came.
        """

    async def close(self) -> None:
        """Closes all connections."""
