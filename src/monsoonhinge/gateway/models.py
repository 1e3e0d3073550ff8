"""Requests to models."""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import active_requests
from monsoonhinge.gateway import admission
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import relay
from monsoonhinge.gateway import routing
from monsoonhinge.gateway import token_accounts
from monsoonhinge.targets import prefixes

_MAX_CHOICES = 128
_MAX_OUTPUT_TOKENS = 10_000_000

Admit = Callable[[web.Request, str], admission.AdmittedRequest]


class ModelHandler:
    """Serves requests to models."""

    def __init__(
        self,
        *,
        view: Callable[[], config_view.View],
        admit: Admit,
        sender: attempts.RetryingSender,
        active: active_requests.ActiveRequests,
    ) -> None:
        self._view = view
        self._admit = admit
        self._sender = sender
        self._active_requests = active

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Serves a request to a model.

        Args:
            request: The HTTP request.
            document: Its body as JSON, with a string ``model``.
            body: Its body as received.

        Raises:
            refusal.Refusal: The request is refused.
        """
        admitted = self._admit(request, document["model"])
        callers.check_size(len(body), admitted.route)
        view = self._view()
        model, adapter = view.route_model(admitted.route)
        if not model:
            raise refusal.Refusal(
                f"route {admitted.route.name!r} is no model",
                status=404,
                code="unknown_route",
                step="admit",
            )
        prompt = token_accounts.prompt_tokens(len(body))
        output = (
            0
            if request.path.endswith("/embeddings")
            else output_tokens(document, admitted.route)
        )
        team = view.teams[admitted.team]
        check_burst(prompt + output, team)
        job = dispatch.Job(
            requirements=routing.Requirements(
                name=model,
                adapter=adapter,
                max_concurrency=view.models[model].max_concurrency,
                prefixes=prefixes.prefix_hashes(
                    adapter or model, prefixes.extract_prompt(document)
                ),
            ),
            team=admitted.team,
            weight=team.weight,
            key_hash=admitted.key_hash,
            tokens=prompt + output,
            size_bytes=len(body),
            deadline=asyncio.get_running_loop().time()
            + callers.request_timeout_s(request, admitted.route.max_timeout_s),
            check_authorization=lambda: check_authorization(
                self._admit, request, admitted
            ),
        )
        payload = {**document, "model": adapter or model}
        with self._active_requests.track(
            key_hash=admitted.key_hash
        ) as active_request:
            try:
                attempt = await self._sender.send(
                    job,
                    callers.target_request(
                        request,
                        path=callers.model_path(request),
                        body=json.dumps(payload).encode(),
                        priority=admitted.route.priority,
                    ),
                )
            except asyncio.CancelledError:
                reason = active_request.take_cancel_reason()
                if reason is None:
                    raise
                raise refusal.for_cancelled_request(
                    reason, not_run="unknown" if job.sent else True
                ) from None
            return await self._relay_response(
                request, attempt, active_request, prompt
            )

    async def _relay_response(
        self,
        request: web.Request,
        attempt: attempts.Attempt,
        active_request: active_requests.ActiveRequest,
        prompt: int,
    ) -> web.StreamResponse:
        response_relay = relay.Relay(request=request, attempt=attempt)
        try:
            return await response_relay.run(
                active_request, attempt.job.deadline
            )
        finally:
            attempt.close()
            used = None
            if response_relay.complete:
                # Engines do not run requests that they reject with 4xx.
                used = (
                    0
                    if 400 <= attempt.response.status < 500
                    else relay.reported_usage(response_relay.tail, prompt)
                )
            self._sender.dispatcher.settle(attempt.job, used)


def check_authorization(
    admit: Admit, request: web.Request, admitted: admission.AdmittedRequest
) -> None:
    """Checks at dispatch that an admitted request may still run.

    Raises:
        refusal.Refusal: The key was withdrawn, the route changed, or the
            configuration cannot be confirmed.
    """
    now = admit(request, admitted.route.name)
    if (now.team, now.route) != (admitted.team, admitted.route):
        raise refusal.Refusal(
            "the route changed while the request waited",
            status=503,
            code="configuration_changed",
            retry_after_s=1,
            step="dispatch",
        )


def check_burst(tokens: int, team: schema.Team) -> None:
    """Refuses a request that exceeds the capacity of the team's token bucket.

    Raises:
        refusal.Refusal: It needs more tokens than the bucket can hold.
    """
    if tokens > team.burst_tokens:
        raise refusal.Refusal(
            f"the request needs {tokens} tokens, more than the team's burst "
            f"of {team.burst_tokens}",
            status=429,
            code="exceeds_burst",
            step="grant",
        )


def output_tokens(document: dict[str, Any], route: schema.Route) -> int:
    """Returns the largest number of output tokens that a request may use.

    Raises:
        refusal.Refusal: A limit in the request is invalid.
    """
    limit = route.max_output_tokens
    for name in ("max_tokens", "max_completion_tokens"):
        if document.get(name) is not None:
            limit = _bounded_int(document, name, _MAX_OUTPUT_TOKENS)
    choices = 1
    for name in ("n", "best_of"):
        if document.get(name) is not None:
            choices = max(choices, _bounded_int(document, name, _MAX_CHOICES))
    return limit * choices


def _bounded_int(document: dict[str, Any], name: str, maximum: int) -> int:
    value = document[name]
    if type(value) is not int or not 1 <= value <= maximum:
        raise refusal.Refusal(
            f"{name!r} must be an integer from 1 to {maximum}",
            status=400,
            code="invalid_request",
            step="parse",
        )
    return value
