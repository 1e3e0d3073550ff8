"""Messages about targets that register with the control members.

Control members tell gateways which targets there are, gateways tell the
active member what their requests need, and that member tells them where
models are and will be. See ``messages`` for the conventions.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class HeldModel:
    """A model in the accelerator memory of a target, with its adapters."""

    name: str = ""
    version: int = 0
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Registration:
    """What a target last said of itself.

    Attributes:
        target: Id of the target; a later start may have the same id.
        incarnation: Start time of the target, in milliseconds.
        sequence: Number of the announcement within the incarnation.
        service: Service that it serves.
        address: Where it serves, ``host:port``.
        availability_zone: Zone in which it runs.
        slots: Requests that it runs at a time.
        state: ``ready``, ``draining``, ``gone`` or ``silent`` (it stopped
            announcing itself).
        slow_for_ms: How long it stays slow after its start.
        remaining_ms: Time until it is taken away; 0 if that is not known.
        models: Models that it holds.
        in_memory: Models of which it keeps a copy in host memory.
        on_disk: Models of which it keeps a copy on its disk.
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


@dataclasses.dataclass(slots=True)
class WatchRegistry:
    """Asks a control member for what it knows, now and as it changes.

    With ``placements_only`` it sends leases and placements, but none of the
    registrations that other members send as well.
    """

    placements_only: bool = False


@dataclasses.dataclass(slots=True)
class Registrations:
    """New and changed registrations.

    Attributes:
        registrations: The registrations.
        subscribers: Gateways that are connected to the sender.
        members: Names of the control members that the sender knows.
    """

    registrations: list[Registration] = dataclasses.field(default_factory=list)
    subscribers: int = 0
    members: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FleetActive:
    """Leases that the sender holds.

    Attributes:
        fencing: Number under which it places models; 0 if it does not.
        budget_fencing: Number under which it grants tokens; 0 if it does not.
    """

    fencing: int = 0
    budget_fencing: int = 0


@dataclasses.dataclass(slots=True)
class ModelNeed:
    """What the requests of one gateway need of one model.

    Attributes:
        service: Service whose engines can hold the model.
        model: Model.
        adapter: Adapter, or "".
        waiting: Requests that wait for it.
        arrived: Requests that came since the gateway started.
        timely_for_ms: How long the most urgent waiting request can still be
            answered in time; negative once that has passed.
        priority: Lowest rank number of the waiting requests.
        patient_for_ms: How long the most patient waiting request still waits.
    """

    service: str = ""
    model: str = ""
    adapter: str = ""
    waiting: int = 0
    arrived: int = 0
    timely_for_ms: int = 0
    priority: int = 0
    patient_for_ms: int = 0


@dataclasses.dataclass(slots=True)
class TargetUse:
    """Requests of one gateway that run on a model or adapter at a target."""

    target: str = ""
    model: str = ""
    running: int = 0
    adapter: str = ""


@dataclasses.dataclass(slots=True)
class FleetDemand:
    """Everything that one gateway needs and uses now.

    ``unreachable`` names targets to which it could not connect lately.
    """

    gateway: str = ""
    needs: list[ModelNeed] = dataclasses.field(default_factory=list)
    uses: list[TargetUse] = dataclasses.field(default_factory=list)
    unreachable: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PlacedModel:
    """A model at a target.

    ``state`` is ``loaded``, ``loading`` or ``unloading``; ``ready_in_ms``
    tells when a loading model is expected to serve.
    """

    name: str = ""
    state: str = ""
    ready_in_ms: int = 0
    adapters: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Placement:
    """What a target holds, and its running requests over all gateways."""

    target: str = ""
    incarnation: int = 0
    running: int = 0
    models: list[PlacedModel] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Placements:
    """Changed placements, and the number under which they were made."""

    fencing: int = 0
    placements: list[Placement] = dataclasses.field(default_factory=list)
