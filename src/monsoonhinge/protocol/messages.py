"""Messages between the system's own processes.

Each data class has a struct of the same name in ``schema.capnp``; the codec
converts between the two. Fields have no optional values: an empty string,
list or zero stands for "not given". Durations carry their unit in the name.
"""

import dataclasses

from monsoonhinge.protocol import fleet


@dataclasses.dataclass(slots=True)
class Hello:
    """First frame of each side of a connection."""

    version: int = 0
    node: str = ""
    role: str = ""
    incarnation: int = 0
    nonce: bytes = b""


@dataclasses.dataclass(slots=True)
class HelloProof:
    """Second frame; its authentication tag proves knowledge of the secret."""


@dataclasses.dataclass(slots=True)
class Ack:
    """Reply to a request that has no result."""


@dataclasses.dataclass(slots=True)
class Error:
    """Reply to a request that failed."""

    code: str = ""
    message: str = ""
    step: str = ""
    leader: str = ""


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry of the replicated log.

    ``kind`` is 0 for a no-op, 1 for a command, 2 for a membership change.
    """

    index: int = 0
    term: int = 0
    kind: int = 0
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Asks for a vote; ``pre_vote`` asks without changing any term.

    ``transfer`` marks an election that the leader itself asked for.
    """

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = False
    transfer: bool = False


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Answer to a vote request."""

    term: int = 0
    voter: str = ""
    granted: bool = False
    pre_vote: bool = False


@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Replicates entries; also the heartbeat.

    ``round`` numbers the leader's confirmation rounds for read index.
    """

    term: int = 0
    leader: str = ""
    prev_index: int = 0
    prev_term: int = 0
    entries: list[Entry] = dataclasses.field(default_factory=list)
    commit: int = 0
    round: int = 0


@dataclasses.dataclass(slots=True)
class AppendReply:
    """Answer to an append; ``match_index`` is a hint when it was rejected."""

    term: int = 0
    follower: str = ""
    success: bool = False
    match_index: int = 0
    round: int = 0


@dataclasses.dataclass(slots=True)
class SnapshotChunk:
    """Part of a snapshot sent to a member that is far behind."""

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Bytes of the snapshot that the follower holds so far."""

    term: int = 0
    follower: str = ""
    last_index: int = 0
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Propose:
    """Asks the leader to commit a command (encoded by control.commands)."""

    command: bytes = b""


@dataclasses.dataclass(slots=True)
class Proposed:
    """The command was committed at ``index`` and applied with ``result``."""

    index: int = 0
    result: bytes = b""


@dataclasses.dataclass(slots=True)
class Watch:
    """Subscribes to the configuration from ``version`` on (0: nothing yet)."""

    subscriber: str = ""
    role: str = ""
    version: int = 0


@dataclasses.dataclass(slots=True)
class ConfigSnapshot:
    """One part of a whole configuration; objects are JSON documents."""

    version: int = 0
    index: int = 0
    part: int = 0
    parts: int = 0
    objects: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ConfigDelta:
    """Change from ``base`` to ``version``; deletes are ``kind/name``."""

    base: int = 0
    version: int = 0
    index: int = 0
    upserts: list[bytes] = dataclasses.field(default_factory=list)
    deletes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Probe:
    """Asks for the commit index of a leader confirmed after this arrived."""


@dataclasses.dataclass(slots=True)
class Fresh:
    """Commit index and configuration version confirmed by a quorum round."""

    index: int = 0
    version: int = 0


@dataclasses.dataclass(slots=True)
class InForce:
    """The subscriber has this configuration version in effect."""

    version: int = 0


@dataclasses.dataclass(slots=True)
class RenewLease:
    """Extends a lease by its TTL."""

    name: str = ""
    holder: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class LeaseRenewed:
    """The lease holds for ``ttl_ms`` from when the renewal was sent."""

    ttl_ms: int = 0


@dataclasses.dataclass(slots=True)
class AwaitCall:
    """Waits until the record of a non-repeatable call is no longer running."""

    team: str = ""
    route: str = ""
    key: str = ""
    timeout_ms: int = 0


@dataclasses.dataclass(slots=True)
class CallRecord:
    """State of a non-repeatable call.

    ``state`` is ``absent``, ``running``, ``finished``, ``answer_not_kept`` or
    ``unknown``.
    ``headers`` is a JSON list of name and value pairs.
    """

    state: str = ""
    digest: bytes = b""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class ReadState:
    """Reads one section of the state machine after a quorum round.

    Sections: ``decisions``, ``budgets``, ``leases``, ``config``, ``status``.
    """

    section: str = ""


@dataclasses.dataclass(slots=True)
class StateReply:
    """JSON document of the requested section."""

    index: int = 0
    document: bytes = b""


@dataclasses.dataclass(slots=True)
class CachedCheckpoint:
    """A checkpoint that a target holds in ``memory`` or on ``disk``."""

    model: str = ""
    version: str = ""
    tier: str = ""


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """A replica as its target reports it.

    ``state`` is ``loading``, ``loaded`` or ``unloading``; ``order_id`` is the
    order that created the replica.
    """

    model: str = ""
    version: str = ""
    state: str = ""
    order_id: str = ""
    adapters: list[str] = dataclasses.field(default_factory=list)
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class OrderOutcome:
    """Result of a recent order: ``done``, ``failed`` or ``refused``."""

    order_id: str = ""
    outcome: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A prompt prefix entered (``stored``) or left the target's cache."""

    prefix: int = 0
    stored: bool = False


@dataclasses.dataclass(slots=True)
class TargetState:
    """A target as announced, with the age of the announcement.

    ``cache_batch`` is the number of the batch of ``cache_events``; a gap in
    the numbers means that events were lost.
    """

    target: str = ""
    incarnation: int = 0
    sequence: int = 0
    kind: str = ""
    services: list[str] = dataclasses.field(default_factory=list)
    availability_zone: str = ""
    address: str = ""
    memory_bytes: int = 0
    checks_fencing: bool = False
    fencing: int = 0
    leaving: bool = False
    age_ms: int = 0
    cached: list[CachedCheckpoint] = dataclasses.field(default_factory=list)
    replicas: list[ReplicaState] = dataclasses.field(default_factory=list)
    orders: list[OrderOutcome] = dataclasses.field(default_factory=list)
    cache_batch: int = 0
    cache_events: list[CacheEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Announcements:
    """Announcements relayed by a gateway to every scheduler."""

    targets: list[TargetState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Subscribe:
    """Subscribes a gateway to the directory of a scheduler."""

    gateway: str = ""
    availability_zone: str = ""


@dataclasses.dataclass(slots=True)
class DirectoryUpdate:
    """Targets that changed; with ``full`` all others are gone."""

    full: bool = False
    targets: list[TargetState] = dataclasses.field(default_factory=list)
    removed: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DemandItem:
    """Requests of one team for one model (and adapter) at one gateway.

    ``earliest_deadline_ms`` is relative to when the message was sent; zero
    when nothing waits.
    """

    model: str = ""
    adapter: str = ""
    team: str = ""
    waiting: int = 0
    running: int = 0
    earliest_deadline_ms: int = 0


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand of one gateway; with ``full`` it replaces what was known."""

    gateway: str = ""
    full: bool = False
    items: list[DemandItem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class VerdictItem:
    """When a model is expected to be ready for waiting requests.

    ``ready_in_ms`` is relative to when the message was sent. With ``refused``
    the model cannot be loaded at all; ``reason`` says why.
    """

    model: str = ""
    adapter: str = ""
    ready_in_ms: int = 0
    refused: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Verdict:
    """Verdicts of the active scheduler for the demand of a gateway."""

    items: list[VerdictItem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class GrantRequest:
    """Asks the budget holder for tokens and returns unused ones.

    ``returned`` counts all tokens of grant ``returned_grant`` that came back
    unused so far, so repeating the request returns nothing twice. ``wanted``
    is met whole if the bucket allows; ``waiting`` is what waiting requests
    need beyond it, and may be met in part.
    """

    gateway: str = ""
    team: str = ""
    wanted: int = 0
    waiting: int = 0
    returned: int = 0
    returned_grant: int = 0


@dataclasses.dataclass(slots=True)
class Grant:
    """Tokens that may be charged until ``valid_ms`` after the request left.

    With no tokens, ``retry_after_ms`` says when some are expected.
    """

    team: str = ""
    grant_id: int = 0
    tokens: int = 0
    valid_ms: int = 0
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class Interest:
    """Models whose load a gateway wants to follow; replaces earlier ones."""

    models: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """Load of one replica; ``replica`` is the CRC-32 of its order id."""

    replica: int = 0
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target's replicas since its last structural update."""

    target: str = ""
    sequence: int = 0
    age_ms: int = 0
    loads: list[ReplicaLoad] = dataclasses.field(default_factory=list)
    cache_batch: int = 0
    cache_events: list[CacheEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TargetAge:
    """Age of the latest announcement of a target that is late."""

    target: str = ""
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class Loads:
    """Heartbeat of a directory subscription.

    Every target in the directory was heard at most ``bound_ms`` before the
    message was sent, except those listed in ``late``. ``targets`` are loads
    that the gateway is interested in.
    """

    bound_ms: int = 0
    late: list[TargetAge] = dataclasses.field(default_factory=list)
    targets: list[TargetLoad] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TimeoutNow:
    """The leader asks a member to start an election at once."""

    term: int = 0
    leader: str = ""


@dataclasses.dataclass(slots=True)
class SubscriberState:
    """A subscriber of a control member and the version it has in effect.

    ``session`` is its node and incarnation as ``node/incarnation``.
    """

    session: str = ""
    role: str = ""
    version: int = 0


@dataclasses.dataclass(slots=True)
class RelayProbe:
    """Probe relayed to the leader with the subscribers that probed."""

    subscribers: list[SubscriberState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DescribeMember:
    """Asks a control member for its identity."""


@dataclasses.dataclass(slots=True)
class MemberDescription:
    """Identity of a control member; ``founded`` once it is in a cluster."""

    name: str = ""
    identity: str = ""
    founded: bool = False


@dataclasses.dataclass(slots=True)
class AddMember:
    """Adds the control member at an address, first as a learner."""

    name: str = ""
    host: str = ""
    port: int = 0


@dataclasses.dataclass(slots=True)
class RemoveMember:
    """Removes a control member; ``force`` skips the live-quorum check."""

    name: str = ""
    force: bool = False


Message = (
    Hello
    | HelloProof
    | Ack
    | Error
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Propose
    | Proposed
    | Watch
    | ConfigSnapshot
    | ConfigDelta
    | Probe
    | Fresh
    | InForce
    | RenewLease
    | LeaseRenewed
    | AwaitCall
    | CallRecord
    | ReadState
    | StateReply
    | Announcements
    | Subscribe
    | DirectoryUpdate
    | Demand
    | Verdict
    | GrantRequest
    | Grant
    | Interest
    | Loads
    | TimeoutNow
    | RelayProbe
    | DescribeMember
    | MemberDescription
    | AddMember
    | RemoveMember
    | fleet.WatchRegistry
    | fleet.Registrations
    | fleet.FleetActive
    | fleet.FleetDemand
    | fleet.Placements
)
