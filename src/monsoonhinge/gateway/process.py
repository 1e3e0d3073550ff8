"""The gateway process: wiring, lifecycle and state dump."""

import asyncio
import logging
import random
from typing import Any

from aiohttp import web

from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
from monsoonhinge.gateway import active_requests
from monsoonhinge.gateway import admission
from monsoonhinge.gateway import announcements
from monsoonhinge.gateway import attempts
from monsoonhinge.gateway import callers
from monsoonhinge.gateway import calls
from monsoonhinge.gateway import demand
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import forward
from monsoonhinge.gateway import grants
from monsoonhinge.gateway import metrics
from monsoonhinge.gateway import models
from monsoonhinge.gateway import queue
from monsoonhinge.gateway import refusal
from monsoonhinge.gateway import routing
from monsoonhinge.gateway import schedulers
from monsoonhinge.gateway import services
from monsoonhinge.gateway import target_table
from monsoonhinge.gateway import token_accounts
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

_TICK_S = 0.1
# Time for load balancers to notice that the gateway is not ready.
_DRAIN_NOTICE_S = 1.0
# Requests have ended by then; this is only for closing their connections.
_SHUTDOWN_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class GatewayProcess:
    """The gateway process: wires its components and runs periodic tasks.

    It is the request handler of the HTTP server, and the listener of the
    control client.
    """

    def __init__(
        self, config: settings.Gateway, *, enforce_budgets: bool = True
    ) -> None:
        """Creates the process without connecting.

        Args:
            config: Settings of the gateway.
            enforce_budgets: Whether requests need token grants; false only in
                tests without a budget lease holder.
        """
        self.config = config
        self.identity = service.make_identity(config, "gateway")
        self.control = control_client.Client(
            members=config.control, identity=self.identity, listener=self
        )
        self.schedulers = schedulers.SchedulerConnections(
            addresses=config.schedulers,
            identity=self.identity,
            availability_zone=config.availability_zone,
            on_message=self._on_scheduler_message,
            on_disconnected=lambda link: self.targets.forget_scheduler(link),
        )
        self.admission = admission.Admission(
            key_secret=config.key_secret.encode(),
            max_staleness_s=config.max_staleness_s,
        )
        self.calls = calls.CallClaims(
            control=self.control,
            gateway=f"{self.identity.node}/{self.identity.incarnation}",
        )
        self.active_requests = active_requests.ActiveRequests()
        accounts = token_accounts.TokenAccounts() if enforce_budgets else None
        self.dispatcher = dispatch.Dispatcher(
            waiting_queue=queue.Queue(
                max_count=config.max_waiting,
                max_bytes=config.max_waiting_bytes,
            ),
            router=routing.Router(
                availability_zone=config.availability_zone,
                rng=random.Random(),
            ),
            accounts=accounts,
        )
        self.targets = target_table.TargetTable(dispatcher=self.dispatcher)
        self.demand = demand.DemandReporter(
            dispatcher=self.dispatcher,
            send=self.schedulers.broadcast,
            gateway=self.identity.node,
        )
        self.grants = (
            grants.GrantRequester(
                accounts=accounts,
                dispatcher=self.dispatcher,
                scheduler_connections=self.schedulers,
                gateway=self.identity.node,
            )
            if accounts is not None
            else None
        )
        self.draining = False
        self._draining_at = 0.0
        self._target_client: forward.TargetClient | None = None
        self._model_handler: models.ModelHandler | None = None
        self._service_handler: services.ServiceHandler | None = None
        self._runners: list[web.AppRunner] = []
        self._supervisor = supervision.Supervisor()

    @classmethod
    def from_config(cls, config: settings.Gateway) -> "GatewayProcess":
        """Creates the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Connects to control members and schedulers, then listens."""
        self._target_client = forward.TargetClient.create()
        sender = attempts.RetryingSender(
            dispatcher=self.dispatcher,
            target_client=self._target_client,
            reporter=self.demand,
            rng=random.Random(),
        )
        self._model_handler = models.ModelHandler(
            view=lambda: self.control.view,
            admit=self._admit,
            sender=sender,
            active=self.active_requests,
        )
        self._service_handler = services.ServiceHandler(
            view=lambda: self.control.view,
            admit=self._admit,
            sender=sender,
            claims=self.calls,
            active=self.active_requests,
        )
        self.control.start()
        self.schedulers.start()
        self.demand.start()
        if self.grants is not None:
            self.grants.start()
        self._supervisor.start("periodic_tasks", self._run_periodic_tasks)
        await self._listen(
            announcements.application(self._on_announcement),
            self.config.targets,
        )
        await self._listen(callers.application(self), self.config.callers)

    async def finish(self) -> None:
        """Completes a graceful stop.

        Stops listening, waits until no request waits or runs and all outcomes
        are recorded, and returns unused tokens.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._draining_at + _DRAIN_NOTICE_S - loop.time())
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        await self.active_requests.wait_idle()
        await self.calls.wait_recorded()
        if self.grants is not None:
            await self.grants.return_all()

    async def stop(self) -> None:
        """Closes all connections and cancels all tasks."""
        self._supervisor.cancel()
        for runner in self._runners:
            await runner.cleanup()
        if self.grants is not None:
            await self.grants.stop()
        await self.demand.stop()
        await self.calls.stop()
        await self.schedulers.stop()
        await self.control.stop()
        if self._target_client is not None:
            await self._target_client.close()

    def drain(self) -> None:
        """Starts a graceful stop; ``finish`` completes it."""
        if not self.draining:
            self.draining = True
            self._draining_at = asyncio.get_running_loop().time()

    def not_ready_reason(self) -> str:
        """Returns why the process is not ready, or ""."""
        if self.draining:
            return "draining"
        now = asyncio.get_running_loop().time()
        if not self.control.view.version:
            return "no configuration yet"
        if self.control.staleness(now) > self.config.max_staleness_s:
            return "the configuration cannot be confirmed"
        return ""

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = asyncio.get_running_loop().time()
        accounts = self.dispatcher.accounts
        ejected_until = self.dispatcher.ejections.ejected_until()
        return {
            "version": self.control.view.version,
            "staleness_s": self.control.staleness(now),
            "draining": self.draining,
            "running": self.active_requests.count,
            "waiting": [
                {
                    "lane": item.resource,
                    "team": item.team,
                    "count": item.count,
                    "earliest_deadline_s": item.earliest_deadline - now,
                }
                for item in self.dispatcher.queue.waiting_counts()
            ],
            "tokens": {
                team: account.balance(now)
                for team, account in (
                    accounts.by_team if accounts else {}
                ).items()
            },
            "targets": self.targets.usable(),
            "loads": self.dispatcher.router.loads(),
            "ejected_for_s": {
                name: until - now
                for name, until in ejected_until.items()
                if until > now
            },
        }

    def config_changed(self, view: config_view.View) -> None:
        """Cancels and refuses the requests of withdrawn keys."""
        used = self.active_requests.key_hashes().union(
            self.dispatcher.queue.key_hashes()
        )
        for key_hash in used:
            if key_hash not in view.keys_by_hash:
                reason = admission.invalid_key()
                self.dispatcher.refuse_key(key_hash, reason)
                self.active_requests.cancel(key_hash, reason)

    def closing(self) -> bool:
        """Returns whether connections are closed after each response."""
        return self.draining

    def models(self, request: web.Request) -> list[str]:
        """Returns the names of the routes that a caller may use."""
        view = self.control.view
        key = self.admission.find_key(
            view, request.headers.get("Authorization")
        )
        return [
            route.name
            for route in view.routes.values()
            if route.service is None
            and (
                route.open_team is not None
                or (key is not None and key.team in route.teams)
            )
        ]

    def model_body_limit(self, request: web.Request) -> int:
        """Returns the largest body of any model route, in bytes.

        Raises:
            refusal.Refusal: The key is not valid.
        """
        view = self.control.view
        self.admission.find_key(view, request.headers.get("Authorization"))
        return max(
            (
                route.max_body_bytes
                for route in view.routes.values()
                if route.service is None
            ),
            default=0,
        )

    async def complete(
        self, request: web.Request, document: dict[str, Any], body: bytes
    ) -> web.StreamResponse:
        """Serves a request to a model; see ``callers.RequestHandler``."""
        assert self._model_handler is not None
        return await self._model_handler.complete(request, document, body)

    async def call(
        self, request: web.Request, route: str
    ) -> web.StreamResponse:
        """Serves a call to a service; see ``callers.RequestHandler``."""
        assert self._service_handler is not None
        return await self._service_handler.call(request, route)

    async def _listen(
        self, app: web.Application, address: settings.Address
    ) -> None:
        # The logger of the HTTP server is disabled, because it logs excerpts
        # of malformed requests, which may contain a key.
        http_logger = logging.getLogger("monsoonhinge.gateway.http")
        http_logger.disabled = True
        runner = web.AppRunner(
            app,
            access_log=None,
            logger=http_logger,
            handler_cancellation=True,
            auto_decompress=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)

    def _admit(
        self, request: web.Request, route: str
    ) -> admission.AdmittedRequest:
        return self.admission.admit(
            view=self.control.view,
            staleness_s=self.control.staleness(
                asyncio.get_running_loop().time()
            ),
            route=route,
            authorization=request.headers.get("Authorization"),
        )

    def _on_announcement(self, state: messages.TargetState) -> None:
        self.targets.apply_announcements(
            [state], asyncio.get_running_loop().time()
        )
        self.schedulers.broadcast(messages.Announcements(targets=[state]))

    def _on_scheduler_message(
        self, link: object, message: messages.Message
    ) -> None:
        now = asyncio.get_running_loop().time()
        match message:
            case messages.DirectoryUpdate():
                self.targets.apply_directory_update(link, message, now)
            case messages.Loads():
                self.targets.apply_heartbeat(link, message, now)
            case messages.Verdict():
                for item in message.items:
                    resource = dispatch.resource_key(item.model, item.adapter)
                    self.dispatcher.readiness.update(
                        resource,
                        ready_in_s=item.ready_in_ms / 1000,
                        refused=item.refused,
                        reason=item.reason,
                        now=now,
                    )
                    self.dispatcher.readiness_changed(resource)

    async def _run_periodic_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        stale = refusal.Refusal(
            "the configuration cannot be confirmed at the moment",
            status=503,
            code="stale_configuration",
            retry_after_s=1,
            step="run",
        )
        while True:
            await asyncio.sleep(_TICK_S)
            now = loop.time()
            self.targets.expire(now)
            self.schedulers.subscribe_loads(self.demand.recent_models(now))
            if self.control.staleness(now) > self.config.max_stream_staleness_s:
                self.active_requests.cancel_keyed(stale)
            metrics.WAITING.set(self.dispatcher.queue.count)
            metrics.WAITING_BYTES.set(self.dispatcher.queue.size_bytes)
