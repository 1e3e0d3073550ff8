"""HTTP handler for the callers of the ingress."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import confirmation
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import fleet_client
from monsoonhinge.ingress import gateway_context
from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import request_executor
from monsoonhinge.ingress import resumption
from monsoonhinge.ingress import startup
from monsoonhinge.ingress import timeouts
from monsoonhinge.ingress import token_reservation
from monsoonhinge.runtime import events
from monsoonhinge.runtime import transports


class RequestHandler:
    """Parses, admits, charges and runs requests.

    Attributes:
        context: Components that all requests share.
        close_connections: Whether connections are closed after each response,
            so that callers connect to another gateway.
        refuse_new_requests: Whether new requests are refused, since too
            little time is left to run them.
        active_request_count: Number of requests without a complete response.
        startup_gate: Holds requests until the first confirmed configuration.
        confirmation: Holds requests until a later one is confirmed again.
    """

    def __init__(
        self,
        *,
        context: gateway_context.GatewayContext,
        client: fleet_client.FleetClient,
        admission_control: admission.Admission,
        token_quota: quota.Quota,
        resumptions: resumption.Resumptions,
    ) -> None:
        self.context = context
        self.close_connections = False
        self.refuse_new_requests = False
        self.active_request_count = 0
        self._idle = asyncio.Event()
        self.startup_gate = startup.StartupGate()
        self.confirmation = confirmation.Confirmation(
            client=client,
            config_deadline_s=admission_control.config_deadline_s,
            max_staleness_s=admission_control.max_staleness_s,
        )
        self._dialect = context.dialect
        self._client = client
        self._admission = admission_control
        self._quota = token_quota
        self._resumptions = resumptions

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        arrived_at = asyncio.get_running_loop().time()
        self.active_request_count += 1
        metrics.ACTIVE_REQUESTS.inc()
        try:
            return await self._respond(request, arrived_at)
        finally:
            self.active_request_count -= 1
            if not self.active_request_count:
                self._idle.set()
            metrics.ACTIVE_REQUESTS.dec()

    async def wait_until_idle(self, deadline: float) -> None:
        """Waits until no request is active, at most until the deadline.

        Args:
            deadline: Time of the event loop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while self.active_request_count:
                    self._idle.clear()
                    await self._idle.wait()

    async def _respond(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.StreamResponse:
        executor = None
        request_id, execution = "", "unknown"
        try:
            parsed = self._parse(request)
            request_id = parsed.request_id
            if self.refuse_new_requests:
                raise refusal.Refusal(
                    refusal.Reason.STOPPING, retry_after_s=0.05, step="drain"
                )
            admitted = await self._admit(parsed, arrived_at)
            if parsed.last_event_id and admitted.route.resumable:
                admitted = await self._resumptions.bind(
                    parsed, admitted, self._client.view
                )
            execution = admitted.route.execution
            self.context.quarantine.check(
                parsed.shared_parts, asyncio.get_running_loop().time()
            )
            limits = timeouts.request_timeouts(
                admitted.route, time_left_ms=parsed.time_left_ms, now=arrived_at
            )
            parsed.body = await self._read_body(request)
            executor = request_executor.RequestExecutor(
                context=self.context,
                close_connection=self.close_connections,
                request=request,
                parsed=parsed,
                admitted=admitted,
                limits=limits,
                reservation=token_reservation.TokenReservation(
                    token_quota=self._quota,
                    admitted=admitted,
                    request_id=request_id,
                    deadline=limits.deadline,
                ),
            )
            response = await self._run_charged(executor)
        except refusal.Refusal as error:
            response = self._refusal_response(request_id, error)
            if not request.content.at_eof():
                response.force_close()
        except relay.BrokenOff as error:
            self._record_end(request_id, executor, "broken_off", execution)
            if request.transport is not None:
                # Only chunks tell a caller where a stream ends.
                transports.break_off(
                    request.transport,
                    ends_with_close=request.version < aiohttp.HttpVersion11,
                )
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self._record_end(request_id, executor, "caller_left", execution)
            raise
        self._record_end(request_id, executor, str(response.status), execution)
        if self.close_connections and not response.prepared:
            _set_connection_close(response)
        return response

    def _parse(self, request: web.BaseRequest) -> dialect.ParsedRequest:
        try:
            return self._dialect.parse_request(request)
        except dialect.Malformed as error:
            raise refusal.Refusal(
                refusal.Reason.MALFORMED, step=str(error)
            ) from error

    async def _admit(
        self, parsed: dialect.ParsedRequest, arrived_at: float
    ) -> admission.AdmittedRequest:
        try:
            return self._admit_now(parsed)
        except refusal.Refusal as error:
            if self.startup_gate.is_open:
                await self.confirmation.wait(
                    error,
                    time_left_ms=parsed.time_left_ms,
                    arrived_at=arrived_at,
                )
            else:
                await self.startup_gate.wait(
                    error,
                    time_left_ms=parsed.time_left_ms,
                    arrived_at=arrived_at,
                )
        return self._admit_now(parsed)

    def _admit_now(
        self, parsed: dialect.ParsedRequest
    ) -> admission.AdmittedRequest:
        return self._admission.admit(
            parsed,
            view=self._client.view,
            freshness=self._client.freshness(asyncio.get_running_loop().time()),
        )

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limit_bytes = self._client.view.ingress_limits.max_body_bytes
        parts: list[bytes] = []
        size_bytes = request.content_length or 0
        if size_bytes <= limit_bytes:
            size_bytes = 0
            async for part in request.content.iter_any():
                size_bytes += len(part)
                if size_bytes > limit_bytes:
                    break
                parts.append(part)
        if size_bytes > limit_bytes:
            raise self._admission.denial(
                refusal.Reason.BODY_TOO_LARGE,
                self._client.freshness(asyncio.get_running_loop().time()),
            )
        return b"".join(parts)

    async def _run_charged(
        self, executor: request_executor.RequestExecutor
    ) -> web.StreamResponse:
        try:
            await executor.reservation.acquire()
            return await executor.run()
        finally:
            if not executor.budget.attempts:
                executor.reservation.release()

    def _refusal_response(
        self, request_id: str, error: refusal.Refusal
    ) -> web.Response:
        wait_s = error.retry_after_s
        freshness = self._client.freshness(asyncio.get_running_loop().time())
        events.emit(
            events.REFUSAL,
            request_id=request_id,
            reason=error.reason.value,
            step=error.step,
            peer=error.peer,
            status=error.status,
            retry_after_s=None if wait_s is None else round(wait_s, 3),
            config=freshness.version,
            newest_config=freshness.newest_version,
            staleness_s=freshness.loggable_staleness_s,
        )
        metrics.REFUSALS.labels(error.reason.value).inc()
        headers = {"X-Request-Id": request_id} if request_id else {}
        retry_after_header = error.retry_after_header()
        if retry_after_header is not None:
            headers["Retry-After"] = retry_after_header
        return web.Response(
            status=error.status,
            text=f'{{"error":"{error.reason.value}"}}\n',
            content_type="application/json",
            headers=headers,
        )

    def _record_end(
        self,
        request_id: str,
        executor: request_executor.RequestExecutor | None,
        outcome: str,
        execution: str,
    ) -> None:
        metrics.REQUESTS.labels(execution, outcome).inc()
        if executor is None:
            return
        now = asyncio.get_running_loop().time()
        first_byte_at = executor.relay.first_byte_at
        arrived_at = executor.limits.arrived_at
        first_byte_s = None
        if first_byte_at is not None:
            first_byte_s = round(first_byte_at - arrived_at, 4)
            metrics.FIRST_BYTE_SECONDS.labels(execution).observe(first_byte_s)
        events.emit(
            events.REQUEST,
            request_id=request_id,
            route=executor.admitted.route.name,
            team=executor.admitted.team.name if executor.admitted.team else "",
            model=executor.parsed.model,
            adapter=executor.parsed.adapter,
            tokens=executor.admitted.tokens,
            prompt=executor.parsed.shared_parts,
            attempts=executor.budget.attempts,
            rejected=executor.budget.rejections,
            first_byte_s=first_byte_s,
            total_s=round(now - arrived_at, 4),
            config=executor.admitted.freshness.version,
            staleness_s=executor.admitted.freshness.loggable_staleness_s,
            outcome=outcome,
        )


def _set_connection_close(response: web.StreamResponse) -> None:
    response.force_close()
    response.headers["Connection"] = "close"
