"""Simulated cluster: consensus cores with fake network, disks and clocks."""

from collections.abc import Sequence
import contextlib
import dataclasses
import errno
import hashlib
import heapq
import random

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import raft
from monsoonhinge.consensus import storage
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

NAMES = ("a", "b", "c")
_TICK_S = 0.05
_COMPACTION_THRESHOLD_ENTRIES = 12

# Actions of inject_random_faults(); repeated ones are chosen more often.
_FAULT_ACTIONS = (
    "crash",
    "crash all",
    *["crash and restart"] * 3,
    *["start stopped"] * 3,
    "block one direction",
    *["block both directions"] * 2,
    "isolate",
    *["unblock all"] * 3,
    *["propose"] * 5,
    "pause",
    *["resume all and read"] * 2,
    *["read and replace lost members"] * 2,
    "transfer leadership",
)


@dataclasses.dataclass
class _Inode:
    data: bytearray = dataclasses.field(default_factory=bytearray)
    synced_bytes: int = 0


class FakeDisk:
    """Simulated disk whose unsynced data is lost or torn on power failure.

    Attributes:
        operations_until_failure: Number of operations after which each one
            fails with an I/O error; negative if none fails.
        operations_until_full: Number of operations after which the disk takes
            no more bytes; negative if it has room.
    """

    def __init__(self) -> None:
        self.operations_until_failure = -1
        self.operations_until_full = -1
        self._files: dict[str, _Inode] = {}
        self._durable_files: dict[str, _Inode] = {}

    def _count_operation(self) -> None:
        if self.operations_until_failure == 0:
            raise OSError(5, "Input/output error")
        self.operations_until_failure -= 1

    def _check_room(self) -> None:
        if self.operations_until_full == 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.operations_until_full -= 1

    def names(self) -> list[str]:
        return list(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name].data)

    def append(self, name: str, data: bytes) -> None:
        self._count_operation()
        inode = self._files.setdefault(name, _Inode())
        try:
            self._check_room()
        except OSError:
            inode.data += data[: len(data) // 2]
            raise
        inode.data += data

    def sync(self, name: str) -> None:
        self._count_operation()
        self._check_room()
        self._files[name].synced_bytes = len(self._files[name].data)

    def truncate(self, name: str, size: int) -> None:
        inode = self._files[name]
        del inode.data[size:]
        inode.synced_bytes = min(inode.synced_bytes, size)

    def rename(self, old: str, new: str) -> None:
        self._count_operation()
        self._check_room()
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        self._count_operation()
        del self._files[name]

    def sync_directory(self) -> None:
        self._count_operation()
        self._check_room()
        self._durable_files = dict(self._files)

    def corrupt(self, name: str, position: int) -> None:
        """Inverts all bits of one byte."""
        self._files[name].data[position] ^= 0xFF

    def power_off(self, rng: random.Random) -> None:
        """Loses unsynced directory changes and suffixes of unsynced data."""
        self.operations_until_failure = -1
        if rng.random() < 0.5:
            self._files = dict(self._durable_files)
        for inode in self._files.values():
            kept_bytes = rng.randint(inode.synced_bytes, len(inode.data))
            torn = rng.random() < 0.5 and kept_bytes > inode.synced_bytes
            del inode.data[kept_bytes:]
            if torn:
                inode.data[-1] ^= 0xFF
            inode.synced_bytes = len(inode.data)
        self._durable_files = dict(self._files)


class Node:
    """A simulated member whose state machine hashes all applied entries."""

    def __init__(
        self, *, name: str, disk: FakeDisk, rng: random.Random, now: float
    ) -> None:
        self.name = name
        self.disk = disk
        self.clock_rate = rng.uniform(0.95, 1.05)
        self.clock_offset = rng.uniform(0, 1000)
        self.storage = storage.Storage(disk)
        self.id = types.Member(name, self.storage.identity).id
        self.pending_write: types.Write | None = None
        self.applied_index = 0
        self.digest = b""
        self.core = raft.Raft(
            member_id=self.id,
            term=self.storage.term,
            vote=self.storage.vote,
            snapshot=self.storage.snapshot,
            entries=self.storage.entries,
            timing=types.Timing(),
            rng=rng,
            now=self.clock(now),
        )

    def clock(self, now: float) -> float:
        return self.clock_offset + now * self.clock_rate


class Cluster:
    """Simulated members and network, with checks of the safety invariants.

    Attributes:
        drop_rate: Probability that a message is lost.
        write_completion_rates: Probability, by member, that a pending write
            completes within a tick.
        blocked_links: Pairs (sender, recipient) whose messages are lost.
        min_read_indexes: Lowest index that each read may return, by read id.
    """

    def __init__(
        self,
        seed: int,
        *,
        names: Sequence[str] = NAMES,
        spares: Sequence[str] = (),
    ) -> None:
        """Starts the members and the spares, which are not members yet."""
        self.names = tuple(names)
        self.rng = random.Random(seed)
        self.now = 0.0
        self.drop_rate = 0.0
        self.delay_s = 0.02
        self.write_completion_rates = dict.fromkeys((*names, *spares), 0.8)
        self.paused: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self.disks = {name: FakeDisk() for name in (*names, *spares)}
        self.nodes: dict[str, Node] = {}
        self.digest_by_index: dict[int, bytes] = {0: b""}
        self.committed_entries: dict[int, tuple[int, bytes]] = {}
        self.committed_configuration = types.Configuration()
        self.leader_by_term: dict[int, str] = {}
        self.min_read_indexes: dict[int, int] = {}
        self._in_flight: list[
            tuple[float, int, str, str, types.RaftMessage]
        ] = []
        self._sequence = 0
        for name in names:
            self.start(name)
        self.nodes["a"].core.bootstrap(
            types.Configuration(
                tuple(
                    types.Member(n, self.nodes[n].storage.identity)
                    for n in names
                )
            ),
            self.nodes["a"].clock(self.now),
        )

    def start(self, name: str) -> None:
        """Starts a stopped member from its disk."""
        self.nodes[name] = Node(
            name=name, disk=self.disks[name], rng=self.rng, now=self.now
        )
        self.process_output(self.nodes[name])

    def crash(self, name: str) -> None:
        """Powers a member off, possibly in the middle of a write."""
        self.paused.discard(name)
        node = self.nodes.pop(name)
        if node.pending_write is not None:
            node.disk.operations_until_failure = self.rng.randint(0, 6)
            with contextlib.suppress(storage_files.StorageError):
                node.storage.write(node.pending_write)
        node.disk.power_off(self.rng)

    def lose_data_directory(self, name: str) -> None:
        """Restarts a member with an empty data directory."""
        self.nodes.pop(name, None)
        self.paused.discard(name)
        self.disks[name] = FakeDisk()
        self.start(name)

    def leader(self) -> Node | None:
        """Returns the leader of the highest term, or None."""
        leading = [n for n in self.nodes.values() if n.core.is_leader]
        return max(leading, key=lambda n: n.core.state.term, default=None)

    def propose(self, commands: list[bytes]) -> None:
        """Proposes commands to every member that considers itself leader."""
        for node in self.nodes.values():
            if node.core.leadership is not None:
                with contextlib.suppress(types.NotLeader):
                    node.core.leadership.propose(commands, node.clock(self.now))
                self.process_output(node)

    def read(self) -> None:
        """Starts a read on every member that considers itself leader."""
        for node in self.nodes.values():
            if node.core.leadership is not None:
                read_id = len(self.min_read_indexes) + 1
                self.min_read_indexes[read_id] = max(
                    self.committed_entries, default=0
                )
                node.core.leadership.request_read(read_id, node.clock(self.now))
                self.process_output(node)

    def transfer_leadership(self) -> None:
        """Makes the leader transfer its leadership."""
        node = self.leader()
        if node is not None and node.core.leadership is not None:
            node.core.leadership.transfer_leadership(node.clock(self.now))
            self.process_output(node)

    def replace_lost_members(self) -> None:
        """Makes the leader propose the next step of replacing a lost member."""
        node = self.leader()
        if node is None or node.core.leadership is None:
            return
        leadership, log = node.core.leadership, node.core.state.log
        wanted = membership.next_configuration(
            log.configuration, leadership.is_caught_up
        )
        for other in self.nodes.values():
            if wanted is None and other.id not in log.configuration.member_ids:
                wanted = membership.add_learner(
                    log.configuration,
                    types.Member(other.name, other.storage.identity),
                )
        if wanted is not None:
            with contextlib.suppress(types.ChangeRefused):
                leadership.change_configuration(wanted, node.clock(self.now))
            self.process_output(node)

    def inject_random_faults(self, steps: int) -> None:
        """Performs random faults, commands and reads in quick succession."""
        rng = self.rng
        self.write_completion_rates = {
            n: rng.choice([0.05, 0.9]) for n in NAMES
        }
        self.delay_s = rng.choice([0.005, 0.02, 0.2])
        for _ in range(steps):
            name, other = rng.sample(NAMES, 2)
            match rng.choice(_FAULT_ACTIONS):
                case "crash" if name in self.nodes:
                    self.crash(name)
                case "crash all" if rng.random() < 0.3:
                    for running in list(self.nodes):
                        self.crash(running)
                case "crash and restart" if name in self.nodes:
                    self.crash(name)
                    self.start(name)
                case "transfer leadership":
                    self.transfer_leadership()
                case "start stopped":
                    self.start_stopped()
                case "block one direction":
                    self.blocked_links.add((name, other))
                case "block both directions":
                    self.blocked_links |= {(name, other), (other, name)}
                case "isolate":
                    for peer in NAMES:
                        self.blocked_links |= {(name, peer), (peer, name)}
                case "unblock all":
                    self.blocked_links.clear()
                case "propose":
                    self.propose([rng.randbytes(4)] * rng.randint(1, 3))
                case "pause" if name in self.nodes:
                    self.paused.add(name)
                case "resume all and read":
                    self.paused.clear()
                    self.read()
                case "read and replace lost members":
                    self.read()
                    self.replace_lost_members()
            self.run(rng.choice([0.0, 0.05, 0.05, 0.2, 0.8, 1.5]))
        self.paused.clear()
        self.write_completion_rates = dict.fromkeys(NAMES, 0.9)
        self.delay_s = 0.02

    def start_stopped(self) -> None:
        """Starts every stopped member."""
        for name in self.names:
            if name not in self.nodes:
                self.start(name)

    def has_all_voters(self) -> bool:
        """Returns whether all members are voters with their data directory."""
        present = {node.id for node in self.nodes.values()}
        voters = self.committed_configuration.voters
        return len(voters) == len(self.names) and present.issuperset(voters)

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        end = self.now + seconds
        while self.now < end:
            step_end = min(self.now + _TICK_S, end)
            while self._in_flight and self._in_flight[0][0] <= step_end:
                self.now, _, sender, to, message = heapq.heappop(
                    self._in_flight
                )
                node = self.nodes.get(types.member_name(to))
                if node is not None and node.name in self.paused:
                    delayed = (
                        step_end + 0.01,
                        self._sequence,
                        sender,
                        to,
                        message,
                    )
                    self._sequence += 1
                    heapq.heappush(self._in_flight, delayed)
                elif (
                    node is not None
                    and (sender, node.name) not in self.blocked_links
                ):
                    node.core.step(message, node.clock(self.now))
                    self.process_output(node)
            self.now = step_end
            for node in list(self.nodes.values()):
                if node.name in self.paused:
                    continue
                if (
                    node.pending_write is not None
                    and self.rng.random()
                    < self.write_completion_rates[node.name]
                ):
                    write, node.pending_write = node.pending_write, None
                    node.storage.write(write)
                    node.core.complete_write(write, node.clock(self.now))
                node.core.tick(node.clock(self.now))
                self.process_output(node)

    def process_output(self, node: Node) -> None:
        """Performs the output of a core and checks the invariants."""
        core = node.core
        if core.is_leader:
            expected = self.leader_by_term.setdefault(core.state.term, node.id)
            assert expected == node.id, "two leaders in one term"
        committed = core.take_committed(5)
        if committed is not None:
            self._apply(node, committed)
        if (
            node.applied_index - core.state.log.snapshot.last_index
            > _COMPACTION_THRESHOLD_ENTRIES
        ):
            core.state.compact(
                index=node.applied_index, data=node.digest, retained_entries=4
            )
        for read_id, index in core.take_reads()[0]:
            assert index >= self.min_read_indexes[read_id], "stale read"
        if node.pending_write is None:
            node.pending_write = core.take_write()
        for to, message in core.take_messages():
            self._send(node.name, to, message)

    def _apply(self, node: Node, committed: types.Committed) -> None:
        if committed.snapshot is not None:
            node.applied_index = committed.snapshot.last_index
            node.digest = committed.snapshot.data
            assert node.digest == self.digest_by_index[node.applied_index], (
                "wrong snapshot"
            )
        for entry in committed.entries:
            assert entry.index == node.applied_index + 1, "gap"
            content = (entry.term, entry.data)
            expected = self.committed_entries.setdefault(entry.index, content)
            assert expected == content, "committed entry differs"
            node.applied_index = entry.index
            node.digest = hashlib.sha256(node.digest + entry.data).digest()
            self.digest_by_index[entry.index] = node.digest
            if entry.kind == types.KIND_CONFIGURATION and entry.index == len(
                self.committed_entries
            ):
                self.committed_configuration = types.Configuration.decode(
                    entry.data
                )

    def _send(self, sender: str, to: str, message: types.RaftMessage) -> None:
        for _ in range(2 if self.rng.random() < self.drop_rate / 2 else 1):
            if self.rng.random() < self.drop_rate:
                continue
            self._sequence += 1
            arrival_time = self.now + self.rng.expovariate(1 / self.delay_s)
            heapq.heappush(
                self._in_flight,
                (arrival_time, self._sequence, sender, to, message),
            )


def entry(index: int, term: int = 1, data: bytes = b"x") -> messages.Entry:
    """Returns a log entry that holds a command."""
    return messages.Entry(
        index=index, term=term, kind=types.KIND_COMMAND, data=data
    )
