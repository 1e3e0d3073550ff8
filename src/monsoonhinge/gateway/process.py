"""The gateway process."""

import asyncio
import logging
import random
from typing import Any

from aiohttp import web

from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
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
from monsoonhinge.gateway import sessions
from monsoonhinge.gateway import targets
from monsoonhinge.gateway import wallet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings

_TICK_S = 0.1
# A load balancer needs this long to see that the gateway is not ready.
_DRAIN_NOTICE_S = 1.0
# Requests have ended before the connections are closed.
_SHUTDOWN_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class GatewayProcess:
    """Serves callers."""

    def __init__(
        self, config: settings.Gateway, *, enforce_budgets: bool = True
    ) -> None:
        """Makes the process.

        Args:
            config: Settings.
            enforce_budgets: Whether requests need token grants; only tests
                without a budget holder run without them.
        """
        self.config = config
        self.identity = service.make_identity(config, "gateway")
        self.control = control_client.Client(
            members=config.control, identity=self.identity, listener=self
        )
        self.schedulers = schedulers.Schedulers(
            addresses=config.schedulers,
            identity=self.identity,
            availability_zone=config.availability_zone,
            on_message=self._from_scheduler,
            on_lost=lambda link: self.targets.forget_source(link),
        )
        self.admission = admission.Admission(
            key_secret=config.key_secret.encode(),
            max_staleness_s=config.max_staleness_s,
        )
        self.calls = calls.Calls(
            control=self.control,
            gateway=f"{self.identity.node}/{self.identity.incarnation}",
        )
        self.sessions = sessions.Sessions()
        team_tokens = wallet.Wallet() if enforce_budgets else None
        self.dispatcher = dispatch.Dispatcher(
            waiting=queue.Queue(
                max_count=config.max_waiting,
                max_bytes=config.max_waiting_bytes,
            ),
            router=routing.Router(
                availability_zone=config.availability_zone,
                rng=random.Random(),
            ),
            team_tokens=team_tokens,
        )
        self.targets = targets.Targets(dispatcher=self.dispatcher)
        self.demand = demand.Reporter(
            dispatcher=self.dispatcher,
            send=self.schedulers.broadcast,
            gateway=self.identity.node,
        )
        self.grants = (
            grants.Grants(
                team_tokens=team_tokens,
                dispatcher=self.dispatcher,
                holders=self.schedulers,
                gateway=self.identity.node,
            )
            if team_tokens is not None
            else None
        )
        self.draining = False
        self._draining_at = 0.0
        self._forwarder: forward.Forwarder | None = None
        self._models: models.ModelPath | None = None
        self._services: services.ServicePath | None = None
        self._runners: list[web.AppRunner] = []
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: settings.Gateway) -> "GatewayProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and connecting."""
        self._forwarder = forward.Forwarder.create()
        tries = attempts.Attempts(
            dispatcher=self.dispatcher,
            forwarder=self._forwarder,
            reporter=self.demand,
            rng=random.Random(),
        )
        self._models = models.ModelPath(
            view=lambda: self.control.view,
            admit=self._admit,
            tries=tries,
            open_sessions=self.sessions,
        )
        self._services = services.ServicePath(
            view=lambda: self.control.view,
            admit=self._admit,
            tries=tries,
            records=self.calls,
            open_sessions=self.sessions,
        )
        self.control.start()
        self.schedulers.start()
        self.demand.start()
        if self.grants is not None:
            self.grants.start()
        self._task = asyncio.get_running_loop().create_task(self._watch())
        await self._listen(
            announcements.application(self._relay), self.config.targets
        )
        await self._listen(callers.application(self), self.config.callers)

    async def finish(self) -> None:
        """Waits until no request waits or runs."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._draining_at + _DRAIN_NOTICE_S - loop.time())
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        await self.sessions.wait_idle()
        await self.calls.finish()
        if self.grants is not None:
            await self.grants.return_all()

    async def stop(self) -> None:
        """Closes everything."""
        if self._task is not None:
            self._task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        if self.grants is not None:
            await self.grants.stop()
        await self.demand.stop()
        await self.calls.stop()
        await self.schedulers.stop()
        await self.control.stop()
        if self._forwarder is not None:
            await self._forwarder.close()

    def drain(self) -> None:
        """Begins a graceful stop."""
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
        team_tokens = self.dispatcher.wallet
        return {
            "version": self.control.view.version,
            "staleness_s": self.control.staleness(now),
            "draining": self.draining,
            "running": self.sessions.count,
            "waiting": [
                {
                    "lane": item.lane,
                    "team": item.team,
                    "count": item.count,
                    "earliest_deadline_s": item.earliest_deadline - now,
                }
                for item in self.dispatcher.queue.waiting()
            ],
            "tokens": {
                team: account.balance(now)
                for team, account in (
                    team_tokens.accounts if team_tokens else {}
                ).items()
            },
            "targets": self.targets.usable(),
            "loads": self.dispatcher.router.loads(),
            "ejected_for_s": {
                name: until - now
                for name, until in self.dispatcher.ejections.until().items()
                if until > now
            },
        }

    def config_changed(self, view: config_view.View) -> None:
        """Ends what runs or waits under keys that were withdrawn."""
        used = self.sessions.key_hashes().union(self.dispatcher.queue.keys())
        for key_hash in used:
            if key_hash not in view.keys_by_hash:
                reason = admission.invalid_key()
                self.dispatcher.withdraw(key_hash, reason)
                self.sessions.end(key_hash, reason)

    def closing(self) -> bool:
        """Returns whether callers should connect elsewhere."""
        return self.draining

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

    def model_body_limit(self, request: web.Request) -> int:
        """Returns the largest body of any model route, in bytes.

        Raises:
            refusal.Refusal: The key is not valid.
        """
        view = self.control.view
        self.admission.key_of(view, request.headers.get("Authorization"))
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
        """Answers a request to a model."""
        assert self._models is not None
        return await self._models.complete(request, document, body)

    async def call(
        self, request: web.Request, route: str
    ) -> web.StreamResponse:
        """Answers a call of a plain service."""
        assert self._services is not None
        return await self._services.call(request, route)

    async def _listen(
        self, app: web.Application, address: settings.Address
    ) -> None:
        # The HTTP server logs excerpts of malformed requests, which may hold
        # a key; its logger is switched off.
        silent = logging.getLogger("monsoonhinge.gateway.http")
        silent.disabled = True
        runner = web.AppRunner(
            app,
            access_log=None,
            logger=silent,
            handler_cancellation=True,
            auto_decompress=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self._runners.append(runner)

    def _admit(self, request: web.Request, route: str) -> admission.Admitted:
        return self.admission.admit(
            view=self.control.view,
            staleness=self.control.staleness(asyncio.get_running_loop().time()),
            route=route,
            authorization=request.headers.get("Authorization"),
        )

    def _relay(self, state: messages.TargetState) -> None:
        self.targets.learn([state], asyncio.get_running_loop().time())
        self.schedulers.broadcast(messages.Announcements(targets=[state]))

    def _from_scheduler(self, link: object, message: messages.Message) -> None:
        now = asyncio.get_running_loop().time()
        match message:
            case messages.DirectoryUpdate():
                self.targets.publish(link, message, now)
            case messages.Loads():
                self.targets.heartbeat(link, message, now)
            case messages.Verdict():
                for item in message.items:
                    lane = dispatch.lane_name(item.model, item.adapter)
                    self.dispatcher.verdicts.update(
                        lane,
                        ready_in_s=item.ready_in_ms / 1000,
                        refused=item.refused,
                        reason=item.reason,
                        now=now,
                    )
                    self.dispatcher.judged(lane)

    async def _watch(self) -> None:
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
            self.schedulers.follow(self.demand.recent(now))
            if self.control.staleness(now) > self.config.max_stream_staleness_s:
                self.sessions.end_keyed(stale)
            metrics.WAITING.set(self.dispatcher.queue.count)
            metrics.WAITING_BYTES.set(self.dispatcher.queue.size_bytes)
