"""Calls to plain services."""

import asyncio
from collections.abc import Callable
import logging

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import active_requests
from monsoonhinge.gateway import admission
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import calls
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import models
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import relay
from monsoonhinge.gateway import routing

# Plain services have no configured concurrency limit.
_MAX_CONCURRENCY_PER_TARGET = 256
_MAX_KEY_CHARS = 256
# A call that fails at its deadline can report its own error within this time.
_DEADLINE_GRACE_S = 0.25

_LOG = logging.getLogger(__name__)


class ServiceHandler:
    """Serves calls to plain services."""

    def __init__(
        self,
        *,
        view: Callable[[], config_view.View],
        admit: models.Admit,
        sender: attempts.RetryingSender,
        claims: calls.CallClaims,
        active: active_requests.ActiveRequests,
    ) -> None:
        self._view = view
        self._admit = admit
        self._sender = sender
        self._claims = claims
        self._active_requests = active
        self._tasks: set[asyncio.Task[calls.RecordedResponse]] = set()

    async def call(
        self, request: web.Request, route: str
    ) -> web.StreamResponse:
        """Serves a call to a plain service.

        Raises:
            refusal.Refusal: The call is refused.
        """
        admitted = self._admit(request, route)
        view = self._view()
        service = view.services.get(admitted.route.service or "")
        if service is None:
            raise refusal.Refusal(
                f"route {route!r} is no service",
                status=404,
                code="unknown_route",
                step="admit",
            )
        path, decoded = callers.service_path(request, route)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + callers.request_timeout_s(
            request, admitted.route.max_timeout_s
        )
        body = await callers.read_body(request, admitted.route.max_body_bytes)
        team = view.teams[admitted.team]
        models.check_burst(service.call_tokens, team)
        job = dispatch.Job(
            requirements=routing.Requirements(
                name=service.name,
                service=True,
                max_concurrency=_MAX_CONCURRENCY_PER_TARGET,
            ),
            team=admitted.team,
            weight=team.weight,
            key_hash=admitted.key_hash,
            tokens=service.call_tokens,
            size_bytes=len(body),
            deadline=deadline,
            check_authorization=lambda: models.check_authorization(
                self._admit, request, admitted
            ),
        )
        message = callers.target_request(
            request, path=path, body=body, priority=admitted.route.priority
        )
        if any(
            rule.method == request.method
            and decoded.startswith(rule.path_prefix)
            for rule in service.non_repeatable
        ):
            return await self._call_once(
                request, admitted, service, job, message
            )
        return await self._forward(request, job, message)

    async def _forward(
        self,
        request: web.Request,
        job: dispatch.Job,
        message: forward.TargetRequest,
    ) -> web.StreamResponse:
        with self._active_requests.track(
            key_hash=job.key_hash
        ) as active_request:
            try:
                attempt = await self._sender.send(job, message)
            except asyncio.CancelledError:
                reason = active_request.take_cancel_reason()
                if reason is None:
                    raise
                raise refusal.for_cancelled_request(
                    reason, not_run="unknown" if job.sent else True
                ) from None
            response_relay = relay.Relay(request=request, attempt=attempt)
            try:
                return await response_relay.run(active_request, job.deadline)
            finally:
                attempt.close()
                self._sender.dispatcher.settle(job, None)

    async def _call_once(
        self,
        request: web.Request,
        admitted: admission.AdmittedRequest,
        service: schema.Service,
        job: dispatch.Job,
        message: forward.TargetRequest,
    ) -> web.StreamResponse:
        key = request.headers.get("Idempotency-Key", "")
        if not 0 < len(key) <= _MAX_KEY_CHARS:
            raise refusal.Refusal(
                "this call needs an Idempotency-Key of at most "
                f"{_MAX_KEY_CHARS} characters",
                status=400,
                code="idempotency_key_required",
                step="parse",
            )
        claim = calls.Claim(
            team=admitted.team,
            route=admitted.route.name,
            key=key,
            digest=calls.call_digest(
                method=message.method, path=message.path, body=message.body
            ),
        )
        loop = asyncio.get_running_loop()
        # The call continues after its caller disconnects or its deadline
        # passes, so that its outcome is recorded.
        task = loop.create_task(
            self._run_claimed(claim, service, job, message, admitted.route)
        )
        self._tasks.add(task)
        task.add_done_callback(self._log_failure)
        remaining_s = job.deadline - loop.time() + _DEADLINE_GRACE_S
        done, _ = await asyncio.wait({task}, timeout=remaining_s)
        if not done:
            raise refusal.Refusal(
                "the call has not ended; repeat it with the same key",
                status=504,
                code="deadline_exceeded",
                not_run="unknown",
                retry_after_s=1,
                step="forward",
            )
        recorded = task.result()
        response = web.Response(
            status=recorded.status, headers=recorded.headers, body=recorded.body
        )
        response.headers["X-Request-Id"] = callers.request_id(request)
        return response

    async def _run_claimed(
        self,
        claim: calls.Claim,
        service: schema.Service,
        job: dispatch.Job,
        message: forward.TargetRequest,
        route: schema.Route,
    ) -> calls.RecordedResponse:
        with self._active_requests.track(
            key_hash=job.key_hash, cancellable=False
        ):
            recorded = await self._claims.claim(claim, deadline=job.deadline)
            if recorded is not None:
                return recorded
            try:
                response = await self._send_claimed(job, message, route)
            except Exception:
                if job.sent:
                    await self._claims.record(claim.outcome_command("unknown"))
                else:
                    self._claims.release(claim)
                raise
            await self._claims.record(
                claim.response_command(
                    response, max_body_bytes=service.max_recorded_answer_bytes
                )
            )
            return response

    async def _send_claimed(
        self,
        job: dispatch.Job,
        message: forward.TargetRequest,
        route: schema.Route,
    ) -> calls.RecordedResponse:
        attempt = await self._sender.send(
            job,
            message,
            retryable=False,
            response_timeout_s=route.max_timeout_s,
        )
        try:
            return await calls.read_response(attempt.response)
        except forward.AnswerLost as error:
            attempt.report_broken_response()
            raise attempts.answer_lost_refusal(error, started=True) from error
        finally:
            attempt.close()
            self._sender.dispatcher.settle(job, None)

    def _log_failure(self, task: asyncio.Task[calls.RecordedResponse]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _LOG.info("non-repeatable call failed: %s", error)
