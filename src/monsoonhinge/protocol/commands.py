"""Commands of the replicated log and their results.

Each data class has a struct of the same name in ``schema.capnp``. Commands are
idempotent by their content or id, so a proposer that did not get the reply can
send the same command again.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class PublishConfig:
    """Replaces all objects except keys; accepted only as the next version.

    Attributes:
        version: Version in effect plus one.
        digest: SHA-256 over the canonical objects.
        publisher: Name of the publisher, reported to a publisher whose change
            conflicts with this one.
        objects: Canonical JSON documents.
        packed: The documents compressed by ``config.pack``, instead of
            ``objects``; uncompressed, a large set exceeds the size limit of a
            command.
    """

    version: int = 0
    digest: bytes = b""
    publisher: str = ""
    objects: list[bytes] = dataclasses.field(default_factory=list)
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class ReplaceConfig:
    """Replaces all objects, including keys, if its version is the highest.

    An older or equal version is accepted and changes nothing.

    Attributes:
        version: Version chosen by the publisher; gaps are allowed.
        publisher: Name of the publisher.
        source: The document from which the objects were made, compressed; it
            is returned to clients that read the configuration.
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
    """Removes a key permanently.

    With ``hash``, the key is removed only if it has that hash, so that a
    resent command cannot remove a later key of the same name.
    """

    name: str = ""
    publisher: str = ""
    hash: str = ""


@dataclasses.dataclass(slots=True)
class AcquireLease:
    """Acquires a lease that is free or already held by ``holder``."""

    name: str = ""
    holder: str = ""


@dataclasses.dataclass(slots=True)
class ReleaseLease:
    """Releases a lease before it expires."""

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
        limit_bytes: Memory limit of all records, from the leader's settings; 0
            keeps the previous limit. The command carries it because members
            with different settings would otherwise apply it differently.
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
    """Records the response to a claimed call.

    With ``state`` ``released``, the claim is dropped because no byte of the
    call was sent to a target. With ``unknown``, the outcome of the call cannot
    be determined.
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
    """Sets all running calls of a lost gateway to ``unknown``."""

    gateway: str = ""


@dataclasses.dataclass(slots=True)
class DropCalls:
    """Deletes records claimed before a time; proposed by the leader only."""

    before_ms: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaChange:
    """A change of the replicas that the scheduler has decided on.

    ``action`` is ``load`` or ``unload`` of the replica with that decision id;
    ``load_adapter`` or ``unload_adapter``, whose decision id is the replica's
    id, a slash and a unique suffix; or ``settled`` once the target itself has
    reported that the replica no longer exists, or that the adapter is loaded or
    no longer exists.
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
    """Changes the decided replicas; refused with an old fencing token."""

    fencing: int = 0
    changes: list[ReplicaChange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class CheckpointBudget:
    """Records an upper bound of the tokens granted to a team.

    ``shard`` is the name of the lease, such as ``budget/0``.
    ``granted`` counts tokens since the team was created and only grows.
    ``level`` is the number of tokens left in the bucket once all of
    ``granted`` is spent, as of ``now_ms`` on the wall clock of the leader.
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
    """Result of publishing a configuration or granting or withdrawing a key.

    ``code`` is ``accepted`` (also when the same content is sent again),
    ``conflict`` (another change already has the version; ``publisher`` and
    ``digest`` are those of that change) or ``invalid``. ``version`` is the
    accepted version, or the version in effect.
    """

    code: str = ""
    message: str = ""
    version: int = 0
    publisher: str = ""
    digest: bytes = b""


@dataclasses.dataclass(slots=True)
class LeaseResult:
    """Holder of the lease after the command, and its fencing token."""

    granted: bool = False
    holder: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result of ClaimCall or FinishCall.

    ``code`` is ``won``, ``running``, ``finished``, ``answer_not_kept`` (the
    call finished, but its response was dropped to save memory), ``unknown``,
    ``conflict`` (a different body under the same key), ``full`` (no memory
    left for records) or ``recorded``. For ``finished``, the other fields are
    the recorded response.
    """

    code: str = ""
    status: int = 0
    headers: bytes = b""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Accepted:
    """Result of a command that is either accepted or refused with a reason."""

    accepted: bool = False
    reason: str = ""


Result = ConfigResult | LeaseResult | CallResult | Accepted
