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

_MAX_ATTEMPTS = 12
_MAX_ADAPTER_ATTEMPTS = 4


class Outcome(enum.Enum):
    """Outcome of an order.

    Attributes:
        STARTED: The engine is carrying out the order.
        APPLIED: The ordered state is in effect.
        REFUSED: The order was not sent or was rejected; it changed nothing.
        UNKNOWN: The engine may have carried out the order, or may do so later.
    """

    STARTED = "started"
    APPLIED = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class LeaseLostError(errors.MonsoonhingeError):
    """This member does not hold the fleet lease any more."""


class Channel:
    """Sends orders to one incarnation of an engine.

    Each order states how many orders the engine has accepted before, so that
    the engine ignores a delayed order once it has accepted a newer one.
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
        if first.models and not await self._fence(first):
            return False
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
            for attempt in range(max_attempts):
                self._require_lease()
                if self.engine.order_count is None:
                    return self._failed(model, adapter)
                if load and self.engine.free_bytes() < 0:
                    # The engine has announced models beyond those planned.
                    return self._failed(model, adapter)
                outcome = await self._attempt(load, model, adapter, attempt)
                if outcome is not None:
                    return outcome
        return self._failed(model, adapter)

    def _failed(self, model: str, adapter: str) -> Outcome:
        """Returns the outcome of an order of which no attempt succeeded."""
        if (model, adapter) in self.engine.unsettled:
            return Outcome.UNKNOWN
        return Outcome.REFUSED

    async def _attempt(
        self, load: bool, model: str, adapter: str, attempt: int
    ) -> Outcome | None:
        engine = self.engine
        expected = engine.order_count or 0
        try:
            response = await self._client.order(
                address=engine.registration.address,
                target=engine.target,
                order=engine_client.Order(
                    load=load,
                    model=model,
                    adapter=adapter,
                    holder=self._holder,
                    fencing=self._fencing,
                    expected_order_count=expected,
                ),
                timeout_s=_ORDER_TIMEOUT_S,
            )
        except engine_client.NoResponseError as error:
            self._log_order(
                load, model, adapter, expected, f"unanswered: {error}"
            )
            if load:
                engine.unsettled.add(
                    (model, adapter),
                    expected_order_count=expected,
                    now=asyncio.get_running_loop().time(),
                )
            await asyncio.sleep(_RETRY_DELAY_S)
            return None
        self._log_order(load, model, adapter, expected, response.value)
        match response:
            case engine_client.OrderResponse.STARTED:
                engine.accept_order(model, adapter, expected + 1)
                return Outcome.STARTED
            case engine_client.OrderResponse.APPLIED:
                # The unload of an unused adapter completes at once and counts
                # as an accepted order.
                if adapter and not load:
                    engine.accept_order(model, adapter, expected + 1)
                elif load:
                    # An earlier attempt without a response has been carried
                    # out, and is not void once another order is accepted.
                    engine.unsettled.discard((model, adapter))
                return Outcome.APPLIED
            case engine_client.OrderResponse.FENCED:
                raise LeaseLostError(
                    "engine has seen a higher fencing token", step="order"
                )
            case engine_client.OrderResponse.CONFLICT:
                return await self._resolve_conflict(
                    load, model, adapter, attempt
                )
            case _:
                return Outcome.REFUSED

    def _log_order(
        self, load: bool, model: str, adapter: str, expected: int, outcome: str
    ) -> None:
        events.emit(
            events.ORDER,
            target=self.engine.target,
            load=load,
            model=model,
            adapter=adapter,
            fencing=self._fencing,
            expected=expected,
            outcome=outcome,
        )

    async def _resolve_conflict(
        self, load: bool, model: str, adapter: str, attempt: int
    ) -> Outcome | None:
        """Determines the cause of a conflict.

        The first conflicts are taken for an order in progress. After that, a
        report shows the order count, and whether an earlier attempt was
        carried out.

        Returns:
            The outcome, or None to send the order again.
        """
        if attempt < 2:
            await asyncio.sleep(_RETRY_DELAY_S * (attempt + 1))
            return None
        await asyncio.sleep(_MAX_REPORT_AGE_S)
        try:
            report = await self.fetch_report()
        except engine_client.NoResponseError:
            return None
        engine = self.engine
        present = model in report.models
        if adapter:
            present = adapter in report.models.get(model, [])
        expected = engine.order_count or 0
        engine.order_count = max(expected, report.order_count)
        if present == load and not report.busy:
            # An earlier attempt was carried out although its response was lost.
            engine.unsettled.discard((model, adapter))
            return Outcome.APPLIED
        if engine.unsettled and report.order_count > expected:
            # An order without a response was carried out in the meantime, so
            # that the state of the engine has to be read again.
            return Outcome.UNKNOWN
        return None

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
