"""The scheduler process."""

import asyncio
import dataclasses
import logging
from typing import Any
import uuid

from monsoonhinge.control import client as control_client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.targets import dialect
from monsoonhinge.targets import http

_LEASE = "scheduler"
_TICK_S = 0.1
_PROPOSE_TIMEOUT_S = 2.0

_LOG = logging.getLogger(__name__)


class SchedulerProcess:
    """Loads models that gateways demand."""

    def __init__(self, config: settings.Scheduler) -> None:
        self.config = config
        self.identity = service.identity(config, "scheduler")
        self.server = connection.Server(identity=self.identity, handler=self)
        self.control = control_client.Client(
            members=config.control, identity=self.identity
        )
        self.directory = target_directory.Directory()
        self.demand: dict[str, messages.Demand] = {}
        self.fencing = 0
        self.lease_until = 0.0
        self.decided: dict[str, commands.ReplicaChange] = {}
        self.draining = False
        self.dialect: http.HttpDialect | None = None
        self._gateways: set[connection.Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(cls, config: settings.Scheduler) -> "SchedulerProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and connecting."""
        self.dialect = http.HttpDialect()
        await self.server.start(
            host=self.config.listen.host, port=self.config.listen.port
        )
        self.control.start()
        self._spawn(self._run())

    async def finish(self) -> None:
        """Hands the lease over."""
        if self.fencing:
            await self.control.propose(
                commands.ReleaseLease(
                    name=_LEASE, holder=self._holder, fencing=self.fencing
                ),
                commands.Accepted,
                timeout=_PROPOSE_TIMEOUT_S,
            )

    async def stop(self) -> None:
        """Closes everything."""
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()
        await self.control.stop()
        if self.dialect is not None:
            await self.dialect.close()

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
        return {
            "version": self.control.view.version,
            "fencing": self.fencing,
            "targets": {
                name: dataclasses.asdict(entry.state)
                for name, entry in self.directory.entries.items()
            },
            "decided": {
                name: dataclasses.asdict(change)
                for name, change in self.decided.items()
            },
        }

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do until the peer subscribes."""

    def disconnected(self, link: connection.Connection) -> None:
        """Forgets a gateway."""
        self._gateways.discard(link)
        self.demand.pop(link.remote.node, None)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Handles what gateways send."""
        now = asyncio.get_running_loop().time()
        match message:
            case messages.Subscribe():
                self._gateways.add(link)
                link.notify(
                    messages.DirectoryUpdate(
                        full=True, targets=self.directory.snapshot(now)
                    )
                )
                return messages.Ack()
            case messages.Announcements():
                fresh = [
                    state
                    for state in message.targets
                    if self.directory.update(state, now)
                ]
                if fresh:
                    self._publish(messages.DirectoryUpdate(targets=fresh))
                return None
            case messages.Demand():
                self.demand[message.gateway] = message
                return None
            case _:
                raise errors.ProtocolError(
                    f"unexpected {type(message).__name__}",
                    step="handle",
                    peer=link.peer,
                )

    @property
    def _holder(self) -> str:
        return f"{self.identity.node}/{self.identity.incarnation}"

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _publish(self, update: messages.DirectoryUpdate) -> None:
        for link in self._gateways:
            link.notify(update)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            gone = self.directory.expire(loop.time())
            if gone:
                self._publish(messages.DirectoryUpdate(removed=gone))
            try:
                if not self.draining:
                    await self._keep_lease()
                if self.fencing and loop.time() < self.lease_until:
                    await self._load_demanded()
            except errors.MonsoonhingeError as error:
                _LOG.warning("scheduling: %s", error)

    async def _keep_lease(self) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        if self.fencing:
            if self.lease_until - asked_at > 2.0:
                return
            try:
                reply = await self.control.request(
                    messages.RenewLease(
                        name=_LEASE, holder=self._holder, fencing=self.fencing
                    ),
                    messages.LeaseRenewed,
                    timeout=1.0,
                )
            except errors.RemoteError:
                self.fencing = 0
                raise
            self.lease_until = asked_at + reply.ttl_ms / 1000 * 0.9
            return
        result = await self.control.propose(
            commands.AcquireLease(name=_LEASE, holder=self._holder),
            commands.LeaseResult,
            timeout=_PROPOSE_TIMEOUT_S,
        )
        if not result.granted:
            return
        document = await self.control.read("decisions", timeout=1.0)
        self.decided = {
            name: commands.ReplicaChange(**fields)
            for name, fields in document.items()
        }
        self.fencing = result.fencing

    async def _load_demanded(self) -> None:
        wanted = {
            item.model
            for demand in self.demand.values()
            for item in demand.items
            if item.waiting
        }
        decided = {change.model for change in self.decided.values()}
        for name in wanted - decided:
            await self._load(name)

    async def _load(self, name: str) -> None:
        model = self.control.view.models.get(name)
        version = model.version() if model else None
        if model is None or version is None:
            return
        needed = version.weights_bytes + model.kv_bytes_per_replica
        for entry in self.directory.available():
            state = entry.state
            used = sum(
                change.reserved_bytes
                for change in self.decided.values()
                if change.target == state.target
            )
            if state.kind != "engine" or state.memory_bytes - used < needed:
                continue
            change = commands.ReplicaChange(
                action="load",
                decision_id=uuid.uuid4().hex,
                target=state.target,
                incarnation=state.incarnation,
                model=name,
                model_version=version.version,
                reserved_bytes=needed,
            )
            self.decided[change.decision_id] = change
            accepted = await self.control.propose(
                commands.DecideReplicas(fencing=self.fencing, changes=[change]),
                commands.Accepted,
                timeout=_PROPOSE_TIMEOUT_S,
            )
            if accepted.accepted:
                await self._order(state.address, change)
            return

    async def _order(
        self, address: str, change: commands.ReplicaChange
    ) -> None:
        assert self.dialect is not None
        await self.dialect.send_order(
            address,
            dialect.Order(
                fencing=self.fencing,
                order_id=change.decision_id,
                action=change.action,
                model=change.model,
                model_version=change.model_version,
            ),
            timeout=self.config.order_timeout_s,
        )
