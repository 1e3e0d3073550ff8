"""Values exchanged between the consensus core, its storage and its driver."""

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
    """A committed entry would change; the member must stop."""


class NotLeader(errors.RemoteError):
    """The operation needs the leader, and this member is not it."""

    def __init__(self, *, leader: str, step: str) -> None:
        super().__init__(
            "not the leader",
            code="not_leader",
            leader=leader,
            step=step,
            peer="",
        )


class ChangeRefused(errors.RemoteError):
    """A membership change cannot be made now."""

    def __init__(self, message: str) -> None:
        super().__init__(
            message,
            code="change_refused",
            leader="",
            step="change members",
            peer="",
        )


class Role(enum.Enum):
    """What a member currently does."""

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
        voter: Whether it votes; a learner only receives the log.
    """

    name: str
    identity: str
    host: str = ""
    port: int = 0
    voter: bool = True

    @property
    def id(self) -> str:
        """Id in Raft messages; differs after a lost data directory."""
        return f"{self.name}/{self.identity}"


def member_name(member_id: str) -> str:
    """Returns the name within a member id."""
    return member_id.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The members as of one log entry."""

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
        """Returns how many voters form a majority."""
        return len(self.voters) // 2 + 1

    def get(self, member_id: str) -> Member | None:
        """Returns a member by id."""
        return next((m for m in self.members if m.id == member_id), None)

    def encode(self) -> bytes:
        """Encodes the configuration for a log entry."""
        return json.dumps(
            [dataclasses.asdict(member) for member in self.members]
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Configuration":
        """Decodes a configuration from a log entry."""
        return cls(tuple(Member(**fields) for fields in json.loads(data)))


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after ``last_index``."""

    last_index: int = 0
    last_term: int = 0
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    data: bytes = b""

    def payload(self) -> bytes:
        """Returns the bytes sent to members and written to disk."""
        configuration = self.configuration.encode()
        return len(configuration).to_bytes(4, "big") + configuration + self.data

    @classmethod
    def from_payload(
        cls, *, last_index: int, last_term: int, payload: bytes
    ) -> "Snapshot":
        """Makes a snapshot from ``payload()``."""
        start = 4 + int.from_bytes(payload[:4], "big")
        return cls(
            last_index=last_index,
            last_term=last_term,
            configuration=Configuration.decode(payload[4:start]),
            data=payload[start:],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the core.

    Attributes:
        heartbeat_s: Time between two heartbeats.
        election_timeout_s: Minimum election timeout; the maximum is twice it.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6


@dataclasses.dataclass(slots=True)
class Write:
    """What must become durable in one step.

    Attributes:
        term: Current term.
        vote: Member voted for in that term, or "".
        entries: Entries to append; the first one replaces what follows it.
        snapshot: New snapshot; then ``entries`` is the whole retained log.
        messages: Messages to send afterwards, as (member id, message).
        last_index: Last log index that the write covers.
        last_term: Term of that entry.
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
    """What the state machine must take over.

    ``snapshot`` replaces its state; then ``entries`` are applied in order.
    """

    snapshot: Snapshot | None
    entries: list[messages.Entry]
