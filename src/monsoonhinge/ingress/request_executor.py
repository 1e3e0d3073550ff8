"""Execution of one admitted request: target choice, attempts and retries."""

import asyncio
import dataclasses

from aiohttp import web

from monsoonhinge.gateway import forward
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import attempt_budget
from monsoonhinge.ingress import attempts
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import gateway_context
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import relay
from monsoonhinge.ingress import request_events
from monsoonhinge.ingress import stall
from monsoonhinge.ingress import target_acquisition
from monsoonhinge.ingress import target_client
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import timeouts
from monsoonhinge.ingress import token_reservation
from monsoonhinge.runtime import events

_RETRY_AFTER_S = 0.3
# A timeout this close to the deadline is reported as a timeout of the request.
_DEADLINE_TOLERANCE_S = 0.05

# Responses that come from the addressed target.
_TARGET_RESPONDED = (
    dialect.ExecutionStatus.RAN,
    dialect.ExecutionStatus.NOT_RUN,
)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt whose response headers have arrived."""

    target: target_table.Target
    response: target_client.TargetResponse


class RequestExecutor:
    """Runs one admitted request.

    Attributes:
        parsed: The request.
        admitted: Route, service and team of the request.
        limits: Timeouts of the request.
        reservation: Tokens that the request is charged.
        budget: Counts the attempts and permits further ones.
        relay: Sends the response to the caller.
    """

    def __init__(
        self,
        *,
        context: gateway_context.GatewayContext,
        close_connection: bool,
        request: web.BaseRequest,
        parsed: dialect.ParsedRequest,
        admitted: admission.AdmittedRequest,
        limits: timeouts.RequestTimeouts,
        reservation: token_reservation.TokenReservation,
    ) -> None:
        self.parsed = parsed
        self.admitted = admitted
        self.limits = limits
        self.reservation = reservation
        self.budget = attempt_budget.AttemptBudget(
            admitted=admitted,
            deadline=limits.deadline,
            retries=context.retry_budget,
            clock=asyncio.get_running_loop().time,
        )
        self.relay = relay.Relay(
            request=request,
            request_dialect=context.dialect,
            close_connection=close_connection,
            last_event_id=parsed.last_event_id,
        )
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._acquisition = target_acquisition.TargetAcquisition(
            context=context,
            parsed=parsed,
            admitted=admitted,
            limits=limits,
            reservation=reservation,
        )
        self._avoided_targets = self._acquisition.avoided_targets

    @property
    def _requirements(self) -> load_balancer.Requirements:
        return self._acquisition.requirements

    async def run(self) -> web.StreamResponse:
        """Returns the response to the caller once it is complete.

        Raises:
            refusal.Refusal: The request failed before a response was sent.
            relay.BrokenOff: It failed after a part of the response was sent.
        """
        self._context.retry_budget.count_request(
            self._requirements.service, self._loop.time()
        )
        self._context.wait_queue.demand.count_arrival(
            self._requirements,
            self.admitted.service.engine,
            self._loop.time(),
        )
        while True:
            try:
                attempt = await self._run_attempts()
            except refusal.Refusal as error:
                if self.relay.response is not None:
                    raise relay.BrokenOff from error
                raise (
                    error.after_run() if self.budget.attempts else error
                ) from error
            try:
                response = await self._relay(attempt)
            except forward.AnswerLost as error:
                self._record_failure(attempt.target, "broke_off", error)
                self._record_break(attempt.target, error)
                if not self._retries_after(error):
                    if self.relay.response is not None:
                        raise relay.BrokenOff from error
                    raise self._answer_lost_refusal(error) from error
                events.emit(
                    events.RESUMED,
                    request_id=self.parsed.request_id,
                    target=attempt.target.name,
                    last_event_id=self.relay.last_event_id,
                    error=str(error),
                )
                continue
            finally:
                attempt.response.close()
                self._change_running(attempt.target, -1)
            if response is not None:
                return response

    async def _run_attempts(self) -> _Attempt:
        """Sends the request until a target runs it; returns that attempt.

        Raises:
            refusal.Refusal: No target ran it, or its response was lost.
        """
        while True:
            target = await self._acquisition.acquire(
                releases_tokens=not self.budget.attempts
            )
            self._acquisition.check_authorization()
            self._context.quarantine.check(
                self.parsed.shared_parts, self._loop.time()
            )
            sent_at = self._loop.time()
            response = await self._try_target(target, sent_at)
            if response is None:
                continue
            execution = self._context.dialect.classify_response(
                self.parsed,
                target=target.name,
                status=response.status,
                headers=response.headers,
            )
            self._record_head(target, sent_at, response, execution)
            match execution:
                case dialect.ExecutionStatus.RAN:
                    now = self._loop.time()
                    target.record_latency(now - sent_at)
                    self._context.wait_queue.demand.count_served(
                        self._requirements, now
                    )
                    return _Attempt(target, response)
                case dialect.ExecutionStatus.UNKNOWN:
                    response.abort()
                    self._change_running(target, -1)
                    lost = forward.AnswerLost(
                        "the response cannot be attributed to the target",
                        step="forward",
                        peer=response.peer,
                    )
                    self._record_failure(target, "garbled", lost)
                    if not self.budget.take_retry():
                        raise self._answer_lost_refusal(lost)
                case _:
                    response.close()
                    self._end_without_run(target)
                    self._acquisition.record_rejection(target, execution)
                    self._check_repeat(response.peer)

    async def _try_target(
        self, target: target_table.Target, sent_at: float
    ) -> target_client.TargetResponse | None:
        """Sends the request to a target.

        Returns:
            The response, or None if another attempt is to be made.

        Raises:
            refusal.Refusal: There is no other attempt.
        """
        left_s = self.limits.deadline - sent_at
        if left_s <= 0:
            raise self._acquisition.wait_refusal()
        self.budget.begin_attempt()
        self._change_running(target, 1)
        try:
            return await self._send(target, left_s)
        except forward.NotSent as error:
            self._end_without_run(target)
            target.record_connect_failure(self._loop.time())
            self._context.dispatch_at(target.unreachable_until)
            self._record_failure(target, "unreachable", error)
            self._check_repeat(error.peer)
        except forward.AnswerLost as error:
            self._change_running(target, -1)
            self.relay.event_relayed_at = None
            self._record_break(target, error)
            retry = self._retries_after(error)
            if retry or not error.timed_out:
                self._record_failure(target, "lost", error)
            if not retry:
                raise self._answer_lost_refusal(error) from error
        except BaseException:
            self._change_running(target, -1)
            raise
        return None

    def _end_without_run(self, target: target_table.Target) -> None:
        self.budget.end_without_run()
        self._change_running(target, -1)

    async def _send(
        self, target: target_table.Target, left_s: float
    ) -> target_client.TargetResponse:
        timeout_s = None
        if self.budget.has_attempts_left():
            timeout_s = self.limits.attempt_timeout_s
        return await attempts.send(
            context=self._context,
            parsed=self.parsed,
            admitted=self.admitted,
            target=target,
            left_s=left_s,
            timeout_s=timeout_s,
            reserve_attempt=self.budget.take_retry,
            last_event_id=self.relay.last_event_id,
        )

    async def _relay(self, attempt: _Attempt) -> web.StreamResponse | None:
        """Relays a response, or returns None to retry after a 5xx status.

        Raises:
            forward.AnswerLost: The response is incomplete or stalled.
        """
        response = attempt.response
        streaming = self.admitted.route.execution == "streaming"
        if streaming and response.status == 200:
            relayed = await self.relay.relay_stream(
                response,
                deadline=self.limits.deadline,
                stall_limits=self._stall_limits(),
                before_first_event=lambda: self._acquisition.bind(
                    attempt.target
                ),
                before_later_event=lambda: self._acquisition.check_version(
                    attempt.target
                ),
            )
        else:
            relayed = await self.relay.relay_buffered(response)
            if response.status >= 500 and self.budget.take_retry():
                self._avoided_targets.add(attempt.target.name)
                return None
        now = self._loop.time()
        self._context.balancer.ejections.record_success(
            attempt.target.name, now
        )
        self._context.crash_reporter.record_served(
            self.parsed.shared_parts, now
        )
        return relayed

    def _change_running(self, target: target_table.Target, change: int) -> None:
        key = (
            self._requirements.model,
            self._requirements.adapter,
        )
        target.running[key] = max(0, target.running.get(key, 0) + change)
        if self._requirements.model:
            self._context.demand_changed()

    def _stall_limits(self) -> relay.StallLimits | None:
        if not self.budget.has_attempts_left():
            return None
        return relay.StallLimits(
            first_event_timeout_s=self.limits.attempt_timeout_s,
            event_timeout_s=self.limits.event_timeout_s,
            reserve_attempt=self.budget.take_retry,
        )

    def _retries_after(self, error: forward.AnswerLost) -> bool:
        """Returns whether there is another attempt after a lost response."""
        return isinstance(error, stall.Stalled) or self.budget.take_retry()

    def _check_repeat(self, peer: str) -> None:
        """Refuses a request that no target ran unless it may be sent again.

        Raises:
            refusal.Refusal: The limit or the retry budget is exhausted.
        """
        if not self.budget.take_repeat():
            now = self._loop.time()
            opens_at = self._context.balancer.opens_at(self._requirements)
            raise refusal.Refusal(
                refusal.Reason.TARGETS_FULL,
                retry_after_s=max(_RETRY_AFTER_S, (opens_at or now) - now),
                step="forward",
                peer=peer,
            )

    def _record_failure(
        self, target: target_table.Target, kind: str, error: Exception
    ) -> None:
        now = self._loop.time()
        self._avoided_targets.add(target.name)
        self._context.balancer.ejections.record_failure(target.name, now)
        request_events.ejected(
            parsed=self.parsed,
            target=target,
            kind=kind,
            relayed=self.relay.response is not None,
            error=error,
        )

    def _record_break(
        self, target: target_table.Target, error: forward.AnswerLost
    ) -> None:
        if not error.timed_out:
            self._context.crash_reporter.record_break(
                target,
                self.parsed.shared_parts,
                event_relayed_at=self.relay.event_relayed_at,
            )

    def _answer_lost_refusal(
        self, error: forward.AnswerLost
    ) -> refusal.Refusal:
        reason = refusal.Reason.ANSWER_LOST
        latest = self.limits.deadline - _DEADLINE_TOLERANCE_S
        if error.timed_out and self._loop.time() >= latest:
            reason = refusal.Reason.TIMEOUT
        return refusal.Refusal(reason, step=error.step, peer=error.peer)

    def _record_head(
        self,
        target: target_table.Target,
        sent_at: float,
        response: target_client.TargetResponse,
        execution: dialect.ExecutionStatus,
    ) -> None:
        """Records what the head of a response tells about its target."""
        now = self._loop.time()
        if execution in _TARGET_RESPONDED:
            self._context.notices.record(
                target,
                status=response.status,
                headers=response.headers,
                sent_at=sent_at,
                now=now,
            )
        request_events.attempt(
            parsed=self.parsed,
            admitted=self.admitted,
            target=target,
            fencing=self._context.balancer.targets.fencing,
            waited_s=sent_at - self.limits.arrived_at,
            head_s=now - sent_at,
            status=response.status,
            rate_limit=self._context.dialect.rate_limit(response.headers),
            outcome=execution.value,
        )
