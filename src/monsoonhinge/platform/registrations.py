"""Parser of the announcements of servers."""

import ipaddress
import re
from typing import Annotated, Literal

import pydantic

from monsoonhinge.platform import models
from monsoonhinge.protocol import fleet

_PORT = re.compile(r"\d{1,5}", re.ASCII)
_Text = Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class InvalidAnnouncement(Exception):
    """An announcement that does not describe a usable server."""


class HeldModel(models.WireModel):
    """A model in the accelerator memory of a server."""

    name: _Text
    # Version of the weights.
    version: models.Count = 0
    adapters: list[str] = []


class Available(models.WireModel):
    """Models cached in the host memory or on the disk of a server."""

    in_memory: list[str] = pydantic.Field(alias="inMemory", default=[])
    on_disk: list[str] = pydantic.Field(alias="onDisk", default=[])


class _Announcement(models.WireModel):
    service: _Text
    address: _Text
    zone: _Text
    slots: models.PositiveCount
    state: Literal["ready", "draining"]
    # Number of the announcement. In reports, the field of the same name counts
    # orders.
    sequence: models.Count
    # Start time of the server, in Unix milliseconds.
    born: models.Count
    # Remaining time for which the server is slow after its start.
    cold_remaining_ms: models.Count = pydantic.Field(
        alias="coldRemainingMs", default=0
    )
    # Version of its software; that of a model's weights is in ``models``.
    software_version: Annotated[str, pydantic.Field(max_length=256)] = (
        pydantic.Field(alias="version", default="")
    )
    # Time until the server is reclaimed.
    remaining_ms: models.Number = pydantic.Field(alias="remainingMs", default=0)
    held: list[HeldModel] = pydantic.Field(alias="models", default=[])
    available: Available = Available()

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        ipaddress.ip_address(host)
        # ``int`` also accepts signs, spaces, underscores and other digits.
        if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
            raise ValueError("the port must be between 1 and 65535")
        return value


def parse_announcement(target: str, data: bytes) -> fleet.Registration:
    """Parses an announcement.

    Raises:
        InvalidAnnouncement: It does not describe a usable server.
    """
    try:
        announcement = _Announcement.model_validate_json(data)
    except (pydantic.ValidationError, RecursionError):
        raise InvalidAnnouncement from None
    return fleet.Registration(
        target=target,
        incarnation=announcement.born,
        sequence=announcement.sequence,
        service=announcement.service,
        address=announcement.address,
        availability_zone=announcement.zone,
        slots=announcement.slots,
        state=announcement.state,
        slow_for_ms=announcement.cold_remaining_ms,
        remaining_ms=int(announcement.remaining_ms),
        models=[
            fleet.HeldModel(
                name=model.name,
                version=model.version,
                adapters=list(model.adapters),
            )
            for model in announcement.held
        ],
        in_memory=list(announcement.available.in_memory),
        on_disk=list(announcement.available.on_disk),
        software_version=announcement.software_version,
    )
