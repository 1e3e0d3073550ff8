"""Announcements of servers."""

import ipaddress
from typing import Annotated, Literal

import pydantic

from monsoonhinge.platform import models
from monsoonhinge.protocol import fleet

_Text = Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class InvalidAnnouncement(Exception):
    """An announcement that names no server to use."""


class HeldModel(models.WireModel):
    """A model that a server holds."""

    name: _Text
    # Version of the weights.
    version: models.Count = 0
    adapters: list[str] = []


class Available(models.WireModel):
    """Copies of weights beside those in accelerator memory."""

    in_memory: list[str] = pydantic.Field(alias="inMemory", default=[])
    on_disk: list[str] = pydantic.Field(alias="onDisk", default=[])


class _Heartbeat(models.WireModel):
    service: _Text
    address: _Text
    zone: _Text
    slots: models.PositiveCount
    state: Literal["ready", "draining"]
    # Counts the announcements, unlike the field of the same name in reports.
    sequence: models.Count
    # Start of the server, in Unix milliseconds.
    born: models.Count
    # How long the server stays slow after its start.
    cold_remaining_ms: models.Count = pydantic.Field(
        alias="coldRemainingMs", default=0
    )
    # Time until the server is taken away.
    remaining_ms: models.Number = pydantic.Field(alias="remainingMs", default=0)
    held: list[HeldModel] = pydantic.Field(alias="models", default=[])
    available: Available = Available()

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        ipaddress.ip_address(host)
        if not 0 < int(port) < 65536:
            raise ValueError("no port")
        return value


def parse_announcement(target: str, data: bytes) -> fleet.Registration:
    """Reads an announcement.

    Raises:
        InvalidAnnouncement: It names no server to use.
    """
    try:
        beat = _Heartbeat.model_validate_json(data)
    except (pydantic.ValidationError, RecursionError):
        raise InvalidAnnouncement from None
    return fleet.Registration(
        target=target,
        incarnation=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        address=beat.address,
        availability_zone=beat.zone,
        slots=beat.slots,
        state=beat.state,
        slow_for_ms=beat.cold_remaining_ms,
        remaining_ms=int(beat.remaining_ms),
        models=[
            fleet.HeldModel(
                name=model.name,
                version=model.version,
                adapters=list(model.adapters),
            )
            for model in beat.held
        ],
        in_memory=list(beat.available.in_memory),
        on_disk=list(beat.available.on_disk),
    )
