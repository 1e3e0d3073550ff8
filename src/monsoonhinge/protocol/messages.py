"""Messages between the processes of the system.

Each data class has a struct of the same name in ``schema.capnp``; the codec
converts between the two. No field is optional: an empty string, an empty list
or zero means "not given". Durations have their unit in the name.
"""

import dataclasses

from monsoonhinge.protocol import fleet


@dataclasses.dataclass(slots=True)
class Hello:
    """First message of each side of a connection."""

    version: int = 0
    node: str = ""
    role: str = ""
    incarnation: int = 0
    nonce: bytes = b""


@dataclasses.dataclass(slots=True)
class HelloProof:
    """Second message; its tag proves knowledge of the cluster secret."""


@dataclasses.dataclass(slots=True)
class Ack:
    """Reply to a request that has no result."""


@dataclasses.dataclass(slots=True)
class Error:
    """Reply to a failed request; ``leader`` is the leader's address or ""."""

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
    """Requests a vote; a ``pre_vote`` does not change any term.

    ``transfer`` marks an election that the leader itself has requested.
    """

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = False
    transfer: bool = False


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Reply to VoteRequest."""

    term: int = 0
    voter: str = ""
    granted: bool = False
    pre_vote: bool = False


@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Replicates log entries; without entries, it is the leader's heartbeat.

    ``round`` numbers the quorum rounds that confirm leadership for reads.
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
    """Reply to AppendRequest.

    When the request was rejected, ``match_index`` is a hint of where the logs
    may match.
    """

    term: int = 0
    follower: str = ""
    success: bool = False
    match_index: int = 0
    round: int = 0


@dataclasses.dataclass(slots=True)
class SnapshotChunk:
    """Part of a snapshot for a member that is too far behind."""

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    offset: int = 0
    total: int = 0
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Reply to SnapshotChunk; ``offset`` is the number of bytes received."""

    term: int = 0
    follower: str = ""
    last_index: int = 0
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Propose:
    """Requests that the leader commits an encoded command."""

    command: bytes = b""


@dataclasses.dataclass(slots=True)
class Proposed:
    """The command was committed at ``index`` and applied with ``result``."""

    index: int = 0
    result: bytes = b""


@dataclasses.dataclass(slots=True)
class Watch:
    """Subscribes to configuration changes after ``version`` (0: none yet).

    ``reads_packed_parts`` is set by builds that read deltas in several parts
    and compressed objects.
    """

    subscriber: str = ""
    role: str = ""
    version: int = 0
    reads_packed_parts: bool = False


@dataclasses.dataclass(slots=True)
class ConfigSnapshot:
    """Part of a complete configuration; objects are JSON documents.

    They are in ``objects``, or compressed by ``config.pack`` in ``packed``.
    """

    version: int = 0
    index: int = 0
    part: int = 0
    parts: int = 0
    objects: list[bytes] = dataclasses.field(default_factory=list)
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class ConfigDelta:
    """Changes from ``base`` to ``version``; deletes are ``kind/name`` ids.

    A large change is sent in several ``parts``, whose objects are compressed
    by ``config.pack`` in ``packed`` instead of ``upserts``.
    """

    base: int = 0
    version: int = 0
    index: int = 0
    upserts: list[bytes] = dataclasses.field(default_factory=list)
    deletes: list[str] = dataclasses.field(default_factory=list)
    part: int = 0
    parts: int = 0
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class Probe:
    """Requests a commit index confirmed by a quorum after this was received.

    The reply is Fresh.
    """


@dataclasses.dataclass(slots=True)
class Fresh:
    """Commit index and configuration version, confirmed by a quorum."""

    index: int = 0
    version: int = 0


@dataclasses.dataclass(slots=True)
class InForce:
    """Reports the configuration version that a subscriber has in effect."""

    version: int = 0


@dataclasses.dataclass(slots=True)
class RenewLease:
    """Extends a lease by its TTL."""

    name: str = ""
    holder: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class LeaseRenewed:
    """The lease is valid for ``ttl_ms`` after RenewLease was sent."""

    ttl_ms: int = 0


@dataclasses.dataclass(slots=True)
class AwaitCall:
    """Waits until a non-repeatable call is no longer running.

    The reply is CallRecord.
    """

    team: str = ""
    route: str = ""
    key: str = ""
    timeout_ms: int = 0


@dataclasses.dataclass(slots=True)
class CallRecord:
    """State of a non-repeatable call.

    ``state`` is ``absent``, ``running``, ``finished``, ``answer_not_kept``
    (its response was dropped to save memory) or ``unknown``. ``headers`` is a
    JSON list of name and value pairs.
    """

    state: str = ""
    digest: bytes = b""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class ReadState:
    """Reads a section of the state machine after a quorum round.

    Sections: ``decisions``, ``budgets``, ``leases``, ``config``, ``status``.
    """

    section: str = ""


@dataclasses.dataclass(slots=True)
class StateReply:
    """Reply to ReadState: the section as a JSON document."""

    index: int = 0
    document: bytes = b""


@dataclasses.dataclass(slots=True)
class CachedCheckpoint:
    """A checkpoint cached by a target; ``tier`` is ``memory`` or ``disk``."""

    model: str = ""
    version: str = ""
    tier: str = ""


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """State of a replica as reported by its target.

    ``state`` is ``loading``, ``loaded`` or ``unloading``; ``order_id`` is the
    id of the order that created the replica.
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
    """A prompt prefix was added to (``stored``) or removed from the cache."""

    prefix: int = 0
    stored: bool = False


@dataclasses.dataclass(slots=True)
class TargetState:
    """Announced state of a target, with the age of the announcement.

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
    """Announcements that a gateway forwards to every scheduler."""

    targets: list[TargetState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Subscribe:
    """Subscribes a gateway to the target directory of a scheduler."""

    gateway: str = ""
    availability_zone: str = ""


@dataclasses.dataclass(slots=True)
class DirectoryUpdate:
    """Changed targets; with ``full``, the complete list of targets."""

    full: bool = False
    targets: list[TargetState] = dataclasses.field(default_factory=list)
    removed: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DemandItem:
    """Requests of one team for one model (and adapter) at one gateway.

    ``earliest_deadline_ms`` is relative to the time of sending, and 0 when no
    request waits.
    """

    model: str = ""
    adapter: str = ""
    team: str = ""
    waiting: int = 0
    running: int = 0
    earliest_deadline_ms: int = 0


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand of one gateway; with ``full`` it replaces all earlier items."""

    gateway: str = ""
    full: bool = False
    items: list[DemandItem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class VerdictItem:
    """Readiness estimate of a model or adapter that requests wait for.

    ``ready_in_ms`` is relative to the time of sending. With ``refused``, the
    model cannot be loaded at all, for the given ``reason``.
    """

    model: str = ""
    adapter: str = ""
    ready_in_ms: int = 0
    refused: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Verdict:
    """Readiness estimates of the active scheduler for a gateway's demand."""

    items: list[VerdictItem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class GrantRequest:
    """Requests tokens from the budget lease holder and returns unused ones.

    ``returned`` is the total number of unused tokens of grant
    ``returned_grant`` that were returned so far, so a resent request returns
    no token twice. ``wanted`` is granted in full if the bucket allows;
    ``waiting`` is what waiting requests need beyond it, and may be granted in
    part.
    """

    gateway: str = ""
    team: str = ""
    wanted: int = 0
    waiting: int = 0
    returned: int = 0
    returned_grant: int = 0


@dataclasses.dataclass(slots=True)
class Grant:
    """Tokens that may be charged until ``valid_ms`` after the request was sent.

    Without tokens, ``retry_after_ms`` is the time until some are expected.
    """

    team: str = ""
    grant_id: int = 0
    tokens: int = 0
    valid_ms: int = 0
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class Interest:
    """Models whose load a gateway subscribes to; replaces the earlier list."""

    models: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """Load of one replica; ``replica`` is the CRC-32 of its order id."""

    replica: int = 0
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target's replicas after its latest DirectoryUpdate."""

    target: str = ""
    sequence: int = 0
    age_ms: int = 0
    loads: list[ReplicaLoad] = dataclasses.field(default_factory=list)
    cache_batch: int = 0
    cache_events: list[CacheEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TargetAge:
    """Age of the latest announcement of a target whose next one is late."""

    target: str = ""
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class Loads:
    """Heartbeat of a directory subscription.

    Every target in the directory posted its latest announcement at most
    ``bound_ms`` before the message was sent, except those in ``late``.
    ``targets`` are the loads that the gateway has subscribed to.
    """

    bound_ms: int = 0
    late: list[TargetAge] = dataclasses.field(default_factory=list)
    targets: list[TargetLoad] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TimeoutNow:
    """Leadership transfer: the leader tells a member to start an election."""

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
    """Probe forwarded to the leader, with the subscribers that sent one."""

    subscribers: list[SubscriberState] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DescribeMember:
    """Requests the identity of a control member."""


@dataclasses.dataclass(slots=True)
class MemberDescription:
    """Identity of a control member; ``founded`` if it belongs to a cluster."""

    name: str = ""
    identity: str = ""
    founded: bool = False


@dataclasses.dataclass(slots=True)
class AddMember:
    """Adds a control member to the cluster, first as a learner."""

    name: str = ""
    host: str = ""
    port: int = 0


@dataclasses.dataclass(slots=True)
class ResignVoter:
    """Request of a voter that stops to let another member vote in its place.

    ``member`` is its id. The reply is an error if no member has caught up.
    """

    member: str = ""


@dataclasses.dataclass(slots=True)
class PrepareBootstrap:
    """Starts a ballot on the first configuration of a cluster."""

    round: int = 0
    proposer: str = ""


@dataclasses.dataclass(slots=True)
class AcceptBootstrap:
    """Proposes a configuration in a ballot that a majority has promised."""

    round: int = 0
    proposer: str = ""
    configuration: bytes = b""


@dataclasses.dataclass(slots=True)
class BootstrapVote:
    """State of a seed as an acceptor, after a request of a proposer.

    ``seeds`` are the names of all acceptors. The promised ballot is the highest
    one seen; ``configuration`` was accepted in the accepted ballot.
    """

    seeds: list[str] = dataclasses.field(default_factory=list)
    promised_round: int = 0
    promised_proposer: str = ""
    accepted_round: int = 0
    accepted_proposer: str = ""
    configuration: bytes = b""


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
    | fleet.TargetCrash
    | fleet.PromptQuarantines
    | fleet.PartsServed
    | fleet.RateLimits
    | fleet.PermitRequest
    | fleet.Permit
    | fleet.ModelDelays
    | fleet.StreamOrigins
    | fleet.FindStreamOrigin
    | fleet.FoundStreamOrigin
    | ResignVoter
    | PrepareBootstrap
    | AcceptBootstrap
    | BootstrapVote
)
