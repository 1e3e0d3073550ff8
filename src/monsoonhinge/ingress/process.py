"""The ingress process."""

import asyncio
import contextlib
import logging
import random
from typing import Any

from aiohttp import web

from monsoonhinge.config import view as config_view
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import balance
from monsoonhinge.ingress import callers
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import link
from monsoonhinge.ingress import metrics
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


class IngressProcess:
    """Serves callers whose requests are recognised by host and path."""

    def __init__(
        self, config: settings.Ingress, *, wire: dialect.Dialect
    ) -> None:
        self.config = config
        self.identity = service.make_identity(config, "gateway")
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
        self.callers: callers.Callers | None = None
        self._dialect = wire
        self._upstream: upstream.Upstream | None = None
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening and connecting."""
        loop = asyncio.get_running_loop()
        self._upstream = upstream.Upstream()
        services = shared.Shared(
            dialect=self._dialect,
            upstream=self._upstream,
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
        )
        self.callers = callers.Callers(
            services=services,
            fleet_link=self.link,
            gate=self.admission,
            tokens=self.quota,
        )
        self.link.start()
        await self._listen(self.callers.handle, self.config.callers)
        await self._listen(self._readiness, self.config.readiness)
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self.link.repeat_demand()),
        ]

    def drain(self) -> None:
        """Begins a graceful stop."""
        self.draining = True
        if self.callers is not None:
            self.callers.closing = True

    async def finish(self) -> None:
        """Waits until the balancer has noticed and all requests have ended."""
        loop = asyncio.get_running_loop()
        notice_until = loop.time() + _DRAIN_NOTICE_S
        end_at = loop.time() + self.config.stop_grace_s - _STOP_MARGIN_S
        loop.call_at(end_at - _LAST_START_S, self._refuse_waiting)
        await asyncio.sleep(notice_until - loop.time())
        # A balancer without enough other gateways keeps sending, so that new
        # connections are accepted until the end and refused at once.
        served = self.callers
        if served is not None:
            served.refusing = True
        if served is not None and served.open:
            served.all_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_at):
                    await served.all_ended.wait()

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
        if self._upstream is not None:
            await self._upstream.close()

    def not_ready_reason(self) -> str:
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
            "open": self.callers.open if self.callers else 0,
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
        now = asyncio.get_running_loop().time()
        for registration in registrations:
            known = self.targets.state(registration.target)
            if not self.targets.register(registration, now):
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
                refusal.Reason.STOPPING, retry_after_s=0.05, step="drain"
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
            unreachable=self.targets.unreachable(now),
        )

    def _end_startup(self) -> None:
        """Lets waiting requests in once the configuration is confirmed."""
        now = asyncio.get_running_loop().time()
        if (
            self.callers is not None
            and self.link.view.version
            and self.link.staleness(now) <= self.config.max_staleness_s
        ):
            self.callers.startup.finish()

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

    async def _readiness(self, request: web.BaseRequest) -> web.Response:
        reason = self.not_ready_reason()
        return web.Response(
            text=f"{reason or 'ready'}\n", status=503 if reason else 200
        )

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            self.quota.tick()
            self._wake()
            self._end_startup()
            metrics.WAITING.set(self.waiting.count())
            metrics.STALENESS_SECONDS.set(self.link.staleness(loop.time()))
