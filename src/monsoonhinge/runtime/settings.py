"""Validated JSON settings of each process."""

import ipaddress
import json
import pathlib
from typing import Annotated, Any, Literal, TypeVar

import pydantic

from monsoonhinge.runtime import errors

_MIN_SECRET_CHARS = 16


class Strict(pydantic.BaseModel):
    """Base of settings models: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(Strict):
    """An IP address and a TCP port; may be written as ``host:port``."""

    host: str
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]

    @pydantic.model_validator(mode="before")
    @classmethod
    def _split_text(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(":")
        return {"host": host.strip("[]"), "port": port}

    @pydantic.field_validator("host")
    @classmethod
    def _check_host(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value

    def __str__(self) -> str:
        """Returns ``host:port``, the host in brackets if it is IPv6."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Member(Strict):
    """A control member that a process may contact."""

    name: str
    address: Address


class Process(Strict):
    """Settings that every process has.

    Attributes:
        node: Name of the process; unique in the cluster.
        vm: VM on which it runs.
        region: Region of the VM.
        availability_zone: Availability zone of the VM.
        operations: Address of the operations HTTP server.
        cluster_secret: Secret that all processes share.
        log_level: Lowest level that is logged.
        drain_timeout_s: Longest graceful stop, in seconds.
    """

    node: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    vm: str = ""
    region: str = ""
    availability_zone: Annotated[str, pydantic.Field(min_length=1)]
    operations: Address
    cluster_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    drain_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 120.0


class Control(Process):
    """Settings of ``monsoonhinge-control``.

    Attributes:
        members: Initial voters, the same list on each. A member that joins an
            existing cluster later lists the current members and sets ``join``.
        seeds: Instead of ``members``, addresses of some members. A member is
            then named after its IP address, all members listen on the same
            port, and members join and leave without an operator.
        first_start: With ``seeds``, whether the whole system starts for the
            first time; the seeds then found the cluster.
        tolerated_losses: With ``seeds``, members that may be lost at once.
        lease_ttl_s: Time to live of leases.
        budget_lease_ttl_s: Time to live of the lease of the token budget; no
            order depends on it, so that it may be shorter.
        registrations: With ``seeds``, address for targets and operators.
        announce_ms: Time between two announcements of a target.
        loads_window_s: Window over which the weight store counts loads.
        rate_window_s: Window over which the teams' rates are judged.
        rate_overage: Share by which a team may exceed its rate and burst in a
            window.
        rate_tolerance_tokens: Tokens by which it may exceed them beside that.
        key_secret: Secret under which caller keys are hashed; needed where a
            configuration is replaced by a document that lists keys.
    """

    listen: Address
    data_dir: pathlib.Path
    members: list[Member] = []
    join: bool = False
    seeds: list[Address] = []
    first_start: bool = False
    tolerated_losses: Annotated[int, pydantic.Field(ge=0)] = 1
    registrations: Address | None = None
    announce_ms: Annotated[float, pydantic.Field(gt=0)] = 1000.0
    loads_window_s: Annotated[float, pydantic.Field(gt=0)] = 5.0
    rate_window_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    rate_overage: Annotated[float, pydantic.Field(ge=0)] = 0.0
    rate_tolerance_tokens: Annotated[float, pydantic.Field(ge=0)] = 0.0
    key_secret: str = ""
    heartbeat_s: Annotated[float, pydantic.Field(gt=0)] = 0.1
    election_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 0.6
    snapshot_entries: Annotated[int, pydantic.Field(gt=0)] = 10_000
    lease_ttl_s: Annotated[float, pydantic.Field(gt=0)] = 3.0
    budget_lease_ttl_s: Annotated[float, pydantic.Field(gt=0)] = 3.0
    session_ttl_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    call_retention_s: Annotated[float, pydantic.Field(gt=0)] = 86_400.0
    call_record_bytes: Annotated[int, pydantic.Field(gt=0)] = 256 * 1024 * 1024

    @pydantic.model_validator(mode="after")
    def _check_members(self) -> "Control":
        if bool(self.members) == bool(self.seeds):
            raise ValueError("give either members or seeds")
        return self


class Scheduler(Process):
    """Settings of ``monsoonhinge-scheduler``."""

    listen: Address
    control: Annotated[list[Member], pydantic.Field(min_length=1)]
    order_timeout_s: Annotated[float, pydantic.Field(gt=0)] = 2.0


class Gateway(Process):
    """Settings of ``monsoonhinge-gateway``.

    Attributes:
        callers: Address on which callers are served.
        targets: Address on which targets post their announcements.
        key_secret: Secret under which caller keys are hashed.
        max_waiting: Most waiting requests.
        max_waiting_bytes: Most memory held by waiting requests.
    """

    callers: Address
    targets: Address
    control: Annotated[list[Member], pydantic.Field(min_length=1)]
    schedulers: Annotated[list[Address], pydantic.Field(min_length=1)]
    key_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    max_staleness_s: Annotated[float, pydantic.Field(gt=0)] = 4.0
    max_stream_staleness_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    max_waiting: Annotated[int, pydantic.Field(gt=0)] = 10_000
    max_waiting_bytes: Annotated[int, pydantic.Field(gt=0)] = 64 * 1024 * 1024


class Ingress(Process):
    """Settings of ``monsoonhinge-ingress``.

    Attributes:
        callers: Address on which callers are served.
        readiness: Address on which a load balancer asks for readiness.
        seeds: Addresses of some control members.
        control_port: Port on which all control members listen.
        key_secret: Secret under which caller keys are hashed.
        max_staleness_s: Oldest configuration that requests with a key may
            rely on.
        retry_ratio: Repeated attempts allowed for each request, over all
            gateways together.
        retry_extra: Repeated attempts allowed beside that in each window.
        retry_window_s: Window of the retry budget.
        stop_grace_s: Time between the request to stop and the forced end.
    """

    callers: Address
    readiness: Address
    seeds: Annotated[list[Address], pydantic.Field(min_length=1)]
    control_port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    key_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    max_staleness_s: Annotated[float, pydantic.Field(gt=0)] = 4.0
    retry_ratio: Annotated[float, pydantic.Field(ge=0)] = 0.1
    retry_extra: Annotated[float, pydantic.Field(ge=0)] = 10.0
    retry_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    stop_grace_s: Annotated[float, pydantic.Field(gt=0)] = 8.0


class Operator(Strict):
    """Settings of the ``monsoonhinge`` command line.

    Attributes:
        control: Control members.
        cluster_secret: Secret that all processes share.
        key_secret: Secret under which caller keys are hashed.
        operator: Name under which changes are made.
    """

    control: Annotated[list[Member], pydantic.Field(min_length=1)]
    cluster_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    key_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    operator: str = "operator"


_Settings = TypeVar("_Settings", bound=Strict)


def read(path: pathlib.Path, model: type[_Settings]) -> _Settings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file is unreadable, not JSON or invalid; it
            lists every problem.
    """
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            [f"cannot read: {error.strerror}"], peer=str(path)
        ) from error
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            [f"not valid JSON: {error}"], peer=str(path)
        ) from error
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        # The rejected input is left out since it may be a secret.
        problems = [
            f"{_field(detail['loc'])}: {detail['msg']}"
            for detail in error.errors(include_input=False, include_url=False)
        ]
        raise errors.SettingsError(problems, peer=str(path)) from None


def _field(location: tuple[int | str, ...]) -> str:
    """Returns the path of a field in characters that any terminal shows."""
    path = ".".join(str(part) for part in location) or "settings"
    return _printable(path)


def _printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)
