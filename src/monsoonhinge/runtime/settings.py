"""Validated JSON settings of each process."""

import ipaddress
import json
import pathlib
from typing import Annotated, Any, Literal, TypeVar

import pydantic

from monsoonhinge.runtime import errors

_MIN_SECRET_CHARS = 16


class StrictModel(pydantic.BaseModel):
    """Base of settings models; unknown fields are errors."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class Address(StrictModel):
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


class Member(StrictModel):
    """A control member that a process may contact."""

    name: str
    address: Address


class Process(StrictModel):
    """Settings common to all processes.

    Attributes:
        node: Name of the process; unique in the cluster.
        vm: VM on which it runs.
        region: Region of the VM.
        availability_zone: Availability zone of the VM.
        operations: Address of the operations HTTP server.
        cluster_secret: Secret shared by all processes.
        log_level: Minimum level that is logged.
        drain_timeout_s: Maximum duration of a graceful shutdown, in seconds.
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
        seeds: Instead of ``members``, addresses of some members. Members are
            then named after their IP addresses, listen on the same port, and
            join and leave without an operator.
        first_start: With ``seeds``, whether the whole system starts for the
            first time; the seeds then bootstrap the cluster.
        tolerated_losses: With ``seeds``, number of members that may be lost at
            once.
        catch_up_s: With ``seeds``, time after the start of a member in which it
            takes over from one that is gone. From then on the cluster bears the
            tolerated losses again.
        lease_ttl_s: Time to live of leases.
        budget_lease_ttl_s: Time to live of the lease of the token budget. It
            may be shorter than ``lease_ttl_s`` because no orders are sent
            under this lease.
        registrations: With ``seeds``, address on which targets register and
            operators change the configuration.
        announce_ms: Interval of the announcements of a target.
        loads_window_s: Window over which the weight store counts loads.
        rate_window_s: Window over which the rates of teams are measured.
        rate_overage: Fraction by which a team may exceed its rate and burst in
            a window.
        rate_tolerance_tokens: Number of tokens by which a team may exceed its
            limit in addition to ``rate_overage``.
        key_secret: Secret for the keyed hashes of caller keys; required if
            documents that list keys replace the configuration.
    """

    listen: Address
    data_dir: pathlib.Path
    members: list[Member] = []
    join: bool = False
    seeds: list[Address] = []
    first_start: bool = False
    tolerated_losses: Annotated[int, pydantic.Field(ge=0)] = 1
    catch_up_s: Annotated[float, pydantic.Field(gt=0)] = 4.0
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
            raise ValueError("set either members or seeds, not both")
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
        key_secret: Secret for the keyed hashes of caller keys.
        max_waiting: Maximum number of waiting requests.
        max_waiting_bytes: Maximum memory held by waiting requests.
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
        readiness: Address of the readiness check for load balancers.
        seeds: Addresses of some control members.
        control_port: Port on which all control members listen.
        key_secret: Secret for the keyed hashes of caller keys.
        max_staleness_s: Maximum age of the confirmed configuration under which
            requests with a key are accepted.
        config_deadline_ms: Time in which an acknowledged change of the
            configuration has to be in effect at all gateways.
        retry_ratio: Number of retries allowed per request, over all gateways.
        retry_extra: Number of retries allowed in each window in addition to
            ``retry_ratio``.
        retry_window_s: Window of the retry budget.
        stop_grace_s: Time between the request to stop and the forced stop.
    """

    callers: Address
    readiness: Address
    seeds: Annotated[list[Address], pydantic.Field(min_length=1)]
    control_port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    key_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    max_staleness_s: Annotated[float, pydantic.Field(gt=0)] = 4.0
    config_deadline_ms: Annotated[int, pydantic.Field(gt=0)] = 2_000
    retry_ratio: Annotated[float, pydantic.Field(ge=0)] = 0.1
    retry_extra: Annotated[float, pydantic.Field(ge=0)] = 10.0
    retry_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    stop_grace_s: Annotated[float, pydantic.Field(gt=0)] = 8.0


class Operator(StrictModel):
    """Settings of the ``monsoonhinge`` command line.

    Attributes:
        control: Control members.
        cluster_secret: Secret shared by all processes.
        key_secret: Secret for the keyed hashes of caller keys.
        operator: Name of the operator, recorded with each change.
    """

    control: Annotated[list[Member], pydantic.Field(min_length=1)]
    cluster_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    key_secret: Annotated[str, pydantic.Field(min_length=_MIN_SECRET_CHARS)]
    operator: str = "operator"


_Settings = TypeVar("_Settings", bound=StrictModel)


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
        # The rejected input is omitted because it may be a secret.
        problems = [
            f"{_field_path(detail['loc'])}: {detail['msg']}"
            for detail in error.errors(include_input=False, include_url=False)
        ]
        raise errors.SettingsError(problems, peer=str(path)) from None


def _field_path(location: tuple[int | str, ...]) -> str:
    """Returns the path of a field without control characters."""
    path = ".".join(str(part) for part in location) or "settings"
    return _printable(path)


def _printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)
