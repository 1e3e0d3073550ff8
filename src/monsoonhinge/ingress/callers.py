"""HTTP from callers of the ingress."""

import asyncio

from aiohttp import web

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import exchange
from monsoonhinge.ingress import link
from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import patience
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import shared
from monsoonhinge.ingress import startup
from monsoonhinge.ingress import ticket
from monsoonhinge.runtime import events


class Callers:
    """Answers requests: reads, admits and charges them, and runs them.

    Attributes:
        services: What requests share.
        closing: Whether callers should connect elsewhere.
        refusing: Whether new requests are refused, since there is no time
            left to run them.
        open: Requests without a final answer.
        all_ended: Set when there is none left.
        startup: Lets requests wait for the first configuration.
    """

    def __init__(
        self,
        *,
        services: shared.Shared,
        fleet_link: link.FleetLink,
        gate: admission.Admission,
        tokens: quota.Quota,
    ) -> None:
        self.services = services
        self.closing = False
        self.refusing = False
        self.open = 0
        self.all_ended = asyncio.Event()
        self.startup = startup.Startup()
        self._dialect = services.dialect
        self._link = fleet_link
        self._admission = gate
        self._quota = tokens

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        arrived_at = asyncio.get_running_loop().time()
        self.open += 1
        metrics.RUNNING.inc()
        try:
            return await self._answer(request, arrived_at)
        finally:
            self.open -= 1
            if not self.open:
                self.all_ended.set()
            metrics.RUNNING.dec()

    async def _answer(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.StreamResponse:
        running = None
        request_id, execution = "", "unknown"
        try:
            call = self._read(request)
            request_id = call.request_id
            if self.refusing:
                raise refusal.Refusal(
                    refusal.Reason.STOPPING, retry_after_s=0.05, step="drain"
                )
            admitted = await self._admit(call, arrived_at)
            execution = admitted.route.execution
            limits = patience.limits(
                admitted.route, time_left_ms=call.time_left_ms, now=arrived_at
            )
            call.body = await self._body(request)
            running = exchange.Exchange(
                services=self.services,
                closing=self.closing,
                request=request,
                call=call,
                admitted=admitted,
                limits=limits,
                charged=ticket.Ticket(
                    tokens=self._quota,
                    admitted=admitted,
                    request_id=request_id,
                    deadline=limits.deadline,
                ),
            )
            response = await self._charged(running)
        except refusal.Refusal as error:
            response = self._refuse(request_id, error)
            if not request.content.at_eof():
                response.force_close()
        except relay.BrokenOff as error:
            self._log_end(request_id, running, "broken_off", execution)
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self._log_end(request_id, running, "caller_left", execution)
            raise
        self._log_end(request_id, running, str(response.status), execution)
        if self.closing and not response.prepared:
            _say_close(response)
        return response

    def _read(self, request: web.BaseRequest) -> dialect.Call:
        try:
            return self._dialect.read(request)
        except dialect.Malformed as error:
            raise refusal.Refusal(
                refusal.Reason.MALFORMED, step=str(error)
            ) from error

    async def _admit(
        self, call: dialect.Call, arrived_at: float
    ) -> admission.Admitted:
        try:
            return self._try_to_admit(call)
        except refusal.Refusal as error:
            await self.startup.wait(
                error, time_left_ms=call.time_left_ms, arrived_at=arrived_at
            )
        return self._try_to_admit(call)

    def _try_to_admit(self, call: dialect.Call) -> admission.Admitted:
        return self._admission.admit(
            call,
            view=self._link.view,
            staleness=self._link.staleness(asyncio.get_running_loop().time()),
        )

    async def _body(self, request: web.BaseRequest) -> bytes:
        limit = self._link.view.ingress_limits.max_body_bytes
        parts: list[bytes] = []
        size = request.content_length or 0
        if size <= limit:
            size = 0
            async for part in request.content.iter_any():
                size += len(part)
                if size > limit:
                    break
                parts.append(part)
        if size > limit:
            raise refusal.Refusal(refusal.Reason.BODY_TOO_LARGE, step="read")
        return b"".join(parts)

    async def _charged(self, running: exchange.Exchange) -> web.StreamResponse:
        try:
            await running.ticket.take()
            return await running.run()
        finally:
            if not running.ran:
                running.ticket.give_back()

    def _refuse(self, request_id: str, error: refusal.Refusal) -> web.Response:
        wait_s = error.retry_after_s
        events.emit(
            events.REFUSAL,
            request_id=request_id,
            reason=error.reason.value,
            step=error.step,
            peer=error.peer,
            status=error.status,
            retry_after_s=None if wait_s is None else round(wait_s, 3),
            config=self._link.view.version,
        )
        metrics.REFUSALS.labels(error.reason.value).inc()
        headers = {"X-Request-Id": request_id} if request_id else {}
        retry_after = error.retry_after()
        if retry_after is not None:
            headers["Retry-After"] = retry_after
        return web.Response(
            status=error.status,
            text=f'{{"error":"{error.reason.value}"}}\n',
            content_type="application/json",
            headers=headers,
        )

    def _log_end(
        self,
        request_id: str,
        running: exchange.Exchange | None,
        outcome: str,
        execution: str,
    ) -> None:
        metrics.REQUESTS.labels(execution, outcome).inc()
        if running is None:
            return
        now = asyncio.get_running_loop().time()
        first_byte_at = running.relay.first_byte_at
        arrived_at = running.limits.arrived_at
        first_s = None
        if first_byte_at is not None:
            first_s = round(first_byte_at - arrived_at, 4)
            metrics.FIRST_BYTE_SECONDS.labels(execution).observe(first_s)
        events.emit(
            events.REQUEST,
            request_id=request_id,
            route=running.admitted.route.name,
            team=running.admitted.team.name if running.admitted.team else "",
            model=running.call.model,
            adapter=running.call.adapter,
            tokens=running.admitted.tokens,
            attempts=running.ran,
            rejected=running.rejected,
            first_byte_s=first_s,
            total_s=round(now - arrived_at, 4),
            config=running.admitted.version,
            outcome=outcome,
        )


def _say_close(response: web.StreamResponse) -> None:
    response.force_close()
    response.headers["Connection"] = "close"
