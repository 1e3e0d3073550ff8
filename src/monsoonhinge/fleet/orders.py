"""Orders to one engine, one after the other."""

import asyncio
from collections.abc import Callable
import enum

from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

_ORDER_TIMEOUT_S = 0.2
_REPORT_TIMEOUT_S = 1.0

# An engine that refused an order is asked again after this time.
_RETRY_DELAY_S = 0.04
# Reports lag this much behind the engine.
_MAX_REPORT_AGE_S = 0.25
_MAX_ATTEMPTS = 12
_MAX_ADAPTER_ATTEMPTS = 4


class Outcome(enum.Enum):
    """What became of an order.

    A refused order changed nothing; a started one takes time.
    """

    STARTED = "started"
    APPLIED = "holds"
    REFUSED = "refused"


class LeaseLostError(errors.MonsoonhingeError):
    """This member may not give orders any more."""


class Channel:
    """Gives orders to one incarnation of an engine.

    Every order names how many orders the engine has accepted, so that an
    order that is carried out late changes nothing once a newer one is in.
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
        """Tries to learn what the engine holds; returns whether it is known.

        An order to load what is loaded makes the engine refuse late orders
        under earlier fencing numbers. Only then, and while no order is under
        way, do two equal reports tell what it holds.

        Raises:
            engine_client.NoResponseError: The engine does not answer.
            LeaseLostError: Another member gives orders now.
        """
        first = await self.fetch_report()
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

    async def _fence(self, report: engine_client.Report) -> bool:
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
                "a higher fencing number was used", step="order"
            )
        return response is engine_client.OrderResponse.APPLIED

    async def execute(
        self, *, load: bool, model: str, adapter: str = ""
    ) -> Outcome:
        """Gives an order until its outcome is known.

        Raises:
            LeaseLostError: Another member gives orders now.
        """
        max_attempts = _MAX_ADAPTER_ATTEMPTS if adapter else _MAX_ATTEMPTS
        async with self._lock:
            for attempt in range(max_attempts):
                if not self._lease_held():
                    raise LeaseLostError("the lease is not held", step="order")
                if self.engine.order_count is None:
                    return Outcome.REFUSED
                if load and self.engine.free_bytes() < 0:
                    # The engine announced a model that was not known here.
                    return Outcome.REFUSED
                outcome = await self._attempt(load, model, adapter, attempt)
                if outcome is not None:
                    return outcome
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
            await asyncio.sleep(_RETRY_DELAY_S)
            return None
        self._log_order(load, model, adapter, expected, response.value)
        match response:
            case engine_client.OrderResponse.STARTED:
                engine.order_count = expected + 1
                return Outcome.STARTED
            case engine_client.OrderResponse.APPLIED:
                # An unload of an unused adapter is done at once; it counts.
                if adapter and not load:
                    engine.order_count = expected + 1
                return Outcome.APPLIED
            case engine_client.OrderResponse.FENCED:
                raise LeaseLostError(
                    "a higher fencing number was used", step="order"
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
        """Finds out why an order was refused; None to try again."""
        if attempt < 2:
            await asyncio.sleep(_RETRY_DELAY_S * (attempt + 1))
            return None
        await asyncio.sleep(_MAX_REPORT_AGE_S)
        try:
            report = await self.fetch_report()
        except engine_client.NoResponseError:
            return None
        engine = self.engine
        engine.order_count = max(engine.order_count or 0, report.order_count)
        present = model in report.models
        if adapter:
            present = adapter in report.models.get(model, [])
        # An earlier try of the same order was carried out unanswered.
        return Outcome.APPLIED if present == load and not report.busy else None

    async def fetch_report(self) -> engine_client.Report:
        """Asks the engine for its state without believing it.

        Raises:
            engine_client.NoResponseError: No report came.
        """
        return await self._client.report(
            address=self.engine.registration.address,
            target=self.engine.target,
            timeout_s=_REPORT_TIMEOUT_S,
        )
