"""Requests to models."""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import admission
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import relay
from monsoonhinge.gateway import routing
from monsoonhinge.gateway import sessions
from monsoonhinge.gateway import wallet
from monsoonhinge.targets import prefixes

_MAX_CHOICES = 128
_MAX_OUTPUT_TOKENS = 10_000_000

Admit = Callable[[web.Request, str], admission.Admitted]


class ModelPath:
    """Answers requests to models."""

    def __init__(
        self,
        *,
        view: Callable[[], config_view.View],
        admit: Admit,
        tries: attempts.Attempts,
        open_sessions: sessions.Sessions,
    ) -> None:
        self._view = view
        self._admit = admit
        self._attempts = tries
        self._sessions = open_sessions

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Answers a request to a model.

        Raises:
            refusal.Refusal: It is refused.
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
        prompt = wallet.prompt_tokens(len(body))
        output = (
            0
            if request.path.endswith("/embeddings")
            else output_tokens(document, admitted.route)
        )
        team = view.teams[admitted.team]
        check_burst(prompt + output, team)
        job = dispatch.Job(
            need=routing.Need(
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
            + callers.timeout_of(request, admitted.route.max_timeout_s),
            recheck=lambda: recheck(self._admit, request, admitted),
        )
        payload = {**document, "model": adapter or model}
        with self._sessions.open(key_hash=admitted.key_hash) as session:
            try:
                attempt = await self._attempts.send(
                    job,
                    callers.target_request(
                        request,
                        path=callers.model_path(request),
                        body=json.dumps(payload).encode(),
                        priority=admitted.route.priority,
                    ),
                )
            except asyncio.CancelledError:
                reason = session.ended()
                if reason is None:
                    raise
                raise refusal.unfinished(
                    reason, not_run="unknown" if job.sent else True
                ) from None
            return await self._relay(request, attempt, session, prompt)

    async def _relay(
        self,
        request: web.Request,
        attempt: attempts.Attempt,
        session: sessions.Session,
        prompt: int,
    ) -> web.StreamResponse:
        passed = relay.Relay(request=request, attempt=attempt)
        try:
            return await passed.run(session, attempt.job.deadline)
        finally:
            attempt.close()
            used = None
            if passed.complete:
                # A request that the engine finds faulty is not run.
                used = (
                    0
                    if 400 <= attempt.answer.status < 500
                    else relay.usage(passed.tail, prompt)
                )
            self._attempts.dispatcher.settle(attempt.job, used)


def recheck(
    admit: Admit, request: web.Request, admitted: admission.Admitted
) -> None:
    """Checks at dispatch that a request may still run.

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
    """Refuses a request that the team's bucket can never pay.

    Raises:
        refusal.Refusal: It needs more tokens than the bucket holds.
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
    """Returns the most output tokens that a request may use.

    Raises:
        refusal.Refusal: A limit in the request is not usable.
    """
    limit = route.max_output_tokens
    for name in ("max_tokens", "max_completion_tokens"):
        if document.get(name) is not None:
            limit = _count(document, name, _MAX_OUTPUT_TOKENS)
    choices = 1
    for name in ("n", "best_of"):
        if document.get(name) is not None:
            choices = max(choices, _count(document, name, _MAX_CHOICES))
    return limit * choices


def _count(document: dict[str, Any], name: str, most: int) -> int:
    value = document[name]
    if type(value) is not int or not 1 <= value <= most:
        raise refusal.Refusal(
            f"{name!r} must be an integer from 1 to {most}",
            status=400,
            code="invalid_request",
            step="parse",
        )
    return value
