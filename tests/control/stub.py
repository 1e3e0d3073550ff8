"""Fake control members without consensus, for tests of their clients."""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import threading

from monsoonhinge.bench import ports
from monsoonhinge.config import delta
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import settings

SECRET = "a cluster secret for tests"


_PORTS = ports.PortAllocator()


def free_port() -> int:
    """Returns an unused port that no outgoing connection can take."""
    return _PORTS.allocate()


class Member:
    """A fake member; all members of a cluster share one state machine."""

    def __init__(self, name: str, cluster: "Cluster") -> None:
        self.name = name
        self.port = free_port()
        self.is_unresponsive = False
        self.refuses_watch = False
        self.watchers: dict[connection.Connection, int] = {}
        self._cluster = cluster
        self.server = endpoint.Server(
            identity=connection.Identity(
                node=name, role="control", incarnation=1, secret=SECRET.encode()
            ),
            handler=self,
        )

    def connected(self, link: connection.Connection) -> None:
        pass

    def disconnected(self, link: connection.Connection) -> None:
        self.watchers.pop(link, None)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        cluster = self._cluster
        if self.is_unresponsive:
            await asyncio.Event().wait()
        match message:
            case messages.Watch() if self.refuses_watch:
                return messages.Error(code="failed", message="refused")
            case messages.Watch():
                self.watchers[link] = message.version
                self._send_snapshot(link)
            case messages.InForce():
                self.watchers[link] = message.version
            case messages.Probe():
                return messages.Fresh(version=cluster.state_machine.version)
            case _ if cluster.leader != self.name:
                return messages.Error(
                    code="not_leader", leader=cluster.leader, message="follower"
                )
            case messages.Propose():
                return await cluster.commit(message.command)
            case messages.ReadState():
                document = cluster.document(message.section)
                return messages.StateReply(
                    document=json.dumps(document).encode()
                )
            case messages.RenewLease():
                is_held = cluster.state_machine.lease_table.holds(
                    message.name, message.fencing
                )
                if not is_held:
                    return messages.Error(code="lease_lost")
                return messages.LeaseRenewed(ttl_ms=600)
            case messages.AddMember() | messages.RemoveMember():
                cluster.member_changes.append(message)
                if not getattr(message, "force", True):
                    return messages.Error(
                        code="change_refused", message="no quorum would remain"
                    )
        return None

    def push(self, message: messages.ConfigDelta) -> None:
        for link in self.watchers:
            if not self.is_unresponsive:
                link.notify(message)

    def _send_snapshot(self, link: connection.Connection) -> None:
        state = self._cluster.state_machine
        objects = list(state.objects.values())
        for part in range(2):
            link.notify(
                messages.ConfigSnapshot(
                    version=state.version,
                    part=part,
                    parts=2,
                    objects=objects[part::2],
                )
            )


class Cluster:
    """Three fake members, one of which is the leader."""

    def __init__(self) -> None:
        self.state_machine = state_machine.StateMachine()
        self.members = {name: Member(name, self) for name in ("a", "b", "c")}
        self.leader = "a"
        self.replies_to_lose = 0
        self.commits = 0
        self.subscribers: dict[str, dict[str, object]] = {}
        self.member_changes: list[messages.Message] = []

    def settings(self) -> list[settings.Member]:
        return [
            settings.Member.model_validate(
                {
                    "name": member.name,
                    "address": {"host": "127.0.0.1", "port": member.port},
                }
            )
            for member in self.members.values()
        ]

    async def start(self) -> None:
        for member in self.members.values():
            await member.server.start(host="127.0.0.1", port=member.port)

    async def stop(self) -> None:
        for member in self.members.values():
            await member.server.stop()

    async def commit(self, command: bytes) -> messages.Message:
        old_version = self.state_machine.version
        old_objects = self.state_machine.objects
        self.commits += 1
        result = self.state_machine.apply(
            self.commits, codec.decode_command(command)
        )
        if self.state_machine.version != old_version:
            change = delta.Delta.between(
                old_objects, self.state_machine.objects
            )
            for member in self.members.values():
                member.push(
                    messages.ConfigDelta(
                        base=old_version,
                        version=self.state_machine.version,
                        upserts=list(change.upserts.values()),
                        deletes=change.deletes,
                    )
                )
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            await asyncio.Event().wait()
        return messages.Proposed(
            index=self.commits, result=codec.encode_result(result)
        )

    def document(self, section: str) -> object:
        if section != "status":
            return self.state_machine.document(section)
        return {
            "leader": self.leader,
            "members": {name: {} for name in self.members},
            "subscribers": self.subscribers,
            "version": self.state_machine.version,
        }


@contextlib.contextmanager
def running() -> Iterator[Cluster]:
    """Runs a cluster in a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    cluster = Cluster()
    try:
        asyncio.run_coroutine_threadsafe(cluster.start(), loop).result(5)
        yield cluster
    finally:
        asyncio.run_coroutine_threadsafe(cluster.stop(), loop).result(5)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)
        loop.close()
