"""Types shared by the consensus core, its storage and its driver."""

import dataclasses
import enum
import json

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

KIND_NOOP = 0
KIND_COMMAND = 1
KIND_CONFIGURATION = 2

RaftMessage = (
    messages.VoteRequest
    | messages.VoteReply
    | messages.AppendRequest
    | messages.AppendReply
    | messages.SnapshotChunk
    | messages.SnapshotReply
    | messages.TimeoutNow
)


class SafetyError(errors.MonsoonhingeError):
    """A committed entry would be overwritten; the member must stop."""


class NotLeader(errors.RemoteError):
    """The operation requires the leader, and this member is not the leader."""

    def __init__(self, *, leader: str, step: str) -> None:
        super().__init__(
            "not the leader",
            code="not_leader",
            leader=leader,
            step=step,
            peer="",
        )


class ChangeRefused(errors.RemoteError):
    """A membership change is not possible or not safe at present."""

    def __init__(self, message: str) -> None:
        super().__init__(
            message,
            code="change_refused",
            leader="",
            step="change members",
            peer="",
        )


class Role(enum.Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of the cluster.

    Attributes:
        name: Name from the settings.
        identity: Random identity of its data directory.
        host: IP address of its internal listener.
        port: TCP port of its internal listener.
        voter: Whether it is a voter; a learner only receives the log.
    """

    name: str
    identity: str
    host: str = ""
    port: int = 0
    voter: bool = True

    @property
    def id(self) -> str:
        """Id in Raft messages; it changes if the data directory is lost."""
        return f"{self.name}/{self.identity}"


def member_name(member_id: str) -> str:
    """Returns the member name contained in a member id."""
    return member_id.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The members of the cluster, as set by one log entry."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> list[str]:
        """Ids of the voters."""
        return [member.id for member in self.members if member.voter]

    @property
    def member_ids(self) -> list[str]:
        """Ids of the voters and learners."""
        return [member.id for member in self.members]

    def quorum(self) -> int:
        """Returns the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def get(self, member_id: str) -> Member | None:
        """Returns the member with an id, or None."""
        return next((m for m in self.members if m.id == member_id), None)

    def encode(self) -> bytes:
        """Encodes the configuration as JSON for a log entry or snapshot."""
        return json.dumps(
            [dataclasses.asdict(member) for member in self.members]
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Configuration":
        """Decodes a configuration made by ``encode()``."""
        return cls(tuple(Member(**fields) for fields in json.loads(data)))


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Encoded state of the state machine after entry ``last_index``."""

    last_index: int = 0
    last_term: int = 0
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    data: bytes = b""

    def payload(self) -> bytes:
        """Encodes the configuration and data, to be sent or stored."""
        configuration = self.configuration.encode()
        return len(configuration).to_bytes(4, "big") + configuration + self.data

    @classmethod
    def from_payload(
        cls, *, last_index: int, last_term: int, payload: bytes
    ) -> "Snapshot":
        """Decodes a snapshot from the bytes returned by ``payload()``."""
        start = 4 + int.from_bytes(payload[:4], "big")
        return cls(
            last_index=last_index,
            last_term=last_term,
            configuration=Configuration.decode(payload[4:start]),
            data=payload[start:],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Time intervals of the consensus protocol.

    Attributes:
        heartbeat_s: Interval between heartbeats of the leader.
        election_timeout_s: Minimum election timeout; the maximum is twice it.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6


@dataclasses.dataclass(slots=True)
class Write:
    """Changes that must become durable together.

    Attributes:
        term: Current term.
        vote: Id of the member voted for in that term, or "".
        entries: Entries to append; they replace the stored entries from the
            index of the first one on.
        snapshot: New snapshot or None. With a snapshot, ``entries`` is the
            whole retained log.
        messages: Messages to send once the write is durable, as (member id,
            message).
        last_index: Index of the last log entry covered by this write.
        last_term: Term of the entry at ``last_index``.
    """

    term: int
    vote: str
    entries: list[messages.Entry]
    snapshot: Snapshot | None
    messages: list[tuple[str, RaftMessage]]
    last_index: int
    last_term: int


@dataclasses.dataclass(slots=True)
class Committed:
    """Committed state that the state machine has not applied yet.

    A ``snapshot``, if present, replaces the whole state; ``entries`` are then
    applied in order.
    """

    snapshot: Snapshot | None
    entries: list[messages.Entry]
