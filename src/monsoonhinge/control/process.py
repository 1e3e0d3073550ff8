"""The process of a control member."""

import asyncio
import json
import logging
import os
import random
import signal
import time
from typing import Any

from monsoonhinge.consensus import ballots
from monsoonhinge.consensus import driver as raft_driver
from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import storage as raft_storage
from monsoonhinge.consensus import transport as raft_transport
from monsoonhinge.consensus import types
from monsoonhinge.control import expiry_timers
from monsoonhinge.control import leader_tasks
from monsoonhinge.control import members as control_members
from monsoonhinge.control import probes as control_probes
from monsoonhinge.control import publication
from monsoonhinge.control import replicated_state
from monsoonhinge.control import seeding
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import endpoint
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.runtime import supervision

# Commands that are validated before they are proposed.
_VALIDATED_COMMANDS = (
    commands.PublishConfig,
    commands.ReplaceConfig,
    commands.GrantKey,
)

# Commands whose timestamp is set by the leader.
_TIMESTAMPED_COMMANDS = (
    commands.ClaimCall,
    commands.FinishCall,
    commands.CheckpointBudget,
)

_LOG = logging.getLogger(__name__)


class ControlProcess:
    """Replicates the control state and serves it to the other processes."""

    def __init__(self, config: settings.Control) -> None:
        self.config = config
        self.identity = service.make_identity(config, "control")
        names = [member.name for member in config.members]
        if config.members and not config.join and config.node not in names:
            raise errors.SettingsError(
                [f"node: {config.node} is not in members, and join is not set"]
            )
        self.draining = False
        self.files = storage_files.Directory(config.data_dir)
        try:
            storage = raft_storage.Storage(self.files)
            acceptor = ballots.Acceptor.open(
                self.files, seeds=seeding.first_seeds(config)
            )
        except errors.MonsoonhingeError:
            self.files.close()
            raise
        self.replicated_state = replicated_state.ReplicatedState()
        self.transport = raft_transport.Transport(
            identity=self.identity, handler=self
        )
        self.driver = raft_driver.Driver(
            name=config.node,
            storage=storage,
            state_machine=self.replicated_state,
            transport=self.transport,
            timing=types.Timing(
                heartbeat_s=config.heartbeat_s,
                election_timeout_s=config.election_timeout_s,
            ),
            snapshot_entries=config.snapshot_entries,
            rng=random.Random(),
        )
        self.membership = self._make_membership(storage.identity, acceptor)
        self.leader_tasks = leader_tasks.LeaderTasks(
            config=config,
            driver=self.driver,
            replicated_state=self.replicated_state,
            membership=self.membership,
        )
        self.probe_relay = control_probes.ProbeRelay(
            driver=self.driver, transport=self.transport
        )
        self.server = endpoint.Server(identity=self.identity, handler=self)
        self.supervisor = supervision.Supervisor()

    def _make_membership(
        self, identity: str, acceptor: ballots.Acceptor | None
    ) -> control_members.MembershipManager:
        if self.config.seeds:
            return seeding.SeededMembershipManager(
                config=self.config,
                identity=identity,
                driver=self.driver,
                transport=self.transport,
                connect_as=self.identity,
                acceptor=acceptor,
            )
        return control_members.MembershipManager(
            config=self.config,
            identity=identity,
            driver=self.driver,
            transport=self.transport,
            connect_as=self.identity,
        )

    @classmethod
    def from_config(cls, config: settings.Control) -> "ControlProcess":
        """Creates the process from its settings."""
        return cls(config)

    async def start(self) -> None:
        """Starts listening and joins the consensus group."""
        await self.server.start(
            host=self.config.listen.host, port=self.config.listen.port
        )
        initial = self.config
        if initial.seeds:
            initial = seeding.with_seed_members(initial)
        for member in initial.members:
            self.transport.connect(
                name=member.name,
                host=member.address.host,
                port=member.address.port,
            )
        self.driver.start()
        self.supervisor.start("membership", self.membership.bootstrap)
        self.supervisor.start("leader_tasks", self.leader_tasks.run)
        self.supervisor.start("exit_on_failure", self._exit_on_failure)

    async def finish(self) -> None:
        """Transfers the leadership and the vote if another member can have it.

        Raises:
            errors.MonsoonhingeError: The member failed before the stop.
        """
        if self.driver.failure is not None:
            raise self.driver.failure
        await self.driver.transfer_leadership(
            timeout=2 * self.config.election_timeout_s
        )
        await self.membership.resign()

    async def stop(self) -> None:
        """Cancels all tasks and closes connections and files."""
        self.supervisor.cancel()
        self.probe_relay.stop()
        await self.driver.stop()
        await self.transport.stop()
        await self.server.stop()
        self.files.close()

    def drain(self) -> None:
        """Reports the process as not ready from now on, before a stop."""
        self.draining = True

    def not_ready_reason(self) -> str:
        """Returns why the process is not ready, or "" if it is."""
        if self.draining:
            return "draining"
        if self.driver.failure is not None:
            return "failed"
        if self.driver.disk_full:
            return "disk full"
        if not self.driver.leader:
            return "no leader known"
        failing = self.supervisor.failing()
        return f"tasks fail: {', '.join(failing)}" if failing else ""

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        state = self.driver.raft.state
        return {
            "identity": state.member_id,
            "role": state.role.value,
            "leader": self.driver.leader,
            "term": state.term,
            "index": self.driver.applied_index,
            "commit": state.commit_index,
            "last_index": state.log.last_index,
            "snapshot_index": state.log.snapshot.last_index,
            "members": [
                {
                    "id": member.id,
                    "address": f"{member.host}:{member.port}",
                    "voter": member.voter,
                }
                for member in self.driver.configuration.members
            ],
            "version": self.replicated_state.state_machine.version,
            "leases": self.replicated_state.state_machine.document("leases"),
            "watchers": {
                link.peer_hello.node: watcher.in_effect
                for link, watcher in self.replicated_state.feed.watchers.items()
            },
            "subscribers": {
                session: {
                    "role": subscriber.role,
                    "version": subscriber.version,
                }
                for session, subscriber in self.leader_tasks.subscribers.items()
            },
        }

    def connected(self, link: connection.Connection) -> None:
        """Does nothing until the peer sends a request."""

    def disconnected(self, link: connection.Connection) -> None:
        """Removes a watcher or the reply route to a member."""
        self.replicated_state.feed.unwatch(link)
        self.transport.remove_reply_connections(link)

    async def handle(
        self, link: connection.Connection, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message and returns the reply, if there is one."""
        if isinstance(message, types.RaftMessage):
            if link.peer_hello.role == "control":
                self.transport.set_reply_connection(
                    raft_transport.sender_id(message), link
                )
                self.driver.receive(message)
            return None
        match message:
            case messages.Propose():
                return await self._propose(message)
            case messages.Watch():
                self.replicated_state.feed.watch(link, message)
                return messages.Ack()
            case messages.InForce():
                self.replicated_state.feed.record_in_effect(
                    link, message.version
                )
                return None
            case messages.Probe():
                return await self._handle_probe(link)
            case messages.RelayProbe():
                return await self._confirm_version(message.subscribers)
            case messages.RenewLease():
                return await self._renew_lease(message)
            case messages.ReadState():
                return await self._read_section(message.section)
            case messages.AwaitCall():
                return await self._await_call(message)
            case messages.DescribeMember():
                return self.membership.describe()
            case messages.AddMember():
                await self.membership.add(message)
                return messages.Ack()
            case messages.RemoveMember():
                await self.membership.remove(message)
                return messages.Ack()
            case messages.PrepareBootstrap() | messages.AcceptBootstrap():
                return self.membership.vote_on_bootstrap(message)
            case messages.ResignVoter():
                await self.membership.replace_voter(message.member)
                return messages.Ack()
            case _:
                raise errors.ProtocolError(
                    f"unexpected message {type(message).__name__}",
                    step="handle",
                    peer=link.peer,
                )

    async def _propose(self, message: messages.Propose) -> messages.Proposed:
        command = codec.decode_command(message.command)
        if isinstance(command, commands.ReplaceConfig) and not (
            self.membership.has_enough_voters()
        ):
            raise types.NotLeader(leader="", step="await voters")
        if isinstance(command, _VALIDATED_COMMANDS):
            # Validating a configuration of the target size takes over a second,
            # which on the event loop would delay heartbeats.
            problem = await asyncio.get_running_loop().run_in_executor(
                None, publication.problems, command
            )
            if problem:
                result = commands.ConfigResult(code="invalid", message=problem)
                return messages.Proposed(result=codec.encode_result(result))
        data = message.command
        if isinstance(command, _TIMESTAMPED_COMMANDS):
            command.now_ms = int(time.time() * 1000)
            if isinstance(command, commands.ClaimCall):
                command.limit_bytes = self.config.call_record_bytes
            data = codec.encode_command(command)
        index, committed = await self.driver.propose(data)
        return messages.Proposed(index=index, result=committed)

    async def _handle_probe(
        self, link: connection.Connection
    ) -> messages.Fresh:
        subscriber = messages.SubscriberState(
            session=expiry_timers.session_name(link.peer_hello),
            role=link.peer_hello.role,
            version=self.replicated_state.feed.version_at(link),
        )
        if self.driver.is_leader:
            return await self._confirm_version([subscriber])
        return await self.probe_relay.probe(subscriber)

    async def _confirm_version(
        self, subscribers: list[messages.SubscriberState]
    ) -> messages.Fresh:
        index = await self.driver.read()
        self.leader_tasks.record_probes(subscribers)
        return messages.Fresh(
            index=index, version=self.replicated_state.state_machine.version
        )

    async def _renew_lease(
        self, message: messages.RenewLease
    ) -> messages.Message:
        received_at = asyncio.get_running_loop().time()
        await self.driver.read()
        lease = self.replicated_state.state_machine.leases.get(message.name)
        if (
            lease is None
            or (lease.holder, lease.fencing)
            != (message.holder, message.fencing)
            or not self.leader_tasks.leases.record_renewal(
                message.name, message.fencing, received_at
            )
        ):
            return messages.Error(
                code="lease_lost", message=f"lease {message.name} is not held"
            )
        return messages.LeaseRenewed(
            ttl_ms=int(self.leader_tasks.leases.ttl_s(message.name) * 1000)
        )

    async def _read_section(self, section: str) -> messages.StateReply:
        index = await self.driver.read()
        document = (
            self.dump()
            if section == "status"
            else self.replicated_state.state_machine.document(section)
        )
        return messages.StateReply(
            index=index, document=json.dumps(document).encode()
        )

    async def _await_call(
        self, message: messages.AwaitCall
    ) -> messages.CallRecord:
        await self.driver.read()
        key = (message.team, message.route, message.key)
        calls = self.replicated_state.state_machine.calls
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                while (call := calls.get(key)) is not None and (
                    call.state == "running"
                ):
                    await self.replicated_state.wait_for_apply()
                    calls = self.replicated_state.state_machine.calls
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

    async def _exit_on_failure(self) -> None:
        await self.driver.stopped.wait()
        _LOG.critical("control member failed: %s", self.driver.failure)
        # The signal makes the service call finish(), whose error becomes exit
        # code 1.
        os.kill(os.getpid(), signal.SIGTERM)
