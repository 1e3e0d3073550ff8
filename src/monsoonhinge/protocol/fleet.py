"""Messages about targets that register with the control members.

Control members send registrations of targets to the gateways. Gateways report
their demand to the member that holds the fleet lease, and it sends them the
current and planned placement of models. See ``messages`` for the conventions.
"""

import dataclasses

# Half-life of the smoothed arrival rates in ``ModelNeed``.
ARRIVAL_RATE_HALF_LIFE_S = 6.0


@dataclasses.dataclass(slots=True)
class HeldModel:
    """A model in the accelerator memory of a target, and its adapters."""

    name: str = ""
    version: int = 0
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Registration:
    """Latest announcement of a target.

    Attributes:
        target: Id of the target; it may keep the id after a restart.
        incarnation: Start time of the target, in milliseconds.
        sequence: Number of the announcement within the incarnation.
        service: Service that the target runs.
        address: Address that takes requests, ``host:port``.
        availability_zone: Zone in which the target runs.
        slots: Maximum number of concurrent requests.
        state: ``ready``, ``draining``, ``gone`` or ``silent`` (it no longer
            announces itself).
        slow_for_ms: Remaining time for which it is slow after its start.
        remaining_ms: Time until it is reclaimed; 0 if unknown.
        models: Models in its accelerator memory.
        in_memory: Models cached in its host memory.
        on_disk: Models cached on its disk.
        leaving: Whether it said in a response that it is leaving, whatever
            state it announced. It stays true for the rest of the incarnation.
        software_version: Version of its software, not of model weights.
    """

    target: str = ""
    incarnation: int = 0
    sequence: int = 0
    service: str = ""
    address: str = ""
    availability_zone: str = ""
    slots: int = 0
    state: str = ""
    slow_for_ms: int = 0
    remaining_ms: int = 0
    models: list[HeldModel] = dataclasses.field(default_factory=list)
    in_memory: list[str] = dataclasses.field(default_factory=list)
    on_disk: list[str] = dataclasses.field(default_factory=list)
    leaving: bool = False
    software_version: str = ""


@dataclasses.dataclass(slots=True)
class WatchRegistry:
    """Subscribes to the registrations and placements of a control member.

    With ``placements_only``, the member sends leases and placements, but no
    registrations, which the subscriber gets from other members.
    """

    placements_only: bool = False


@dataclasses.dataclass(slots=True)
class Registrations:
    """New and changed registrations.

    Gateways send those of targets that leave or have left, which they may know
    better than a member that has just started.

    Attributes:
        registrations: The registrations.
        subscribers: Number of gateways connected to the sender.
        members: Names of the control members that the sender knows.
    """

    registrations: list[Registration] = dataclasses.field(default_factory=list)
    subscribers: int = 0
    members: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FleetActive:
    """Fencing tokens of the leases that the sender holds.

    Attributes:
        fencing: Token of the fleet lease, under which it places models; 0 if
            it does not hold the lease.
        budget_fencing: Token of the budget lease, under which it grants
            tokens; 0 if it does not hold the lease.
        keeps_stream_origins: Whether the build of the sender reads
            StreamOrigins and FindStreamOrigin.
    """

    fencing: int = 0
    budget_fencing: int = 0
    keeps_stream_origins: bool = False


@dataclasses.dataclass(slots=True)
class ModelNeed:
    """Demand of one gateway for one model or adapter.

    Attributes:
        service: Service whose engines can load the model.
        model: Name of the model.
        adapter: Name of the adapter, or "".
        waiting: Number of waiting requests.
        arrived: Number of requests since the gateway started.
        timely_for_ms: Time left until the earliest latency deadline of the
            waiting requests; negative once it has passed.
        priority: Smallest priority number of the waiting requests, which is
            the most important one.
        patient_for_ms: Time left until the latest queue deadline of the
            waiting requests.
        rate_per_ks: Smoothed arrival rate in requests per 1,000 seconds.
        served_milli: Thousandths of requests that a target ran. Older requests
            count less.
        unserved_milli: The same for requests that ended while they waited for
            a target.
        software_version: Version that must serve the waiting requests, which
            resume streams; "" if any may. Other counts are in the item
            without a version.
    """

    service: str = ""
    model: str = ""
    adapter: str = ""
    waiting: int = 0
    arrived: int = 0
    timely_for_ms: int = 0
    priority: int = 0
    patient_for_ms: int = 0
    rate_per_ks: int = 0
    served_milli: int = 0
    unserved_milli: int = 0
    software_version: str = ""


@dataclasses.dataclass(slots=True)
class TargetUse:
    """Requests of one gateway running on a model or adapter of a target."""

    target: str = ""
    model: str = ""
    running: int = 0
    adapter: str = ""


@dataclasses.dataclass(slots=True)
class FleetDemand:
    """Complete demand and use of one gateway at the time of sending.

    ``unreachable`` names targets to which it recently failed to connect.
    """

    gateway: str = ""
    needs: list[ModelNeed] = dataclasses.field(default_factory=list)
    uses: list[TargetUse] = dataclasses.field(default_factory=list)
    unreachable: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PlacedModel:
    """A model placed on a target.

    ``state`` is ``loaded``, ``loading``, ``unloading`` or ``retiring``; only a
    loaded model gets new requests. ``ready_in_ms`` is the expected time until
    a loading model serves requests.
    """

    name: str = ""
    state: str = ""
    ready_in_ms: int = 0
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Placement:
    """Models on a target, and its running requests over all gateways."""

    target: str = ""
    incarnation: int = 0
    running: int = 0
    models: list[PlacedModel] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Placements:
    """Changed placements and the fencing token under which they were made."""

    fencing: int = 0
    placements: list[Placement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ModelDelay:
    """A model that cannot be ready sooner than in ``ready_in_ms``."""

    service: str = ""
    model: str = ""
    ready_in_ms: int = 0


@dataclasses.dataclass(slots=True)
class ModelDelays:
    """All models that wait for the weight store; replaces those before.

    ``fencing`` is the token of the lease under which they were estimated.
    """

    fencing: int = 0
    delays: list[ModelDelay] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SuspectPrompt:
    """Parts of a prompt that a target was about to answer as it crashed."""

    parts: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ServedPart:
    """A prompt part and the time since a target last answered it."""

    part: str = ""
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class TargetCrash:
    """Reports a crash of a target to the control members.

    Attributes:
        target: The target.
        incarnation: Its incarnation that ended.
        prompts: Prompts of this gateway that it was about to answer.
        served: Parts of these prompts that this gateway knows as answered.
    """

    target: str = ""
    incarnation: int = 0
    prompts: list[SuspectPrompt] = dataclasses.field(default_factory=list)
    served: list[ServedPart] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PromptQuarantine:
    """Prompts that contain all these parts must not reach any target.

    ``for_ms`` is the time until the quarantine is lifted.
    """

    parts: list[str] = dataclasses.field(default_factory=list)
    for_ms: int = 0


@dataclasses.dataclass(slots=True)
class PromptQuarantines:
    """What one control member knows of prompts that crash targets.

    Attributes:
        quarantines: All quarantines in force.
        suspects: Parts that no target has answered since a crash. Gateways
            report with ``PartsServed`` when a target answers one of them.
    """

    quarantines: list[PromptQuarantine] = dataclasses.field(
        default_factory=list
    )
    suspects: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PartsServed:
    """Suspected prompt parts that targets have answered."""

    served: list[ServedPart] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RateLimit:
    """Rate limit that a target named in its last response.

    Attributes:
        target: The target.
        incarnation: Its incarnation.
        limited: Whether it named a limit; without one, an earlier limit ends.
        requests_per_s: Requests per second that it accepts from all gateways.
    """

    target: str = ""
    incarnation: int = 0
    limited: bool = False
    requests_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RateLimits:
    """New, changed and ended rate limits, sent in both directions."""

    limits: list[RateLimit] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """Asks the fleet lease holder to send one request to a limited target."""

    target: str = ""


@dataclasses.dataclass(slots=True)
class Permit:
    """Reply to PermitRequest.

    ``wait_us`` is 0 if the request may be sent now, else the microseconds
    until it may ask again.
    """

    wait_us: int = 0


@dataclasses.dataclass(slots=True)
class StreamOrigin:
    """Which software began a stream.

    Attributes:
        stream: Id of the request whose response brought its first event.
        service: Service of the target that wrote it.
        software_version: Version of the software of that target.
        keep_ms: Time for which the stream may be resumed.
    """

    stream: str = ""
    service: str = ""
    software_version: str = ""
    keep_ms: int = 0


@dataclasses.dataclass(slots=True)
class StreamOrigins:
    """Records of streams that a gateway is about to relay, or has relayed."""

    origins: list[StreamOrigin] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FindStreamOrigin:
    """Asks a control member where a stream began.

    Attributes:
        stream: Id of the request that brought the first event; "" if the
            caller did not name it.
        service: Service at which it would go on if no record is found.
    """

    stream: str = ""
    service: str = ""


@dataclasses.dataclass(slots=True)
class FoundStreamOrigin:
    """Reply to FindStreamOrigin.

    Attributes:
        recorded: Whether there is a record of the stream.
        service: Service of the record.
        software_version: Software version of the record.
        sole_version: Version that targets of the requested service have run
            last.
        sole_for_ms: For how long it has been the only one, as far as this
            member knows; 0 if it knows of no target.
    """

    recorded: bool = False
    service: str = ""
    software_version: str = ""
    sole_version: str = ""
    sole_for_ms: int = 0
