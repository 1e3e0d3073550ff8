"""Sends orders to one engine, one at a time."""

import asyncio
from collections.abc import Callable
import enum

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

_ORDER_TIMEOUT_S = 0.2
_REPORT_TIMEOUT_S = 1.0

# Delay before an order is sent again after a conflict or a missing response.
_RETRY_DELAY_S = 0.04

# A report can be this much older than the state of the engine.
_MAX_REPORT_AGE_S = 0.25

# Conflicts after which a report is fetched.
_CONFLICTS_BEFORE_REPORT = 2

_MAX_ATTEMPTS = 12
_MAX_ADAPTER_ATTEMPTS = 4


class Outcome(enum.Enum):
    """Outcome of an order.

    Attributes:
        STARTED: The engine is carrying out the order.
        APPLIED: The ordered state is in effect.
        REFUSED: The order was not sent or was rejected; it changed nothing.
        UNKNOWN: The engine may have carried out the order, or may do so later,
            or it has accepted other orders. Its state has to be read again.
    """

    STARTED = "started"
    APPLIED = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class LeaseLostError(errors.MonsoonhingeError):
    """This member does not hold the fleet lease any more."""


class Channel:
    """Sends orders to one incarnation of an engine.

    Each order states how many orders the engine has accepted before, as the
    state says from which the order was planned. The engine therefore rejects it
    if it has carried out a delayed order since, and ignores a delayed order
    once it has accepted this one. An order is never sent again with another
    number.
    """

    def __init__(
        self,
        *,
        engine: engines.Engine,
        client: engine_client.EngineClient,
        holder: str,
        fencing: int,
        lease_held: Callable[[], bool],
    ) -> None:
        self.engine = engine
        self._client = client
        self._holder = holder
        self._fencing = fencing
        self._lease_held = lease_held
        self._lock = asyncio.Lock()
        self._fenced = False
        self._unanswered: engine_client.Order | None = None

    async def synchronize(self) -> bool:
        """Reads the state of the engine; returns whether it is known now.

        An order to load a model that is already loaded makes the engine refuse
        delayed orders with lower fencing tokens. After that, two reports with
        the same order count and no order in progress establish the state. This
        member sends no order meanwhile.

        Raises:
            engine_client.NoResponseError: The engine does not respond.
            LeaseLostError: Another member sends orders now.
        """
        async with self._lock:
            return await self._synchronize()

    async def _synchronize(self) -> bool:
        first = await self.fetch_report()
        self.engine.busy_while_unknown = first.busy
        if first.busy:
            return False
        if first.models and not self._fenced:
            if not await self._fence(first):
                return False
            # Sent once, since engines may count it as an accepted order.
            self._fenced = True
        await asyncio.sleep(_MAX_REPORT_AGE_S)
        second = await self.fetch_report()
        if second.busy or second.order_count != first.order_count:
            return False
        self.engine.apply_report(second, asyncio.get_running_loop().time())
        return True

    def _require_lease(self) -> None:
        """Checks that this member may send orders now.

        Raises:
            LeaseLostError: It may not.
        """
        if not self._lease_held():
            raise LeaseLostError("fleet lease is not held", step="order")

    async def _fence(self, report: engine_client.Report) -> bool:
        self._require_lease()
        response = await self._client.order(
            address=self.engine.registration.address,
            target=self.engine.target,
            order=engine_client.Order(
                load=True,
                model=next(iter(report.models)),
                adapter="",
                holder=self._holder,
                fencing=self._fencing,
                expected_order_count=report.order_count,
            ),
            timeout_s=_ORDER_TIMEOUT_S,
        )
        if response is engine_client.OrderResponse.FENCED:
            raise LeaseLostError(
                "engine has seen a higher fencing token", step="order"
            )
        return response is engine_client.OrderResponse.APPLIED

    async def execute(
        self, *, load: bool, model: str, adapter: str = ""
    ) -> Outcome:
        """Sends an order, with retries, and returns its outcome.

        Raises:
            LeaseLostError: The lease is not held, or another member sends
                orders now.
        """
        max_attempts = _MAX_ADAPTER_ATTEMPTS if adapter else _MAX_ATTEMPTS
        async with self._lock:
            expected = self.engine.order_count
            if expected is None:
                return self._failed(model, adapter)
            order = engine_client.Order(
                load=load,
                model=model,
                adapter=adapter,
                holder=self._holder,
                fencing=self._fencing,
                expected_order_count=expected,
            )
            for attempt in range(max_attempts):
                self._require_lease()
                if self.engine.order_count != expected:
                    return self._failed(model, adapter)
                if load and _is_overcommitted(self.engine):
                    # The engine has announced more than was planned.
                    return self._failed(model, adapter)
                outcome = await self._attempt(order, attempt)
                if outcome is not None:
                    return outcome
        return self._failed(model, adapter)

    def _failed(self, model: str, adapter: str) -> Outcome:
        """Returns the outcome of an order of which no attempt succeeded."""
        if (model, adapter) in self.engine.unsettled:
            return Outcome.UNKNOWN
        return Outcome.REFUSED

    async def _attempt(
        self, order: engine_client.Order, attempt: int
    ) -> Outcome | None:
        engine = self.engine
        item = (order.model, order.adapter)
        try:
            response = await self._client.order(
                address=engine.registration.address,
                target=engine.target,
                order=order,
                timeout_s=_ORDER_TIMEOUT_S,
            )
        except engine_client.NoResponseError as error:
            self._log_order(order, f"unanswered: {error}")
            self._unanswered = order
            if order.load:
                engine.unsettled.add(
                    item,
                    expected_order_count=order.expected_order_count,
                    now=asyncio.get_running_loop().time(),
                )
            await asyncio.sleep(_RETRY_DELAY_S)
            return None
        self._log_order(order, response.value)
        accepted_count = order.expected_order_count + 1
        match response:
            case engine_client.OrderResponse.STARTED:
                engine.accept_order(*item, accepted_count)
                return Outcome.STARTED
            case engine_client.OrderResponse.APPLIED:
                # The unload of an unused adapter completes at once and counts
                # as an accepted order.
                if order.adapter and not order.load:
                    engine.accept_order(*item, accepted_count)
                elif order.load:
                    # An earlier attempt without a response has been carried
                    # out, and is not void once another order is accepted.
                    engine.unsettled.discard(item)
                return Outcome.APPLIED
            case engine_client.OrderResponse.FENCED:
                raise LeaseLostError(
                    "engine has seen a higher fencing token", step="order"
                )
            case engine_client.OrderResponse.CONFLICT:
                return await self._resolve_conflict(order, attempt)
            case _:
                return Outcome.REFUSED

    def _log_order(self, order: engine_client.Order, outcome: str) -> None:
        events.emit(
            events.ORDER,
            target=self.engine.target,
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            fencing=order.fencing,
            expected=order.expected_order_count,
            outcome=outcome,
        )

    async def _resolve_conflict(
        self, order: engine_client.Order, attempt: int
    ) -> Outcome | None:
        """Determines the cause of a conflict.

        The first conflicts are taken for an order in progress. After that, a
        report shows whether the engine has accepted other orders. Its count is
        never taken without the rest of it, since the room of this order was
        determined on the state before.

        Returns:
            The outcome, or None to send the order again.
        """
        if attempt < _CONFLICTS_BEFORE_REPORT:
            await asyncio.sleep(_RETRY_DELAY_S * (attempt + 1))
            return None
        await asyncio.sleep(_MAX_REPORT_AGE_S)
        try:
            report = await self.fetch_report()
        except engine_client.NoResponseError:
            return None
        accepted = report.order_count - order.expected_order_count
        if accepted < 0:
            return None
        if report.busy:
            # It may be busy with an earlier attempt of this order.
            may_be_own = accepted == 1 and self._unanswered is order
            return None if accepted == 0 or may_be_own else Outcome.UNKNOWN
        if _is_in_effect(order, report):
            # An earlier attempt was carried out although its response was lost.
            self.engine.unsettled.discard((order.model, order.adapter))
            self.engine.apply_report(report, asyncio.get_running_loop().time())
            return Outcome.APPLIED
        return Outcome.UNKNOWN if accepted else None

    async def fetch_report(self) -> engine_client.Report:
        """Fetches a report without updating the state of the engine.

        Raises:
            engine_client.NoResponseError: No valid report arrived.
        """
        return await self._client.report(
            address=self.engine.registration.address,
            target=self.engine.target,
            timeout_s=_REPORT_TIMEOUT_S,
        )


def _is_in_effect(
    order: engine_client.Order, report: engine_client.Report
) -> bool:
    """Returns whether a report shows the state that an order is to produce."""
    present = order.model in report.models
    if order.adapter:
        present = order.adapter in report.models.get(order.model, [])
    return present == order.load


def _is_overcommitted(engine: engines.Engine) -> bool:
    """Returns whether more is loaded or planned than there is room for."""
    return (
        engine.free_bytes() < 0
        or engine.adapter_count() > engine.limits.adapter_capacity
    )
