"""Commands of the replicated log and their results.

Each data class has a struct of the same name in ``schema.capnp``. Commands are
idempotent by their content or id, so a proposer that lost the reply sends the
same command again.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class PublishConfig:
    """Replaces all objects but the keys; accepted only as the next version.

    Attributes:
        version: Version in effect plus one.
        digest: SHA-256 over the canonical objects.
        publisher: Who publishes, for the message to a losing publisher.
        objects: Canonical JSON documents.
        packed: The same documents compressed by ``config.pack``; then
            ``objects`` is empty. A large set would not fit one log command
            otherwise.
    """

    version: int = 0
    digest: bytes = b""
    publisher: str = ""
    objects: list[bytes] = dataclasses.field(default_factory=list)
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class ReplaceConfig:
    """Replaces all objects, keys included, if its version is the highest.

    An older or equal version is accepted and changes nothing.

    Attributes:
        version: Version chosen by the publisher; gaps are allowed.
        publisher: Who publishes.
        source: The document from which the objects were made, compressed; it
            is what a reader of the configuration gets back.
        packed: Canonical objects compressed by ``config.pack``.
    """

    version: int = 0
    publisher: str = ""
    source: bytes = b""
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class GrantKey:
    """Adds a key of a team; ``hash`` is the keyed hash of the key."""

    name: str = ""
    team: str = ""
    hash: str = ""
    publisher: str = ""


@dataclasses.dataclass(slots=True)
class WithdrawKey:
    """Removes a key for good.

    With ``hash`` only the key of that hash is removed, so that a resend never
    removes a later key of the same name.
    """

    name: str = ""
    publisher: str = ""
    hash: str = ""


@dataclasses.dataclass(slots=True)
class AcquireLease:
    """Takes a lease that nobody holds; the holder itself gets it again."""

    name: str = ""
    holder: str = ""


@dataclasses.dataclass(slots=True)
class ReleaseLease:
    """Gives a lease back before it expires."""

    name: str = ""
    holder: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class ExpireLease:
    """Ends a lease that was not renewed; proposed by the leader only."""

    name: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class ClaimCall:
    """Claims the right to run a non-repeatable call once.

    Attributes:
        team: Team of the caller.
        route: Route of the call.
        key: Idempotency key.
        digest: SHA-256 over method, path and body.
        gateway: Node and incarnation of the claiming gateway.
        claim_id: Unique id of this claim.
        now_ms: Wall-clock time of the leader, for retention.
        limit_bytes: Memory for all records, from the leader's settings; 0 for
            the limit used so far. It is part of the command because members
            with different settings would otherwise decide differently.
    """

    team: str = ""
    route: str = ""
    key: str = ""
    digest: bytes = b""
    gateway: str = ""
    claim_id: str = ""
    now_ms: int = 0
    limit_bytes: int = 0


@dataclasses.dataclass(slots=True)
class FinishCall:
    """Records the answer of a claimed call.

    With ``state`` ``released`` the claim is dropped because no byte of the
    call has left for a target. With ``unknown`` nobody can tell its outcome.
    """

    team: str = ""
    route: str = ""
    key: str = ""
    claim_id: str = ""
    state: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    now_ms: int = 0


@dataclasses.dataclass(slots=True)
class AbandonCalls:
    """Makes all running calls of a lost gateway unknown."""

    gateway: str = ""


@dataclasses.dataclass(slots=True)
class DropCalls:
    """Drops records claimed before a time; proposed by the leader only."""

    before_ms: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaChange:
    """One change of the decided replicas.

    ``action`` is ``load`` or ``unload`` of the replica with that decision id;
    ``load_adapter`` or ``unload_adapter``, whose decision id is the replica's
    id, a slash and a unique suffix; or ``settled`` once the target itself has
    reported that the replica is gone or the adapter is loaded or gone.
    """

    action: str = ""
    decision_id: str = ""
    target: str = ""
    incarnation: int = 0
    model: str = ""
    model_version: str = ""
    adapter: str = ""
    reserved_bytes: int = 0


@dataclasses.dataclass(slots=True)
class DecideReplicas:
    """Changes the decided replicas; refused with an old fencing number."""

    fencing: int = 0
    changes: list[ReplicaChange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class CheckpointBudget:
    """Upper bound of the tokens granted to a team so far.

    ``shard`` is the name of the lease, such as ``budget/0``.
    ``granted`` counts tokens since the team was created and only grows.
    ``level`` is the tokens in the bucket after all of ``granted`` is spent,
    as of ``now_ms`` on the wall clock of the leader.
    """

    shard: str = ""
    fencing: int = 0
    team: str = ""
    granted: int = 0
    level: int = 0
    now_ms: int = 0


Command = (
    PublishConfig
    | GrantKey
    | WithdrawKey
    | AcquireLease
    | ReleaseLease
    | ExpireLease
    | ClaimCall
    | FinishCall
    | AbandonCalls
    | DropCalls
    | DecideReplicas
    | CheckpointBudget
    | ReplaceConfig
)


@dataclasses.dataclass(slots=True)
class ConfigResult:
    """Result of a publication, a grant or a withdrawal.

    ``code`` is ``accepted`` (also for the same content resent),
    ``conflict`` (another change has the version; ``publisher`` and ``digest``
    are the winner's) or ``invalid``. ``version`` is the accepted version, or
    the version in effect.
    """

    code: str = ""
    message: str = ""
    version: int = 0
    publisher: str = ""
    digest: bytes = b""


@dataclasses.dataclass(slots=True)
class LeaseResult:
    """Who holds the lease after the command, and its fencing number."""

    granted: bool = False
    holder: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result of a claim or of a finish.

    ``code`` is ``won``, ``running``, ``finished``, ``answer_not_kept`` (it
    finished, but the answer was dropped for space), ``unknown``, ``conflict``
    (another body under the same key), ``full`` (no room for records) or
    ``recorded``. A finished call carries its recorded answer.
    """

    code: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Accepted:
    """Result of a command that is accepted or refused with a reason."""

    accepted: bool = False
    reason: str = ""


Result = ConfigResult | LeaseResult | CallResult | Accepted
