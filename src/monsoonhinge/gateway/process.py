"""The gateway process."""

import asyncio
import json
import logging
from typing import Any

from aiohttp import web

from monsoonhinge.config import schema
from monsoonhinge.control import client as control_client
from monsoonhinge.gateway import admission
from monsoonhinge.gateway import announcements
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import calls
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import schedulers
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import directory as target_directory

_DEMAND_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)


class GatewayProcess:
    """Serves callers."""

    def __init__(self, config: settings.Gateway) -> None:
        self.config = config
        self.identity = service.identity(config, "gateway")
        self.control = control_client.Client(
            members=config.control, identity=self.identity
        )
        self.schedulers = schedulers.Schedulers(
            addresses=config.schedulers,
            identity=self.identity,
            availability_zone=config.availability_zone,
            on_message=self._from_scheduler,
        )
        self.admission = admission.Admission(
            key_secret=config.key_secret.encode(),
            max_staleness_s=config.max_staleness_s,
        )
        self.calls = calls.Calls(
            control=self.control,
            gateway=f"{self.identity.node}/{self.identity.incarnation}",
        )
        self.directory = target_directory.Directory()
        self.waiting: dict[str, int] = {}
        self.running = 0
        self.draining = False
        self.forwarder: forward.Forwarder | None = None
        self._directory_changed = asyncio.Event()
        self._idle = asyncio.Event()
        self._runners: list[web.AppRunner] = []
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: settings.Gateway) -> "GatewayProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and connecting."""
        self.forwarder = forward.Forwarder.create()
        self.control.start()
        self.schedulers.start()
        self._task = asyncio.get_running_loop().create_task(self._report())
        for app, address in (
            (callers.application(self), self.config.callers),
            (announcements.application(self._relay), self.config.targets),
        ):
            runner = web.AppRunner(
                app, access_log=None, handler_cancellation=True
            )
            await runner.setup()
            await web.TCPSite(runner, address.host, address.port).start()
            self._runners.append(runner)

    async def finish(self) -> None:
        """Waits until no request waits or runs."""
        if self.running:
            await self._idle.wait()

    async def stop(self) -> None:
        """Closes everything."""
        if self._task is not None:
            self._task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        await self.schedulers.stop()
        await self.control.stop()
        if self.forwarder is not None:
            await self.forwarder.close()

    def drain(self) -> None:
        """Begins a graceful stop."""
        self.draining = True

    def ready(self) -> str:
        """Returns why the process is not ready, or ""."""
        if self.draining:
            return "draining"
        return "" if self.control.view.version else "no configuration yet"

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = asyncio.get_running_loop().time()
        return {
            "version": self.control.view.version,
            "staleness_s": self.control.staleness(now),
            "running": self.running,
            "waiting": self.waiting,
            "targets": sorted(self.directory.entries),
        }

    def models(self, request: web.Request) -> list[str]:
        """Returns the names of the routes that a caller may use."""
        view = self.control.view
        key = self.admission.key_of(view, request.headers.get("Authorization"))
        return [
            route.name
            for route in view.routes.values()
            if route.service is None
            and (
                route.open_team is not None
                or (key is not None and key.team in route.teams)
            )
        ]

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Answers a request to a model."""
        admitted = self._admit(request, document["model"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + callers.timeout_of(
            request, admitted.route.max_timeout_s
        )
        model, adapter = self.control.view.route_model(admitted.route)
        if not model:
            raise refusal.Refusal(
                f"route {admitted.route.name!r} is no model",
                status=404,
                code="unknown_route",
                step="admit",
            )
        self.running += 1
        try:
            address = await self._wait_for_replica(model, deadline)
            payload = {**document, "model": adapter or model}
            return await self._forward(
                request,
                address=address,
                path=request.path_qs,
                body=json.dumps(payload).encode(),
                route=admitted.route,
                timeout_s=deadline - loop.time(),
            )
        finally:
            self._request_ended()

    async def call(
        self, request: web.Request, route: str, body: bytes
    ) -> web.StreamResponse:
        """Answers a call of a plain service."""
        admitted = self._admit(request, route)
        found = self.control.view.services.get(admitted.route.service or "")
        if found is None:
            raise refusal.Refusal(
                f"route {route!r} is no service",
                status=404,
                code="unknown_route",
                step="admit",
            )
        path = f"/{request.match_info['path']}"
        timeout_s = callers.timeout_of(request, admitted.route.max_timeout_s)
        self.running += 1
        try:
            if any(
                rule.method == request.method
                and path.startswith(rule.path_prefix)
                for rule in found.non_repeatable
            ):
                return await self._call_once(
                    request, admitted, found, path, body, timeout_s
                )
            return await self._forward(
                request,
                address=self._service_address(found.name),
                path=path,
                body=body,
                route=admitted.route,
                timeout_s=timeout_s,
            )
        finally:
            self._request_ended()

    async def _call_once(
        self,
        request: web.Request,
        admitted: admission.Admitted,
        found: schema.Service,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> web.StreamResponse:
        key = request.headers.get("Idempotency-Key", "")
        if not 0 < len(key) <= 256:
            raise refusal.Refusal(
                "this call needs an Idempotency-Key of at most 256 characters",
                status=400,
                code="idempotency_key_required",
                step="parse",
            )
        claim = calls.Claim(
            team=admitted.team, route=admitted.route.name, key=key
        )
        # Found before the claim: a claim without a target would stay running.
        address = self._service_address(found.name)
        recorded = await self.calls.claim(
            claim,
            digest=calls.call_digest(
                method=request.method, path=path, body=body
            ),
            timeout=timeout_s,
        )
        request_id = callers.request_id(request)
        if recorded is not None:
            return web.Response(
                status=recorded.status,
                headers={**recorded.headers, "X-Request-Id": request_id},
                body=recorded.body,
            )
        assert self.forwarder is not None
        try:
            answer = await self.forwarder.send(
                self._target_request(
                    request,
                    address,
                    path,
                    body,
                    admitted.route,
                    timeout_s,
                )
            )
            content = await answer.read()
        except forward.NotSent as error:
            await self.calls.record(claim.finish("released"))
            raise _unreachable(error) from error
        except forward.AnswerLost as error:
            await self.calls.record(claim.finish("unknown"))
            raise _lost(error) from error
        await self.calls.record(
            claim.finish(
                "finished",
                status=answer.status,
                headers=list(answer.headers.items()),
                body=content,
            )
        )
        return web.Response(
            status=answer.status,
            headers={**answer.headers, "X-Request-Id": request_id},
            body=content,
        )

    async def _forward(
        self,
        request: web.Request,
        *,
        address: str,
        path: str,
        body: bytes,
        route: schema.Route,
        timeout_s: float,
    ) -> web.StreamResponse:
        assert self.forwarder is not None
        try:
            answer = await self.forwarder.send(
                self._target_request(
                    request, address, path, body, route, timeout_s
                )
            )
        except forward.NotSent as error:
            raise _unreachable(error) from error
        except forward.AnswerLost as error:
            raise _lost(error) from error
        response = web.StreamResponse(
            status=answer.status, headers=answer.headers
        )
        response.headers["X-Request-Id"] = callers.request_id(request)
        try:
            await response.prepare(request)
            async for chunk in answer.chunks():
                await response.write(chunk)
            await response.write_eof()
        except forward.AnswerLost:
            # The connection is cut so that the caller sees a truncated answer.
            if request.transport is not None:
                request.transport.abort()
        finally:
            answer.close()
        return response

    def _target_request(
        self,
        request: web.Request,
        address: str,
        path: str,
        body: bytes,
        route: schema.Route,
        timeout_s: float,
    ) -> forward.TargetRequest:
        return forward.TargetRequest(
            request_id=callers.request_id(request),
            address=address,
            method=request.method,
            path=path,
            headers=request.headers,
            body=body,
            priority=route.priority,
            timeout_s=timeout_s,
        )

    def _request_ended(self) -> None:
        self.running -= 1
        if not self.running and self.draining:
            self._idle.set()

    def _admit(self, request: web.Request, route: str) -> admission.Admitted:
        if self.draining:
            raise refusal.Refusal(
                "this gateway is stopping",
                status=503,
                code="draining",
                retry_after_s=1,
                step="admit",
            )
        return self.admission.admit(
            view=self.control.view,
            staleness=self.control.staleness(asyncio.get_running_loop().time()),
            route=route,
            authorization=request.headers.get("Authorization"),
        )

    async def _wait_for_replica(self, model: str, deadline: float) -> str:
        loop = asyncio.get_running_loop()
        self.waiting[model] = self.waiting.get(model, 0) + 1
        try:
            while (left := deadline - loop.time()) > 0:
                for entry in self.directory.available():
                    for replica in entry.state.replicas:
                        if (replica.model, replica.state) == (model, "loaded"):
                            return entry.state.address
                try:
                    async with asyncio.timeout(left):
                        await self._directory_changed.wait()
                except TimeoutError:
                    break
        finally:
            self.waiting[model] -= 1
        raise refusal.Refusal(
            f"no replica of {model!r} became ready in time",
            status=504,
            code="deadline_exceeded",
            retry_after_s=1,
            step="wait for replica",
        )

    def _service_address(self, name: str) -> str:
        for entry in self.directory.available():
            if name in entry.state.services:
                return entry.state.address
        raise refusal.Refusal(
            f"no target runs service {name!r} at the moment",
            status=503,
            code="no_target",
            retry_after_s=1,
            step="route",
        )

    def _relay(self, state: messages.TargetState) -> None:
        self._learn([state])
        self.schedulers.broadcast(messages.Announcements(targets=[state]))

    def _from_scheduler(self, message: messages.Message) -> None:
        if isinstance(message, messages.DirectoryUpdate):
            self._learn(message.targets)

    def _learn(self, states: list[messages.TargetState]) -> None:
        now = asyncio.get_running_loop().time()
        for state in states:
            self.directory.update(state, now)
        self._directory_changed.set()
        self._directory_changed = asyncio.Event()

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(_DEMAND_INTERVAL_S)
            self.directory.expire(asyncio.get_running_loop().time())
            items = [
                messages.DemandItem(model=model, waiting=count)
                for model, count in self.waiting.items()
                if count
            ]
            self.schedulers.broadcast(
                messages.Demand(
                    gateway=self.identity.node, full=True, items=items
                )
            )


def _unreachable(error: forward.NotSent) -> refusal.Refusal:
    return refusal.Refusal(
        "the target cannot be reached",
        status=503,
        code="target_unreachable",
        retry_after_s=1,
        step=error.step,
        peer=error.peer,
    )


def _lost(error: forward.AnswerLost) -> refusal.Refusal:
    return refusal.Refusal(
        "the target's answer was lost",
        status=503,
        code="answer_lost",
        not_run="unknown",
        step=error.step,
        peer=error.peer,
    )
