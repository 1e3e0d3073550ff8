"""Result of one planning step: the swaps to start, and what held others up."""

import dataclasses
import enum

from monsoonhinge.fleet import store_queue


class Obstacle(enum.Enum):
    """Why no load was planned for a model that requests wait for.

    Attributes:
        NO_ENGINE: No engine that may load the model is free to carry out an
            order, or there is none.
        NO_EVICTION: On each free engine the memory is taken by models that may
            not be evicted.
        STORE: The free engines have no cached copy, and no load from the
            weight store may start.
        ADAPTERS: The free engines have no cached copy, and each is the only one
            that can load adapters for one of its models now.
        RESERVED: A load from the weight store would take the last free
            engines, which the expected loads from cached copies need.
        TOO_LATE: No request can wait until a load from the weight store ends,
            and too few are expected after it.
    """

    NO_ENGINE = "no_free_engine"
    NO_EVICTION = "no_evictable_model"
    STORE = "store_limit"
    ADAPTERS = "needed_for_adapters"
    RESERVED = "engines_reserved"
    TOO_LATE = "load_too_late"


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """A planned load of a model and the unloads that free memory for it.

    Attributes:
        target: Target id of the engine.
        model: Model to load; "" if none is loaded.
        evictions: Models to unload first.
        load_s: Expected duration of the load.
        from_store: Whether the weights are read from the weight store.
        reason: Planning rule that chose the load, for the event log.
    """

    target: str
    model: str
    evictions: tuple[str, ...]
    load_s: float
    from_store: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """Use of the weight store.

    Attributes:
        active_loads: Loads in progress.
        available_starts: Loads that may start now within the rate limit.
        max_concurrency: Loads that may be in progress at once.
    """

    active_loads: int
    available_starts: int
    max_concurrency: int


@dataclasses.dataclass(slots=True)
class Plan:
    """Result of one planning step.

    Attributes:
        swaps: Swaps to start now, at most one for each engine.
        retirements: Replicas that get no new requests from now on, as (target,
            model).
        reactivations: Retiring replicas that get requests again, as (target,
            model).
        busy_replicas: Replicas of busy models.
        desired_replicas: Desired replicas of busy models.
        obstacles: Models with waiting requests for which no load was planned,
            or that only the store has, with the reason.
        queued_loads: Models that are requested and that only a later load from
            the weight store can serve, in the order of the loads.
    """

    swaps: list[Swap] = dataclasses.field(default_factory=list)
    retirements: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    reactivations: list[tuple[str, str]] = dataclasses.field(
        default_factory=list
    )
    busy_replicas: int = 0
    desired_replicas: int = 0
    obstacles: dict[str, Obstacle] = dataclasses.field(default_factory=dict)
    queued_loads: list[store_queue.QueuedLoad] = dataclasses.field(
        default_factory=list
    )
