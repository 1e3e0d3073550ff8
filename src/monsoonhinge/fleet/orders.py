"""Orders to one engine, one after the other."""

import asyncio
from collections.abc import Callable
import enum

from monsoonhinge.fleet import dialect
from monsoonhinge.fleet import engine as engines
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

_ORDER_TIMEOUT_S = 0.2
_REPORT_TIMEOUT_S = 1.0

# An engine that refused an order is asked again after this time.
_BUSY_PAUSE_S = 0.04
# Reports lag this much behind the engine.
_REPORT_LAG_S = 0.25
_MAX_TRIES = 12
_MAX_ADAPTER_TRIES = 4


class Outcome(enum.Enum):
    """What became of an order.

    A refused order changed nothing; a started one takes time.
    """

    STARTED = "started"
    HOLDS = "holds"
    REFUSED = "refused"


class Deposed(errors.MonsoonhingeError):
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
        client: dialect.Engines,
        holder: str,
        fencing: int,
        may_order: Callable[[], bool],
    ) -> None:
        self.engine = engine
        self._client = client
        self._holder = holder
        self._fencing = fencing
        self._may_order = may_order
        self._lock = asyncio.Lock()

    async def introduce(self) -> bool:
        """Tries to learn what the engine holds; returns whether it is known.

        An order to load what is loaded makes the engine refuse late orders
        under earlier fencing numbers. Only then, and while no order is under
        way, do two equal reports tell what it holds.

        Raises:
            dialect.Unanswered: The engine does not answer.
            Deposed: Another member gives orders now.
        """
        first = await self.report()
        if first.busy:
            return False
        if first.models and not await self._fence(first):
            return False
        await asyncio.sleep(_REPORT_LAG_S)
        second = await self.report()
        if second.busy or second.accepted != first.accepted:
            return False
        self.engine.reported(second, asyncio.get_running_loop().time())
        return True

    async def _fence(self, report: dialect.Report) -> bool:
        verdict = await self._client.order(
            address=self.engine.registration.address,
            target=self.engine.target,
            order=dialect.Order(
                load=True,
                model=next(iter(report.models)),
                adapter="",
                holder=self._holder,
                fencing=self._fencing,
                expected=report.accepted,
            ),
            timeout_s=_ORDER_TIMEOUT_S,
        )
        if verdict is dialect.Verdict.FENCED:
            raise Deposed("a higher fencing number was used", step="order")
        return verdict is dialect.Verdict.HOLDS

    async def give(
        self, *, load: bool, model: str, adapter: str = ""
    ) -> Outcome:
        """Gives an order until its outcome is known.

        Raises:
            Deposed: Another member gives orders now.
        """
        tries = _MAX_ADAPTER_TRIES if adapter else _MAX_TRIES
        async with self._lock:
            for number in range(tries):
                if not self._may_order():
                    raise Deposed("the lease is not held", step="order")
                if self.engine.accepted is None:
                    return Outcome.REFUSED
                if load and self.engine.free_bytes() < 0:
                    # The engine announced a model that was not known here.
                    return Outcome.REFUSED
                outcome = await self._try(load, model, adapter, number)
                if outcome is not None:
                    return outcome
        return Outcome.REFUSED

    async def _try(
        self, load: bool, model: str, adapter: str, number: int
    ) -> Outcome | None:
        engine = self.engine
        expected = engine.accepted or 0
        try:
            verdict = await self._client.order(
                address=engine.registration.address,
                target=engine.target,
                order=dialect.Order(
                    load=load,
                    model=model,
                    adapter=adapter,
                    holder=self._holder,
                    fencing=self._fencing,
                    expected=expected,
                ),
                timeout_s=_ORDER_TIMEOUT_S,
            )
        except dialect.Unanswered as error:
            self._log(load, model, adapter, expected, f"unanswered: {error}")
            await asyncio.sleep(_BUSY_PAUSE_S)
            return None
        self._log(load, model, adapter, expected, verdict.value)
        match verdict:
            case dialect.Verdict.STARTED:
                engine.accepted = expected + 1
                return Outcome.STARTED
            case dialect.Verdict.HOLDS:
                # An unload of an unused adapter is done at once; it counts.
                if adapter and not load:
                    engine.accepted = expected + 1
                return Outcome.HOLDS
            case dialect.Verdict.FENCED:
                raise Deposed("a higher fencing number was used", step="order")
            case dialect.Verdict.CONFLICT:
                return await self._resolve(load, model, adapter, number)
            case _:
                return Outcome.REFUSED

    def _log(
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

    async def _resolve(
        self, load: bool, model: str, adapter: str, number: int
    ) -> Outcome | None:
        """Finds out why an order was refused; None to try again."""
        if number < 2:
            await asyncio.sleep(_BUSY_PAUSE_S * (number + 1))
            return None
        await asyncio.sleep(_REPORT_LAG_S)
        try:
            report = await self.report()
        except dialect.Unanswered:
            return None
        engine = self.engine
        engine.accepted = max(engine.accepted or 0, report.accepted)
        present = model in report.models
        if adapter:
            present = adapter in report.models.get(model, [])
        # An earlier try of the same order was carried out unanswered.
        return Outcome.HOLDS if present == load and not report.busy else None

    async def report(self) -> dialect.Report:
        """Asks the engine for its state without believing it.

        Raises:
            dialect.Unanswered: No report came.
        """
        return await self._client.report(
            address=self.engine.registration.address,
            target=self.engine.target,
            timeout_s=_REPORT_TIMEOUT_S,
        )
