"""Schema of the announcements that targets post."""

from typing import Annotated, Literal

import pydantic

from monsoonhinge.protocol import messages
from monsoonhinge.runtime import settings

MAX_ANNOUNCEMENT_BYTES = 1024 * 1024

_Count = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
_Text = Annotated[str, pydantic.Field(max_length=256)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class CachedCheckpoint(_StrictModel):
    """A checkpoint cached in host memory or on disk of the target."""

    model: _Text
    version: _Text
    tier: Literal["memory", "disk"]


class Replica(_StrictModel):
    """A replica on the target."""

    model: _Text
    version: _Text
    state: Literal["loading", "loaded", "unloading"]
    order_id: _Text = ""
    adapters: list[_Text] = []
    running: _Count = 0
    waiting: _Count = 0


class OrderOutcome(_StrictModel):
    """Result of a recent order."""

    order_id: _Text
    outcome: Literal["done", "failed", "refused"]
    reason: _Text = ""


class CacheEvent(_StrictModel):
    """A prompt prefix was added to the cache or removed from it."""

    prefix: _Count
    stored: bool


class Announcement(_StrictModel):
    """State that a target posts every second.

    Attributes:
        target: Id of the target.
        incarnation: Number that increases with each start of the target.
        sequence: Number that increases with each announcement.
        kind: ``engine`` or ``service``.
        services: Names of the plain services that the target runs.
        availability_zone: Zone in which the target runs.
        address: Address for requests and orders.
        memory_bytes: Size of the accelerator memory.
        checks_fencing: Whether the target refuses orders with an old fencing
            token.
        fencing: Highest fencing token that the target has received.
        leaving: Whether the target accepts no new work.
        cached: Checkpoints cached on the target.
        replicas: Replicas on the target.
        orders: Recent orders with their outcome.
        cache_batch: Number of this batch of cache events.
        cache_events: Changes of the prompt cache since the previous batch.
    """

    target: Annotated[str, pydantic.Field(min_length=1, max_length=128)]
    incarnation: _Count
    sequence: _Count
    kind: Literal["engine", "service"]
    services: list[_Text] = []
    availability_zone: _Text
    address: settings.Address
    memory_bytes: _Count = 0
    checks_fencing: bool = False
    fencing: _Count = 0
    leaving: bool = False
    cached: list[CachedCheckpoint] = []
    replicas: list[Replica] = []
    orders: list[OrderOutcome] = []
    cache_batch: _Count = 0
    cache_events: list[CacheEvent] = []

    def to_state(self) -> messages.TargetState:
        """Returns the message in which a gateway forwards the announcement."""
        return messages.TargetState(
            target=self.target,
            incarnation=self.incarnation,
            sequence=self.sequence,
            kind=self.kind,
            services=list(self.services),
            availability_zone=self.availability_zone,
            address=str(self.address),
            memory_bytes=self.memory_bytes,
            checks_fencing=self.checks_fencing,
            fencing=self.fencing,
            leaving=self.leaving,
            cached=[
                messages.CachedCheckpoint(**item.model_dump())
                for item in self.cached
            ],
            replicas=[
                messages.ReplicaState(**item.model_dump())
                for item in self.replicas
            ],
            orders=[
                messages.OrderOutcome(**item.model_dump())
                for item in self.orders
            ],
            cache_batch=self.cache_batch,
            cache_events=[
                messages.CacheEvent(**item.model_dump())
                for item in self.cache_events
            ],
        )
