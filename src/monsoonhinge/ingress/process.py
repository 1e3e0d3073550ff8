"""The ingress process: wiring, lifecycle and state dump."""

import asyncio
import random
from typing import Any

from aiohttp import web

from monsoonhinge.config import view as config_view
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import crash_reports
from monsoonhinge.ingress import dialect
from monsoonhinge.ingress import fleet_client
from monsoonhinge.ingress import gateway_context
from monsoonhinge.ingress import listeners
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import metrics
from monsoonhinge.ingress import model_delays
from monsoonhinge.ingress import prompt_quarantine
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import rate_limiter
from monsoonhinge.ingress import readiness
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import request_handler
from monsoonhinge.ingress import resumption
from monsoonhinge.ingress import retry_budget
from monsoonhinge.ingress import state_dump
from monsoonhinge.ingress import stream_origins
from monsoonhinge.ingress import target_client
from monsoonhinge.ingress import target_notices
from monsoonhinge.ingress import target_table
from monsoonhinge.ingress import wait_queue
from monsoonhinge.protocol import fleet
from monsoonhinge.runtime import events
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

_TICK_S = 0.1

# Time that an external load balancer needs to detect that the gateway is not
# ready.
_DRAIN_DETECTION_S = 2.5
_STOP_MARGIN_S = 0.6

# Time for the requests of connections that were accepted last to arrive.
_LAST_REQUESTS_S = 0.3

# Requests that still wait this long before the end of the grace period are
# refused, so that callers can retry them at another gateway.
_REFUSE_WAITING_BEFORE_END_S = 2.5


class IngressProcess:
    """Gateway that routes HTTP requests to services by host and path.

    Attributes:
        targets: Known targets.
        handler: HTTP handler; None before the start.
        draining: Whether a graceful stop has begun.
    """

    def __init__(
        self, config: settings.Ingress, *, request_dialect: dialect.Dialect
    ) -> None:
        self.config = config
        self.identity = service.make_identity(config, "gateway")
        self.targets = target_table.TargetTable(
            known_since=asyncio.get_running_loop().time()
        )
        self.balancer = load_balancer.LoadBalancer(
            targets=self.targets, availability_zone=config.availability_zone
        )
        self.wait_queue = wait_queue.WaitQueue(balancer=self.balancer)
        self.model_delays = model_delays.ModelDelays()
        self.quarantine = prompt_quarantine.PromptQuarantine()
        self.fleet_client = fleet_client.FleetClient(
            members=fleet_client.seed_members(config),
            identity=self.identity,
            listener=self,
            on_registrations=self._on_registrations,
            on_placements=self._on_placements,
            on_quarantines=self._on_quarantines,
            on_rate_limits=self._on_rate_limits,
            on_model_delays=self._on_model_delays,
            current_departures=self._current_departures,
            current_demand=self._current_demand,
            current_origins=lambda: self.origins.sent(
                asyncio.get_running_loop().time()
            ),
        )
        self.origins = stream_origins.StreamOrigins(
            targets=self.targets, send=self.fleet_client.send_origins
        )
        self.admission = admission.Admission(
            key_secret=config.key_secret.encode(),
            max_staleness_s=config.max_staleness_s,
            config_deadline_s=config.config_deadline_ms / 1000,
            rng=random.Random(),
        )
        self.retry_budget = retry_budget.RetryBudget(
            ratio=config.retry_ratio,
            extra=config.retry_extra,
            window_s=config.retry_window_s,
        )
        self.quota = quota.Quota(
            gateway=f"{self.identity.node}/{self.identity.incarnation}",
            send=self.fleet_client.request_grant,
        )
        self.rate_limiter = rate_limiter.RateLimiter(
            request_permit=self.fleet_client.request_permit,
            report=self.fleet_client.report_to_all,
            dispatch_at=self._dispatch_waiting_at,
        )
        self.notices = target_notices.TargetNotices(
            request_dialect=request_dialect,
            targets=self.targets,
            limiter=self.rate_limiter,
            report=self.fleet_client.report_to_all,
            on_pause=self._target_paused,
        )
        self.draining = False
        self.handler: request_handler.RequestHandler | None = None
        self._dialect = request_dialect
        self._target_client: target_client.TargetClient | None = None
        self._crash_reporter: crash_reports.CrashReporter | None = None
        self._listeners = listeners.HttpListeners()
        self._supervisor = supervision.Supervisor()

    async def start(self) -> None:
        """Starts the listeners and connects to the control members."""
        loop = asyncio.get_running_loop()
        self._target_client = target_client.TargetClient()
        self._crash_reporter = crash_reports.CrashReporter(
            refuses_connections=self._target_client.refuses_connections,
            send=self.fleet_client.report_to_all,
        )
        context = gateway_context.GatewayContext(
            dialect=self._dialect,
            target_client=self._target_client,
            balancer=self.balancer,
            wait_queue=self.wait_queue,
            retry_budget=self.retry_budget,
            rate_limiter=self.rate_limiter,
            notices=self.notices,
            quarantine=self.quarantine,
            crash_reporter=self._crash_reporter,
            origins=self.origins,
            still_authorized=lambda admitted: self.admission.still_authorized(
                admitted,
                view=self.fleet_client.view,
                staleness_s=self.fleet_client.staleness(loop.time()),
            ),
            hopeless_wait=self._hopeless_wait,
            demand_changed=self.fleet_client.demand_changed,
            dispatch_at=self._dispatch_waiting_at,
        )
        self.handler = request_handler.RequestHandler(
            context=context,
            client=self.fleet_client,
            admission_control=self.admission,
            token_quota=self.quota,
            resumptions=resumption.Resumptions(
                origins=self.origins,
                targets=self.targets,
                ask_members=self.fleet_client.find_stream_origin,
            ),
        )
        self.fleet_client.start()
        await self._listeners.listen(self.handler.handle, self.config.callers)
        await self._listeners.listen(self._readiness, self.config.readiness)
        self._supervisor.start("periodic_tasks", self._run_periodic_tasks)
        self._supervisor.start("demand", self.fleet_client.repeat_demand)

    def drain(self) -> None:
        """Begins a graceful stop: reports not ready and closes connections."""
        self.draining = True
        if self.handler is not None:
            self.handler.close_connections = True

    async def finish(self) -> None:
        """Waits until the load balancer has reacted and all requests ended."""
        loop = asyncio.get_running_loop()
        notice_until = loop.time() + _DRAIN_DETECTION_S
        end_at = loop.time() + self.config.stop_grace_s
        end_at -= _STOP_MARGIN_S + _LAST_REQUESTS_S
        loop.call_at(
            end_at - _REFUSE_WAITING_BEFORE_END_S, self._refuse_waiting
        )
        await asyncio.sleep(notice_until - loop.time())
        # A load balancer without enough other gateways keeps sending requests.
        # New connections are therefore accepted until the end, and requests on
        # them are refused immediately.
        if self.handler is not None:
            self.handler.refuse_new_requests = True
            await self.handler.wait_until_idle(end_at)

    def reload(self, config: settings.Ingress) -> None:
        """Applies changed seeds; other changed settings need a restart."""
        for member in fleet_client.seed_members(config):
            self.fleet_client.add_member(member)

    async def stop(self) -> None:
        """Cancels all tasks and closes all connections and listeners.

        In a planned stop, the requests of the connections that were accepted
        last are answered first.
        """
        if self.draining:
            await self._listeners.stop_accepting()
            await asyncio.sleep(_LAST_REQUESTS_S)
        self._supervisor.cancel()
        await self._listeners.close()
        if self._crash_reporter is not None:
            self._crash_reporter.stop()
        await self.quota.stop()
        await self.fleet_client.stop()
        if self._target_client is not None:
            await self._target_client.close()

    def not_ready_reason(self) -> str:
        """Returns the reason why the process is not ready, or ""."""
        if self.draining:
            return "draining"
        if not self.fleet_client.view.version:
            return "no configuration yet"
        if self._is_cut_off():
            return "stale configuration"
        return "" if self.targets.by_name else "no target yet"

    def dump(self) -> dict[str, Any]:
        """Returns the state dump for operators."""
        return state_dump.dump(
            handler=self.handler,
            client=self.fleet_client,
            balancer=self.balancer,
            waiting=self.wait_queue,
            quarantine=self.quarantine,
            now=asyncio.get_running_loop().time(),
        )

    def config_changed(self, view: config_view.View) -> None:
        """Dispatches waiting requests under a new configuration."""
        self.wait_queue.fail_each(lambda queued: queued.authorization_error())
        self._dispatch_waiting()

    def _on_registrations(
        self, registrations: list[fleet.Registration]
    ) -> None:
        now = asyncio.get_running_loop().time()
        for registration in registrations:
            previous = self.targets.incarnation_and_state(registration.target)
            if not self.targets.register(registration, now):
                continue
            if previous != (registration.incarnation, registration.state):
                events.emit(
                    events.TARGET,
                    target=registration.target,
                    incarnation=registration.incarnation,
                    sequence=registration.sequence,
                    state=registration.state,
                    service=registration.service,
                    software_version=registration.software_version,
                )
                self.origins.send_unsent(registration.service, now)
        self.quota.gateway_count = self.fleet_client.gateway_count
        self.retry_budget.gateway_count = self.fleet_client.gateway_count
        self.rate_limiter.gateway_count = self.fleet_client.gateway_count
        self._refuse_hopeless()
        self._dispatch_waiting()

    def _on_placements(self, message: fleet.Placements) -> None:
        now = asyncio.get_running_loop().time()
        if self.targets.apply_placements(message, now):
            self._dispatch_waiting()

    def _on_model_delays(self, message: fleet.ModelDelays) -> None:
        if self.model_delays.apply(message, asyncio.get_running_loop().time()):
            self._refuse_hopeless()

    def _on_rate_limits(self, message: fleet.RateLimits) -> None:
        now = asyncio.get_running_loop().time()
        self.rate_limiter.apply(message, self.targets, now)

    def _on_quarantines(
        self, member: str, message: fleet.PromptQuarantines
    ) -> None:
        now = asyncio.get_running_loop().time()
        if self._crash_reporter is not None:
            self._crash_reporter.set_suspects(member, message.suspects)
        if self.quarantine.apply(message, now):
            self.wait_queue.fail_each(
                lambda queued: self.quarantine.refusal(queued.shared_parts, now)
            )

    def _target_paused(self, until: float) -> None:
        """Refuses what cannot wait for a target that asked for a pause."""
        self._refuse_hopeless()
        self._dispatch_waiting_at(until)

    def _refuse_hopeless(self) -> None:
        self.wait_queue.fail_each(
            lambda queued: (
                queued.authorization_error()
                or self._hopeless_wait(
                    queued.requirements, queued.queue_deadline
                )
            )
        )

    def _hopeless_wait(
        self, requirements: load_balancer.Requirements, queue_deadline: float
    ) -> refusal.Refusal | None:
        return readiness.hopeless_wait(
            requirements,
            balancer=self.balancer,
            delays=self.model_delays,
            queue_deadline=queue_deadline,
            cut_off=self._is_cut_off(),
            now=asyncio.get_running_loop().time(),
        )

    def _is_cut_off(self) -> bool:
        """Returns whether the configuration is unconfirmed for too long."""
        now = asyncio.get_running_loop().time()
        return self.fleet_client.staleness(now) > self.config.max_staleness_s

    def _refuse_waiting(self) -> None:
        self.wait_queue.fail_all(
            refusal.Refusal(
                refusal.Reason.STOPPING, retry_after_s=0.05, step="drain"
            )
        )

    def _dispatch_waiting(self) -> None:
        self.wait_queue.dispatch(asyncio.get_running_loop().time())

    def _dispatch_waiting_at(self, at: float) -> None:
        asyncio.get_running_loop().call_at(at, self._dispatch_waiting)

    def _current_departures(self) -> list[fleet.Registration]:
        return self.targets.departures(asyncio.get_running_loop().time())

    def _current_demand(self) -> fleet.FleetDemand:
        now = asyncio.get_running_loop().time()
        return fleet.FleetDemand(
            gateway=self.identity.node,
            needs=self.wait_queue.model_needs(now),
            uses=[
                fleet.TargetUse(
                    target=name, model=model, adapter=adapter, running=running
                )
                for name, target in self.targets.by_name.items()
                for (model, adapter), running in target.running.items()
                if model and running
            ],
            unreachable=self.targets.unreachable_targets(now),
        )

    def _open_startup_gate(self) -> None:
        """Opens the startup gate once the configuration is confirmed."""
        if (
            self.handler is not None
            and self.fleet_client.view.version
            and not self._is_cut_off()
        ):
            self.handler.startup_gate.open()

    async def _readiness(self, request: web.BaseRequest) -> web.Response:
        reason = self.not_ready_reason()
        return web.Response(
            text=f"{reason or 'ready'}\n", status=503 if reason else 200
        )

    async def _run_periodic_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            with supervision.contain("maintain_accounts"):
                self.quota.maintain_accounts()
            with supervision.contain("dispatch"):
                self._dispatch_waiting()
            with supervision.contain("refuse_hopeless"):
                if self._is_cut_off():
                    self._refuse_hopeless()
            self._open_startup_gate()
            metrics.WAITING_REQUESTS.set(self.wait_queue.count())
            metrics.CONFIG_STALENESS_SECONDS.set(
                self.fleet_client.staleness(loop.time())
            )
