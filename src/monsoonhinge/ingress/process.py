"""The ingress process."""

import asyncio
import contextlib
import logging
import random
from typing import Any

from aiohttp import web

from monsoonhinge.config import view as config_view
from monsoonhinge.gateway import wallet
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import balance
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import exchange
from monsoonhinge.ingress import link
from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import patience
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import retries
from monsoonhinge.ingress import shared
from monsoonhinge.ingress import targets as target_table
from monsoonhinge.ingress import upstream
from monsoonhinge.ingress import waiting
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings

_TICK_S = 0.1

# A balancer needs this long to notice that the gateway is not ready.
_DRAIN_NOTICE_S = 2.5
_STOP_MARGIN_S = 0.6

# A request that still waits this long before the end is refused, so that it
# can run elsewhere.
_LAST_START_S = 2.5
_SHUTDOWN_TIMEOUT_S = 0.5

# Idle connections of callers are closed by the callers first.
_IDLE_TIMEOUT_S = 75.0
_MAX_HEADER_BYTES = 32 * 1024

_DEFAULT_EXPECTED_S = 1.0


class IngressProcess:
    """Serves callers whose requests are recognised by host and path."""

    def __init__(
        self, config: settings.Ingress, *, wire: dialect.Dialect
    ) -> None:
        self.config = config
        self.identity = service.identity(config, "gateway")
        self.targets = target_table.Targets()
        self.balancer = balance.Balancer(
            targets=self.targets, availability_zone=config.availability_zone
        )
        self.waiting = waiting.WaitingRoom(balancer=self.balancer)
        self.link = link.FleetLink(
            members=[
                settings.Member(
                    name=seed.host,
                    address=settings.Address(
                        host=seed.host, port=config.control_port
                    ),
                )
                for seed in config.seeds
            ],
            identity=self.identity,
            listener=self,
            registered=self._registered,
            placed=self._placed,
            demand=self._demand,
        )
        self.admission = admission.Admission(
            key_secret=config.key_secret.encode(),
            max_staleness_s=config.max_staleness_s,
            rng=random.Random(),
        )
        self.retries = retries.RetryBudget(
            ratio=config.retry_ratio,
            extra=config.retry_extra,
            window_s=config.retry_window_s,
        )
        self.quota = quota.Quota(
            gateway=f"{self.identity.node}/{self.identity.incarnation}",
            send=self.link.request_grant,
        )
        self.draining = False
        self.open = 0
        self._all_ended = asyncio.Event()
        self._dialect = wire
        self._shared: shared.Shared | None = None
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening and connecting."""
        loop = asyncio.get_running_loop()
        self._shared = shared.Shared(
            dialect=self._dialect,
            upstream=upstream.Upstream(),
            balancer=self.balancer,
            waiting=self.waiting,
            retries=self.retries,
            still_valid=lambda admitted: self.admission.still_valid(
                admitted,
                view=self.link.view,
                staleness=self.link.staleness(loop.time()),
            ),
            demand_changed=self.link.demand_changed,
            wake_at=self._wake_at,
            expected_s=self._expected_s,
        )
        self.link.start()
        await self._listen(self._handle, self.config.callers)
        await self._listen(self._readiness, self.config.readiness)
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self.link.repeat_demand()),
        ]

    def drain(self) -> None:
        """Begins a graceful stop."""
        self.draining = True

    async def finish(self) -> None:
        """Waits until the balancer has noticed and all requests have ended."""
        loop = asyncio.get_running_loop()
        notice_until = loop.time() + _DRAIN_NOTICE_S
        end_at = loop.time() + self.config.stop_grace_s - _STOP_MARGIN_S
        loop.call_at(end_at - _LAST_START_S, self._refuse_waiting)
        await asyncio.sleep(notice_until - loop.time())
        for server in self._servers:
            server.pre_shutdown()
        for site in list(self._runners[0].sites):
            await site.stop()
        self._all_ended.clear()
        if self.open:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_at):
                    await self._all_ended.wait()

    def reload(self, config: settings.Ingress) -> None:
        """Takes the seeds of changed settings; the rest needs a restart."""
        for seed in config.seeds:
            self.link.meet(
                settings.Member(
                    name=seed.host,
                    address=settings.Address(
                        host=seed.host, port=config.control_port
                    ),
                )
            )

    async def stop(self) -> None:
        """Closes everything."""
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        await self.quota.stop()
        await self.link.stop()
        if self._shared is not None:
            await self._shared.upstream.close()

    def ready(self) -> str:
        """Returns why the process is not ready, or ""."""
        if self.draining:
            return "draining"
        if not self.link.view.version:
            return "no configuration yet"
        now = asyncio.get_running_loop().time()
        if self.link.staleness(now) > self.config.max_staleness_s:
            return "stale configuration"
        return "" if self.targets.by_name else "no target yet"

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = asyncio.get_running_loop().time()
        return {
            "version": self.link.view.version,
            "staleness_s": self.link.staleness(now),
            "open": self.open,
            "waiting": self.waiting.count(),
            "gateways": self.link.gateways,
            "fencing": self.targets.fencing,
            "targets": {
                name: {
                    "state": target.registration.state,
                    "address": target.registration.address,
                    "models": sorted(target.models),
                    "running": target.total(),
                    "answer_s": target.answer_s,
                }
                for name, target in self.targets.by_name.items()
            },
            "ejected_until": self.balancer.ejections.until(),
        }

    def config_changed(self, view: config_view.View) -> None:
        """Uses a new configuration."""
        events.emit(events.CONFIG, version=view.version)
        self._wake()

    def _registered(self, registrations: list[fleet.Registration]) -> None:
        for registration in registrations:
            known = self.targets.state(registration.target)
            if not self.targets.register(registration):
                continue
            if known != (registration.incarnation, registration.state):
                events.emit(
                    events.TARGET,
                    target=registration.target,
                    incarnation=registration.incarnation,
                    sequence=registration.sequence,
                    state=registration.state,
                    service=registration.service,
                )
        self.quota.gateways = self.link.gateways
        self.retries.gateways = self.link.gateways
        self._wake()

    def _placed(self, message: fleet.Placements) -> None:
        now = asyncio.get_running_loop().time()
        if self.targets.place(message, now):
            self._wake()

    def _refuse_waiting(self) -> None:
        self.waiting.refuse_all(
            refusal.Refusal(
                refusal.Reason.NOT_IN_TIME, retry_after_s=0.05, step="drain"
            )
        )

    def _wake(self) -> None:
        self.waiting.wake(asyncio.get_running_loop().time())

    def _wake_at(self, at: float) -> None:
        asyncio.get_running_loop().call_at(at, self._wake)

    def _demand(self) -> fleet.FleetDemand:
        now = asyncio.get_running_loop().time()
        return fleet.FleetDemand(
            gateway=self.identity.node,
            needs=self.waiting.needs(now),
            uses=[
                fleet.TargetUse(
                    target=name, model=model, adapter=adapter, running=running
                )
                for name, target in self.targets.by_name.items()
                for (model, adapter), running in target.running.items()
                if model and running
            ],
        )

    def _expected_s(self, need: balance.Need) -> float:
        now = asyncio.get_running_loop().time()
        ready_at = [
            target.ready_at[need.model]
            for target in self.targets.of_service(need.service)
            if need.model in target.ready_at
        ]
        return max(0.05, min(ready_at, default=now + _DEFAULT_EXPECTED_S) - now)

    async def _listen(self, handler: Any, address: settings.Address) -> None:
        # The HTTP server logs excerpts of malformed requests, which may hold
        # a key; its logger is switched off.
        silent = logging.getLogger("monsoonhinge.ingress.http")
        silent.disabled = True
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            logger=silent,
            keepalive_timeout=_IDLE_TIMEOUT_S,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)
        if address is self.config.callers:
            self._servers.append(server)

    async def _readiness(self, request: web.BaseRequest) -> web.Response:
        reason = self.ready()
        return web.Response(
            text=f"{reason or 'ready'}\n", status=503 if reason else 200
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at = asyncio.get_running_loop().time()
        self.open += 1
        metrics.RUNNING.inc()
        try:
            return await self._answer(request, arrived_at)
        finally:
            self.open -= 1
            if not self.open:
                self._all_ended.set()
            metrics.RUNNING.dec()

    async def _answer(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.StreamResponse:
        running = None
        request_id, execution = "", "unknown"
        try:
            call = self._read(request)
            request_id = call.request_id
            admitted = self._admit(call)
            execution = admitted.route.execution
            limits = patience.limits(
                admitted.route, time_left_ms=call.time_left_ms, now=arrived_at
            )
            call.body = await self._body(request)
            assert self._shared is not None
            running = exchange.Exchange(
                services=self._shared,
                closing=self.draining,
                request=request,
                call=call,
                admitted=admitted,
                limits=limits,
            )
            response = await self._charged(running)
        except refusal.Refusal as error:
            response = self._refuse(request_id, error)
            if not request.content.at_eof():
                response.force_close()
        except exchange.BrokenOff as error:
            self._log_end(request_id, running, "broken_off", execution)
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self._log_end(request_id, running, "caller_left", execution)
            raise
        self._log_end(request_id, running, str(response.status), execution)
        if self.draining and not response.prepared:
            _say_close(response)
        return response

    def _read(self, request: web.BaseRequest) -> dialect.Call:
        try:
            return self._dialect.read(request)
        except dialect.Malformed as error:
            raise refusal.Refusal(
                refusal.Reason.MALFORMED, step=str(error)
            ) from error

    def _admit(self, call: dialect.Call) -> admission.Admitted:
        return self.admission.admit(
            call,
            view=self.link.view,
            staleness=self.link.staleness(asyncio.get_running_loop().time()),
        )

    async def _body(self, request: web.BaseRequest) -> bytes:
        limit = self.link.view.ingress_limits.max_body_bytes
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
        charge = await self._charge(running)
        try:
            return await running.run()
        finally:
            if charge is not None and not running.ran:
                self.quota.refund(charge)

    async def _charge(self, running: exchange.Exchange) -> wallet.Charge | None:
        admitted = running.admitted
        team = admitted.team
        if team is None or team.unlimited or not admitted.tokens:
            return None
        left_s = running.limits.deadline - asyncio.get_running_loop().time()
        charge = await self.quota.charge(
            team, admitted.tokens, time_left_s=left_s
        )
        if charge is None:
            retry_after_s = self.quota.retry_after_s(team.name)
            events.emit(
                events.QUOTA,
                request_id=running.call.request_id,
                team=team.name,
                tokens=admitted.tokens,
                rate=team.tokens_per_s,
                retry_after_s=round(retry_after_s, 3),
                outcome="refused",
            )
            raise refusal.Refusal(
                refusal.Reason.OVER_QUOTA,
                retry_after_s=retry_after_s,
                step="charge",
            )
        return charge

    def _refuse(self, request_id: str, error: refusal.Refusal) -> web.Response:
        events.emit(
            events.REFUSAL,
            request_id=request_id,
            reason=error.reason.value,
            step=error.step,
            peer=error.peer,
            status=error.status,
            retry_after_s=error.retry_after_s,
            config=self.link.view.version,
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
        first_byte_at = running.first_byte_at
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
            attempts=running.ran,
            rejected=running.rejected,
            first_byte_s=first_s,
            total_s=round(now - arrived_at, 4),
            config=running.admitted.version,
            outcome=outcome,
        )

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            self.quota.tick()
            self._wake()
            metrics.WAITING.set(self.waiting.count())
            metrics.STALENESS_SECONDS.set(self.link.staleness(loop.time()))


def _say_close(response: web.StreamResponse) -> None:
    response.force_close()
    response.headers["Connection"] = "close"
