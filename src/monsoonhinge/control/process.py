"""The control process."""

import asyncio
import json
from typing import Any

from monsoonhinge.config import delta
from monsoonhinge.control import machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings

# Keeps each part of a snapshot well below the largest frame.
_SNAPSHOT_PART_BYTES = 1024 * 1024

_CONFIG_COMMANDS = (
    commands.PublishConfig,
    commands.GrantKey,
    commands.WithdrawKey,
)


class ControlProcess:
    """Serves the replicated state to the other processes."""

    def __init__(self, config: settings.Control) -> None:
        self.config = config
        self.identity = service.identity(config, "control")
        self.server = connection.Server(identity=self.identity, handler=self)
        self.machine = machine.Machine()
        self.index = 0
        self.watchers: dict[connection.Connection, int] = {}
        self.renewed_at: dict[str, float] = {}
        self.draining = False
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: settings.Control) -> "ControlProcess":
        """Makes the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening."""
        await self.server.start(
            host=self.config.listen.host, port=self.config.listen.port
        )
        self._task = asyncio.get_running_loop().create_task(
            self._expire_leases()
        )

    async def finish(self) -> None:
        """Nothing is left to finish."""

    async def stop(self) -> None:
        """Closes everything."""
        if self._task is not None:
            self._task.cancel()
        await self.server.stop()

    def drain(self) -> None:
        """Begins a graceful stop."""
        self.draining = True

    def ready(self) -> str:
        """Returns why the process is not ready, or ""."""
        return "draining" if self.draining else ""

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        return {
            "index": self.index,
            "version": self.machine.version,
            "leases": self.machine.document("leases"),
            "watchers": {
                link.remote.node: version
                for link, version in self.watchers.items()
            },
        }

    def connected(self, link: connection.Connection) -> None:
        """Nothing to do until the peer asks."""

    def disconnected(self, link: connection.Connection) -> None:
        """Forgets a subscriber."""
        self.watchers.pop(link, None)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Answers a request."""
        match message:
            case messages.Propose():
                result = self._commit(codec.decode_command(message.command))
                return messages.Proposed(
                    index=self.index, result=codec.encode_result(result)
                )
            case messages.Watch():
                self.watchers[link] = message.version
                if message.version != self.machine.version:
                    self._send_snapshot(link)
                return messages.Ack()
            case messages.InForce():
                self.watchers[link] = message.version
                return None
            case messages.Probe():
                return messages.Fresh(
                    index=self.index, version=self.machine.version
                )
            case messages.RenewLease():
                return self._renew(message)
            case messages.ReadState():
                return messages.StateReply(
                    index=self.index,
                    document=json.dumps(
                        self.machine.document(message.section)
                    ).encode(),
                )
            case messages.AwaitCall():
                return await self._await_call(message)
            case _:
                raise errors.ProtocolError(
                    f"unexpected {type(message).__name__}",
                    step="handle",
                    peer=link.peer,
                )

    def _commit(self, command: commands.Command) -> commands.Result:
        self.index += 1
        old_version, old = self.machine.version, self.machine.objects
        result = self.machine.apply(self.index, command)
        if isinstance(command, commands.AcquireLease):
            self.renewed_at.setdefault(
                command.name, asyncio.get_running_loop().time()
            )
        if isinstance(command, _CONFIG_COMMANDS):
            self._push(old_version, old)
        self._changed.set()
        self._changed = asyncio.Event()
        return result

    def _push(self, old_version: int, old: dict[str, bytes]) -> None:
        if self.machine.version == old_version:
            return
        change = delta.Delta.between(old, self.machine.objects)
        message = messages.ConfigDelta(
            base=old_version,
            version=self.machine.version,
            index=self.index,
            upserts=list(change.upserts.values()),
            deletes=change.deletes,
        )
        for link in self.watchers:
            link.notify(message)

    def _send_snapshot(self, link: connection.Connection) -> None:
        parts: list[list[bytes]] = [[]]
        size = 0
        for data in self.machine.objects.values():
            if size + len(data) > _SNAPSHOT_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(data)
            size += len(data)
        for number, objects in enumerate(parts):
            link.notify(
                messages.ConfigSnapshot(
                    version=self.machine.version,
                    index=self.index,
                    part=number,
                    parts=len(parts),
                    objects=objects,
                )
            )

    def _renew(self, message: messages.RenewLease) -> messages.Message:
        lease = self.machine.leases.get(message.name)
        if lease is None or (lease.holder, lease.fencing) != (
            message.holder,
            message.fencing,
        ):
            return messages.Error(
                code="lease_lost", message=f"lease {message.name} is not held"
            )
        self.renewed_at[message.name] = asyncio.get_running_loop().time()
        return messages.LeaseRenewed(ttl_ms=int(self.config.lease_ttl_s * 1000))

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(self.config.lease_ttl_s / 10)
            now = asyncio.get_running_loop().time()
            for name, lease in list(self.machine.leases.items()):
                renewed = self.renewed_at.get(name, now)
                if now - renewed > self.config.lease_ttl_s:
                    self.renewed_at.pop(name)
                    self._commit(
                        commands.ExpireLease(name=name, fencing=lease.fencing)
                    )

    async def _await_call(
        self, message: messages.AwaitCall
    ) -> messages.CallRecord:
        key = (message.team, message.route, message.key)
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                while (
                    call := self.machine.calls.get(key)
                ) is not None and call.state == "running":
                    await self._changed.wait()
        except TimeoutError:
            pass
        if call is None:
            return messages.CallRecord(state="absent")
        return messages.CallRecord(
            state=call.state,
            digest=call.digest,
            status=call.status,
            headers=call.headers,
            body=call.body,
        )
