"""Runs the consensus core on an asyncio event loop.

All logic runs on the loop's thread. Only storage writes, which block in fsync,
and snapshot encoding run on other threads, so heartbeats and votes continue
meanwhile. Proposals that arrive during a write are batched into the next one.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import random
import typing

from monsoonhinge.consensus import compaction
from monsoonhinge.consensus import durable_writer
from monsoonhinge.consensus import leader as raft_leader
from monsoonhinge.consensus import metrics
from monsoonhinge.consensus import pending_reads
from monsoonhinge.consensus import proposals
from monsoonhinge.consensus import raft
from monsoonhinge.consensus import storage as raft_storage
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

# Limits how long applying a backlog of entries can delay heartbeats.
_MAX_APPLY_ENTRIES = 500

_TICKS_PER_HEARTBEAT = 4

# Leaves room in a protocol frame for the other commands of a batch.
MAX_COMMAND_BYTES = 6 * 1024 * 1024

_LOG = logging.getLogger(__name__)


class StateMachine(typing.Protocol):
    """Deterministic state machine, replicated to every member."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies the committed command at a log index; returns its result."""

    def capture(self) -> Callable[[], bytes]:
        """Copies the state; returns a thread-safe encoder of the copy."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with an encoded snapshot."""


class Transport(typing.Protocol):
    """Delivers messages to other members, without guarantees."""

    def send(self, member_id: str, message: types.RaftMessage) -> None:
        """Sends a message to a member; the message may be lost."""

    def connect_members(self, configuration: types.Configuration) -> None:
        """Connects to the members of a new configuration."""


class Driver:
    """Runs one member of the cluster on the event loop.

    Attributes:
        raft: The consensus core.
        applied_index: Index of the last entry applied to the state machine.
        failure: Error that stopped this member, or None.
        stopped: Set when the member has failed or was stopped.
    """

    def __init__(
        self,
        *,
        name: str,
        storage: raft_storage.Storage,
        state_machine: StateMachine,
        transport: Transport,
        timing: types.Timing,
        snapshot_entries: int,
        rng: random.Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.raft = raft.Raft(
            member_id=types.Member(name, storage.identity).id,
            term=storage.term,
            vote=storage.vote,
            snapshot=storage.snapshot,
            entries=storage.entries,
            timing=timing,
            rng=rng,
            now=self._loop.time(),
        )
        self.applied_index = 0
        self.failure: errors.MonsoonhingeError | None = None
        self.stopped = asyncio.Event()
        self._writer = durable_writer.DurableWriter(
            storage=storage, on_full=self._hand_over_leadership
        )
        self._state_machine = state_machine
        self._transport = transport
        self._timing = timing
        self._compactor = compaction.Compactor(
            state_machine, threshold_entries=snapshot_entries, rng=rng
        )
        self._write_task: asyncio.Task[None] | None = None
        self._supervisor = supervision.Supervisor()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._queued: list[proposals.Proposal] = []
        self._appended: dict[int, proposals.Proposal] = {}
        self._reads = pending_reads.PendingReads()
        self._transport_configuration: types.Configuration | None = None
        self._applied = asyncio.Event()
        self._not_leading = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.raft.is_leader

    @property
    def disk_full(self) -> bool:
        """Whether this member waits for room on its disk."""
        return self._writer.disk_full

    @property
    def leader(self) -> str:
        """Name of the current leader, or "" if it is not known."""
        return types.member_name(self.raft.state.leader)

    @property
    def configuration(self) -> types.Configuration:
        """Latest configuration in the log, committed or not."""
        return self.raft.state.log.configuration

    def start(self) -> None:
        """Starts the timers; the member takes part in elections."""
        self._tick()

    async def stop(self) -> None:
        """Stops the member after a write in progress has finished."""
        self._fail(errors.MonsoonhingeError("stopped"))
        self._writer.stop()
        if self._write_task is not None:
            await asyncio.gather(self._write_task, return_exceptions=True)
        await self._compactor.stop()

    def bootstrap(self, configuration: types.Configuration) -> None:
        """Starts a new cluster with these members."""
        self.raft.bootstrap(configuration, self._loop.time())
        self._process_output()

    def receive(self, message: types.RaftMessage) -> None:
        """Handles a message from another member and sends the replies."""
        if self.failure is not None:
            return
        try:
            self.raft.step(message, self._loop.time())
            self._process_output()
        except types.SafetyError as error:
            self._fail(error)

    async def propose(self, data: bytes) -> tuple[int, bytes]:
        """Replicates a command and waits until it is applied.

        Returns:
            Log index of the command and the state machine's result.

        Raises:
            types.NotLeader: This member is not, or no longer, the leader. In
                the latter case the command may still be committed.
            errors.RemoteError: The command exceeds ``MAX_COMMAND_BYTES``.
        """
        if len(data) > MAX_COMMAND_BYTES:
            raise errors.RemoteError(
                f"command of {len(data)} bytes exceeds {MAX_COMMAND_BYTES}",
                code="too_large",
                leader="",
                step="propose",
                peer="",
            )
        self._require_leadership("propose")
        proposal = proposals.Proposal(
            data=data,
            proposed_at=self._loop.time(),
            result=self._loop.create_future(),
        )
        self._queued.append(proposal)
        if self._write_task is None and len(self._queued) == 1:
            # Deferred, so that proposals of this loop iteration form one batch.
            self._loop.call_soon(self._process_output)
        return await proposal.result

    async def change_configuration(self, wanted: types.Configuration) -> None:
        """Commits a new configuration.

        Raises:
            types.NotLeader: This member is not, or no longer, the leader.
            types.ChangeRefused: The change is not possible now.
        """
        leadership = self._require_leadership("change members")
        leadership.change_configuration(wanted, self._loop.time())
        proposal = proposals.Proposal(
            data=b"",
            proposed_at=self._loop.time(),
            result=self._loop.create_future(),
            term=self.raft.state.term,
        )
        self._appended[self.raft.state.log.last_index] = proposal
        self._process_output()
        await proposal.result

    async def read(self) -> int:
        """Waits until the local state allows a linearizable read.

        Returns:
            A commit index that is applied and that was confirmed by a quorum
            after this call.

        Raises:
            types.NotLeader: This member is not, or no longer, the leader.
        """
        leadership = self._require_leadership("read")
        read_id, future = self._reads.add()
        leadership.request_read(read_id, self._loop.time())
        self._process_output()
        index = await future
        while self.applied_index < index and self.failure is None:
            await self._applied.wait()
        if self.applied_index < index:
            raise types.NotLeader(leader="", step="read")
        return index

    async def transfer_leadership(self, *, timeout: float) -> None:
        """Transfers leadership to another voter if one is live.

        Args:
            timeout: Seconds to wait until this member no longer leads.
        """
        leadership, now = self.raft.leadership, self._loop.time()
        if leadership is None or not leadership.transfer_leadership(now):
            return
        self._process_output()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._not_leading.wait()

    def _require_leadership(self, step: str) -> raft_leader.Leader:
        if self.failure is not None:
            raise types.NotLeader(leader="", step=step)
        return self.raft.require_leadership(step)

    def _tick(self) -> None:
        if self.failure is not None:
            return
        self._tick_timer = self._loop.call_later(
            self._timing.heartbeat_s / _TICKS_PER_HEARTBEAT, self._tick
        )
        self.raft.tick(self._loop.time())
        self._process_output()

    def _process_output(self) -> None:
        """Performs the pending output of the core: writes, sends, applies."""
        if self.failure is not None:
            return
        if self._write_task is None:
            self._append_queued()
        self._apply_committed()
        if self.failure is not None:
            return
        self._resolve_reads()
        if self.raft.is_leader:
            self._not_leading.clear()
        else:
            self._not_leading.set()
            self._reject_proposals()
        for to, message in self.raft.take_messages():
            self._transport.send(to, message)
        if self._transport_configuration is not self.configuration:
            self._transport_configuration = self.configuration
            self._transport.connect_members(self.configuration)
        if self._write_task is None:
            write = self.raft.take_write()
            if write is not None:
                self._write_task = self._supervisor.spawn(
                    "write", self._write(write)
                )
        state = self.raft.state
        metrics.TERM.set(state.term)
        metrics.LEADER.set(self.raft.is_leader)
        metrics.COMMIT_INDEX.set(state.commit_index)
        metrics.APPLIED_INDEX.set(self.applied_index)

    def _hand_over_leadership(self) -> None:
        """Makes another voter the leader, since this one cannot write."""
        now = self._loop.time()
        leadership = self.raft.leadership
        if leadership is not None and leadership.transfer_leadership(now):
            self._process_output()

    def _append_queued(self) -> None:
        if not self._queued or self.raft.leadership is None:
            return
        batch, self._queued = self._queued, []
        try:
            first_index = self.raft.leadership.propose(
                [proposal.data for proposal in batch], self._loop.time()
            )
        except types.NotLeader as error:
            for proposal in batch:
                proposal.reject(error)
            return
        for offset, proposal in enumerate(batch):
            proposal.term = self.raft.state.term
            self._appended[first_index + offset] = proposal

    async def _write(self, write: types.Write) -> None:
        try:
            written = await self._writer.write(write)
        except Exception as error:
            self._fail_step("write", error)
            return
        finally:
            self._write_task = None
        if written:
            self.raft.complete_write(write, self._loop.time())
            self._process_output()

    def _apply_committed(self) -> None:
        committed = self.raft.take_committed(_MAX_APPLY_ENTRIES)
        if committed is None:
            return
        try:
            if committed.snapshot is not None:
                self._state_machine.restore(committed.snapshot.data)
                self.applied_index = committed.snapshot.last_index
            for entry in committed.entries:
                self._apply_entry(entry)
            self._compactor.compact_if_due(
                self.raft.state,
                applied_index=self.applied_index,
                on_compacted=self._process_output,
            )
        except Exception as error:
            # Skipping the entry would make this member diverge from the others.
            self._fail_step("apply", error)
            return
        if self.applied_index < self.raft.state.commit_index:
            self._loop.call_soon(self._process_output)
        self._applied.set()
        self._applied = asyncio.Event()

    def _apply_entry(self, entry: messages.Entry) -> None:
        result = b""
        if entry.kind == types.KIND_COMMAND:
            result = self._state_machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        proposal = self._appended.pop(entry.index, None)
        if proposal is not None:
            proposal.resolve(
                index=entry.index,
                term=entry.term,
                result=result,
                now=self._loop.time(),
            )

    def _resolve_reads(self) -> None:
        confirmed, failed = self.raft.take_reads()
        self._reads.resolve(
            confirmed=confirmed, failed=failed, leader=self.leader
        )

    def _reject_proposals(self) -> None:
        if not self._queued and not self._appended:
            return
        pending = [*self._queued, *self._appended.values()]
        self._queued = []
        self._appended.clear()
        for proposal in pending:
            proposal.reject(types.NotLeader(leader=self.leader, step="propose"))

    def _fail_step(self, step: str, error: Exception) -> None:
        if not isinstance(error, errors.MonsoonhingeError):
            message = f"{step} failed after entry {self.applied_index}: {error}"
            _LOG.error(message, exc_info=error)
            error = errors.MonsoonhingeError(message, step=step)
        self._fail(error)

    def _fail(self, error: errors.MonsoonhingeError) -> None:
        """Stops the member; it sends and acknowledges nothing from now on."""
        if self.failure is not None:
            return
        self.failure = error
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._reject_proposals()
        self._reads.fail_all()
        self._applied.set()
        metrics.LEADER.set(0)
        self.stopped.set()
