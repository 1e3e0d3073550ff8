"""Runs the consensus core on the event loop.

All logic runs on the loop's thread. Only the storage write, which blocks in
fsync, and the encoding of snapshots run on other threads: heartbeats and votes
continue meanwhile, and proposals that arrive during a write share the next one.
"""

import asyncio
from collections.abc import Callable
from concurrent import futures
import contextlib
import logging
import random
import typing

from monsoonhinge.consensus import compaction
from monsoonhinge.consensus import leader as raft_leader
from monsoonhinge.consensus import metrics
from monsoonhinge.consensus import proposals
from monsoonhinge.consensus import raft
from monsoonhinge.consensus import storage as raft_storage
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# Bounds how long applying a backlog keeps heartbeats waiting.
_APPLY_ENTRIES = 500

_TICKS_PER_HEARTBEAT = 4

# One command and a batch of others together fit one frame.
MAX_COMMAND_BYTES = 6 * 1024 * 1024

_LOG = logging.getLogger(__name__)


class StateMachine(typing.Protocol):
    """State that is the same on every member."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Applies one committed command and returns its result."""

    def capture(self) -> Callable[[], bytes]:
        """Captures the whole state; the result encodes it in any thread."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by a snapshot."""


class Transport(typing.Protocol):
    """Carries messages to other members."""

    def send(self, member_id: str, message: types.RaftMessage) -> None:
        """Sends a message; it may be lost."""

    def follow(self, configuration: types.Configuration) -> None:
        """Learns the addresses of the members."""


class Driver:
    """One member of the cluster on the event loop.

    Attributes:
        raft: The core.
        applied: Index of the last applied entry.
        failure: Error that stopped this member, if there is one.
        stopped: Set once the member can no longer work.
    """

    def __init__(
        self,
        *,
        name: str,
        storage: raft_storage.Storage,
        machine: StateMachine,
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
        self.applied = 0
        self.failure: errors.MonsoonhingeError | None = None
        self.stopped = asyncio.Event()
        self._storage = storage
        self._machine = machine
        self._transport = transport
        self._timing = timing
        self._compactor = compaction.Compactor(
            machine=machine, entries=snapshot_entries, rng=rng
        )
        self._writer = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="storage"
        )
        self._writing: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queue: list[proposals.Proposal] = []
        self._proposed: dict[int, proposals.Proposal] = {}
        self._reads: dict[int, asyncio.Future[int]] = {}
        self._next_read = 1
        self._configuration: types.Configuration | None = None
        self._progress = asyncio.Event()
        self._following = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.raft.is_leader

    @property
    def leader(self) -> str:
        """Name of the leader, or ""."""
        return types.member_name(self.raft.state.leader)

    @property
    def configuration(self) -> types.Configuration:
        """Latest members."""
        return self.raft.state.log.configuration

    def start(self) -> None:
        """Begins to take part."""
        self._tick()

    async def stop(self) -> None:
        """Ends after the write in progress."""
        self._fail(errors.MonsoonhingeError("stopped"))
        if self._writing is not None:
            await asyncio.gather(self._writing, return_exceptions=True)
        await self._compactor.stop()
        self._writer.shutdown(wait=False)

    def found(self, configuration: types.Configuration) -> None:
        """Begins a new cluster with these members."""
        self.raft.found(configuration, self._loop.time())
        self._flush()

    def receive(self, message: types.RaftMessage) -> None:
        """Handles a message from another member."""
        if self.failure is not None:
            return
        try:
            self.raft.step(message, self._loop.time())
            self._flush()
        except types.SafetyError as error:
            self._fail(error)

    async def propose(self, data: bytes) -> tuple[int, bytes]:
        """Commits a command.

        Returns:
            Its index and its result.

        Raises:
            types.NotLeader: This member does not lead, or no longer. In the
                latter case the command may still be committed.
            errors.RemoteError: The command is too large.
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
        self._queue.append(proposal)
        if self._writing is None and len(self._queue) == 1:
            # Proposals of the same loop iteration share one batch.
            self._loop.call_soon(self._flush)
        return await proposal.result

    async def change(self, wanted: types.Configuration) -> None:
        """Commits a new configuration.

        Raises:
            types.NotLeader: This member does not lead, or no longer.
            types.ChangeRefused: The change is not possible now.
        """
        leadership = self._require_leadership("change members")
        leadership.change(wanted, self._loop.time())
        proposal = proposals.Proposal(
            data=b"",
            proposed_at=self._loop.time(),
            result=self._loop.create_future(),
            term=self.raft.state.term,
        )
        self._proposed[self.raft.state.log.last_index] = proposal
        self._flush()
        await proposal.result

    async def read(self) -> int:
        """Returns a commit index confirmed after this call, once applied.

        Raises:
            types.NotLeader: This member does not lead, or no longer.
        """
        leadership = self._require_leadership("read")
        token = self._next_read
        self._next_read += 1
        future: asyncio.Future[int] = self._loop.create_future()
        self._reads[token] = future
        leadership.read(token, self._loop.time())
        self._flush()
        index = await future
        while self.applied < index and self.failure is None:
            await self._progress.wait()
        return index

    async def hand_over(self, *, timeout: float) -> None:
        """Hands leadership to another voter if one is live.

        Args:
            timeout: Seconds to wait until another member leads.
        """
        leadership = self.raft.leadership
        if leadership is None or not leadership.transfer(self._loop.time()):
            return
        self._flush()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._following.wait()

    def _require_leadership(self, step: str) -> raft_leader.Leader:
        if self.failure is not None:
            raise types.NotLeader(leader="", step=step)
        return self.raft.require_leadership(step)

    def _tick(self) -> None:
        if self.failure is not None:
            return
        self._timer = self._loop.call_later(
            self._timing.heartbeat_s / _TICKS_PER_HEARTBEAT, self._tick
        )
        self.raft.tick(self._loop.time())
        self._flush()

    def _flush(self) -> None:
        """Carries out what the core wants."""
        if self.failure is not None:
            return
        if self._writing is None:
            self._submit()
        self._apply()
        if self.failure is not None:
            return
        self._answer_reads()
        if self.raft.is_leader:
            self._following.clear()
        else:
            self._following.set()
            self._fail_proposals()
        for to, message in self.raft.take_messages():
            self._transport.send(to, message)
        if self._configuration is not self.configuration:
            self._configuration = self.configuration
            self._transport.follow(self.configuration)
        if self._writing is None:
            write = self.raft.take_write()
            if write is not None:
                self._writing = self._loop.create_task(self._write(write))
        state = self.raft.state
        metrics.TERM.set(state.term)
        metrics.LEADER.set(self.raft.is_leader)
        metrics.COMMIT_INDEX.set(state.commit)
        metrics.APPLIED_INDEX.set(self.applied)

    def _submit(self) -> None:
        if not self._queue or self.raft.leadership is None:
            return
        batch, self._queue = self._queue, []
        try:
            first = self.raft.leadership.propose(
                [proposal.data for proposal in batch], self._loop.time()
            )
        except types.NotLeader as error:
            for proposal in batch:
                proposal.reject(error)
            return
        for number, proposal in enumerate(batch):
            proposal.term = self.raft.state.term
            self._proposed[first + number] = proposal

    async def _write(self, write: types.Write) -> None:
        started = self._loop.time()
        try:
            await self._loop.run_in_executor(
                self._writer, self._storage.write, write
            )
        except errors.MonsoonhingeError as error:
            self._fail(error)
            return
        finally:
            self._writing = None
        metrics.WRITE_SECONDS.observe(self._loop.time() - started)
        self.raft.written(write, self._loop.time())
        self._flush()

    def _apply(self) -> None:
        committed = self.raft.take_committed(_APPLY_ENTRIES)
        if committed is None:
            return
        try:
            if committed.snapshot is not None:
                self._machine.restore(committed.snapshot.data)
                self.applied = committed.snapshot.last_index
            for entry in committed.entries:
                self._apply_entry(entry)
            self._compactor.consider(
                self.raft.state, applied=self.applied, done=self._flush
            )
        except Exception as error:
            # Going on without the entry would make the members differ.
            _LOG.exception("state machine failed after %d", self.applied)
            self._fail(
                errors.MonsoonhingeError(
                    f"state machine failed after entry {self.applied}: {error}",
                    step="apply",
                )
            )
            return
        if self.applied < self.raft.state.commit:
            self._loop.call_soon(self._flush)
        self._progress.set()
        self._progress = asyncio.Event()

    def _apply_entry(self, entry: messages.Entry) -> None:
        result = b""
        if entry.kind == types.KIND_COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self.applied = entry.index
        proposal = self._proposed.pop(entry.index, None)
        if proposal is not None:
            proposal.resolve(
                index=entry.index,
                term=entry.term,
                result=result,
                now=self._loop.time(),
            )

    def _answer_reads(self) -> None:
        confirmed, failed = self.raft.take_reads()
        for token, index in confirmed:
            future = self._reads.pop(token)
            if not future.done():
                future.set_result(index)
        for token in failed:
            future = self._reads.pop(token)
            if not future.done():
                future.set_exception(
                    types.NotLeader(leader=self.leader, step="read")
                )

    def _fail_proposals(self) -> None:
        if not self._queue and not self._proposed:
            return
        pending = [*self._queue, *self._proposed.values()]
        self._queue = []
        self._proposed.clear()
        for proposal in pending:
            proposal.reject(types.NotLeader(leader=self.leader, step="propose"))

    def _fail(self, error: errors.MonsoonhingeError) -> None:
        """Steps down for good: nothing is sent or acknowledged any more."""
        if self.failure is not None:
            return
        self.failure = error
        if self._timer is not None:
            self._timer.cancel()
        self._fail_proposals()
        for future in self._reads.values():
            if not future.done():
                future.set_exception(types.NotLeader(leader="", step="read"))
        self._reads.clear()
        self._progress.set()
        metrics.LEADER.set(0)
        self.stopped.set()
