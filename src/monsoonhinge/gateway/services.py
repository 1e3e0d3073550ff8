"""Calls of plain services."""

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

# Plain services have no configured concurrency.
_SERVICE_CONCURRENCY = 256
_MAX_KEY_CHARS = 256
# A call that ends at its caller's deadline has this long to say so itself.
_DEADLINE_GRACE_S = 0.25

_LOG = logging.getLogger(__name__)


class ServicePath:
    """Answers calls of plain services."""

    def __init__(
        self,
        *,
        view: Callable[[], config_view.View],
        admit: models.Admit,
        tries: attempts.Attempts,
        records: calls.Calls,
        active: active_requests.ActiveRequests,
    ) -> None:
        self._view = view
        self._admit = admit
        self._attempts = tries
        self._calls = records
        self._active_requests = active
        self._tasks: set[asyncio.Task[calls.RecordedAnswer]] = set()

    async def call(
        self, request: web.Request, route: str
    ) -> web.StreamResponse:
        """Answers a call of a plain service.

        Raises:
            refusal.Refusal: It is refused.
        """
        admitted = self._admit(request, route)
        view = self._view()
        found = view.services.get(admitted.route.service or "")
        if found is None:
            raise refusal.Refusal(
                f"route {route!r} is no service",
                status=404,
                code="unknown_route",
                step="admit",
            )
        path, decoded = callers.service_path(request, route)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + callers.timeout_of(
            request, admitted.route.max_timeout_s
        )
        body = await callers.read_body(request, admitted.route.max_body_bytes)
        team = view.teams[admitted.team]
        models.check_burst(found.call_tokens, team)
        job = dispatch.Job(
            requirements=routing.Requirements(
                name=found.name,
                service=True,
                max_concurrency=_SERVICE_CONCURRENCY,
            ),
            team=admitted.team,
            weight=team.weight,
            key_hash=admitted.key_hash,
            tokens=found.call_tokens,
            size_bytes=len(body),
            deadline=deadline,
            recheck=lambda: models.recheck(self._admit, request, admitted),
        )
        message = callers.target_request(
            request, path=path, body=body, priority=admitted.route.priority
        )
        if any(
            rule.method == request.method
            and decoded.startswith(rule.path_prefix)
            for rule in found.non_repeatable
        ):
            return await self._once(request, admitted, found, job, message)
        return await self._pass(request, job, message)

    async def _pass(
        self,
        request: web.Request,
        job: dispatch.Job,
        message: forward.TargetRequest,
    ) -> web.StreamResponse:
        with self._active_requests.track(
            key_hash=job.key_hash
        ) as active_request:
            try:
                attempt = await self._attempts.send(job, message)
            except asyncio.CancelledError:
                reason = active_request.take_cancel_reason()
                if reason is None:
                    raise
                raise refusal.unfinished(
                    reason, not_run="unknown" if job.sent else True
                ) from None
            passed = relay.Relay(request=request, attempt=attempt)
            try:
                return await passed.run(active_request, job.deadline)
            finally:
                attempt.close()
                self._attempts.dispatcher.settle(job, None)

    async def _once(
        self,
        request: web.Request,
        admitted: admission.Admitted,
        found: schema.Service,
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
        # The call goes on when its caller leaves or its time is up, so that
        # its outcome is recorded.
        task = loop.create_task(
            self._run_claimed(claim, found, job, message, admitted.route)
        )
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        left = job.deadline - loop.time() + _DEADLINE_GRACE_S
        done, _ = await asyncio.wait({task}, timeout=left)
        if not done:
            raise refusal.Refusal(
                "the call has not ended; repeat it with the same key",
                status=504,
                code="deadline_exceeded",
                not_run="unknown",
                retry_after_s=1,
                step="forward",
            )
        answer = task.result()
        response = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        response.headers["X-Request-Id"] = callers.request_id(request)
        return response

    async def _run_claimed(
        self,
        claim: calls.Claim,
        found: schema.Service,
        job: dispatch.Job,
        message: forward.TargetRequest,
        route: schema.Route,
    ) -> calls.RecordedAnswer:
        with self._active_requests.track(
            key_hash=job.key_hash, cancellable=False
        ):
            recorded = await self._calls.claim(claim, deadline=job.deadline)
            if recorded is not None:
                return recorded
            try:
                answer = await self._run(job, message, route)
            except Exception:
                if job.sent:
                    await self._calls.record(claim.finish("unknown"))
                else:
                    self._calls.release(claim)
                raise
            await self._calls.record(
                claim.finished(answer, keep=found.max_recorded_answer_bytes)
            )
            return answer

    async def _run(
        self,
        job: dispatch.Job,
        message: forward.TargetRequest,
        route: schema.Route,
    ) -> calls.RecordedAnswer:
        attempt = await self._attempts.send(
            job,
            message,
            repeatable=False,
            answer_timeout_s=route.max_timeout_s,
        )
        try:
            return await calls.read_answer(attempt.answer)
        except forward.AnswerLost as error:
            attempt.failed()
            raise attempts.lost(error, started=True) from error
        finally:
            attempt.close()
            self._attempts.dispatcher.settle(job, None)

    def _finished(self, task: asyncio.Task[calls.RecordedAnswer]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _LOG.info("call failed: %s", error)
