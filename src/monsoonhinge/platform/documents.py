"""Translation of the platform's configuration documents into objects."""

from collections.abc import Iterable
import itertools
import math
from typing import Annotated, Any, Literal

import pydantic

from monsoonhinge.config import base
from monsoonhinge.config import ingress
from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.config import view
from monsoonhinge.platform import models

_MEGABYTE = 1_000_000

_MAX_PRIORITY = 9


class InvalidDocument(Exception):
    """A document that is invalid, so that it can never take effect."""


class _Backend(models.WireModel):
    service: str
    weight: models.Count = 1


class _Route(models.WireModel):
    name: str
    host: str
    path_prefix: str = pydantic.Field(alias="pathPrefix")
    # Whether a request may run more than once.
    execution: Literal["idempotent", "non_idempotent", "streaming"] = (
        pydantic.Field(alias="type")
    )
    timeout_ms: models.PositiveCount = pydantic.Field(alias="timeoutMs")
    # A response earns full credit if its first byte is sent within this time.
    target_latency_ms: models.Count = pydantic.Field(
        alias="targetLatencyMs", default=0
    )
    target_gap_ms: models.Count = pydantic.Field(alias="targetGapMs", default=0)
    priority: models.Count = 0
    service: str | None = None
    split: list[_Backend] | None = None
    max_attempts: models.PositiveCount = pydantic.Field(
        alias="maxAttempts", default=1
    )
    public: bool = False
    resumable: bool = False


class _Model(models.WireModel):
    name: str
    weights_mb: models.PositiveNumber = pydantic.Field(alias="weightsMb")
    load_s: models.PositiveNumber = pydantic.Field(alias="loadS")
    # Load time from the host memory of a server.
    warm_s: models.PositiveNumber | None = pydantic.Field(
        alias="warmS", default=None
    )
    disk_s: models.PositiveNumber | None = pydantic.Field(
        alias="diskS", default=None
    )
    # Number of adapters, which are named a1, a2 and so on.
    adapters: models.Count = 0
    adapter_mb: models.Number = pydantic.Field(alias="adapterSizeMb", default=0)


class _Engine(models.WireModel):
    slots: models.PositiveCount
    kv_tokens: models.PositiveCount = pydantic.Field(alias="kvCapacityTokens")
    # Accelerator memory of one server, for weights and adapters together.
    weights_mb: models.PositiveNumber = pydantic.Field(alias="weightsMb")
    adapter_capacity: models.Count = pydantic.Field(
        alias="adapterCapacity", default=0
    )
    loads_per_s: models.PositiveNumber = pydantic.Field(alias="loadsPerS")
    # Disk of one server for copies of weights.
    disk_mb: models.Number = pydantic.Field(alias="diskMb", default=0)
    models: list[_Model] = []


class _Service(models.WireModel):
    name: str
    max_connections: models.PositiveCount = pydantic.Field(
        alias="maxConnections", default=1_000
    )
    engine: _Engine | None = None


class _Limits(models.WireModel):
    max_header_bytes: models.PositiveCount = pydantic.Field(
        alias="maxHeaderBytes", default=16 * 1024
    )
    max_body_bytes: models.PositiveCount = pydantic.Field(
        alias="maxBodyBytes", default=4 * 1024 * 1024
    )
    header_timeout_ms: models.PositiveCount = pydantic.Field(
        alias="headerTimeoutMs", default=5_000
    )
    idle_timeout_ms: models.PositiveCount = pydantic.Field(
        alias="idleTimeoutMs", default=60_000
    )


class _Tenant(models.WireModel):
    name: str
    api_keys: list[str] = pydantic.Field(alias="apiKeys", default=[])
    priority: models.Count | None = None
    # Unit of ``ratePerS`` and ``burst``.
    unit: str = "requests"
    # Tokens charged for a request without a token count.
    plain_tokens: models.Count = pydantic.Field(alias="plainTokens", default=1)
    rate_per_s: models.Number = pydantic.Field(alias="ratePerS", default=0)
    burst: models.Number = 0


class _Document(models.WireModel):
    version: Annotated[int, pydantic.Field(ge=1, le=base.MAX_INTEGER)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class Document:
    """A validated document, translated into configuration objects.

    Attributes:
        version: Version of the document.
        packed: Canonical objects made from it, compressed by ``config.pack``.
    """

    def __init__(self, *, version: int, packed: bytes) -> None:
        self.version = version
        self.packed = packed

    @classmethod
    def from_bytes(cls, data: bytes, *, key_secret: bytes) -> "Document":
        """Validates a document and translates it into objects.

        Raises:
            InvalidDocument: The document is malformed or inconsistent.
        """
        try:
            document = _Document.model_validate_json(data, strict=True)
            # One more than is allowed, so that the check below reports it.
            objects = list(
                itertools.islice(
                    _translate(document, key_secret), validate.MAX_OBJECTS + 1
                )
            )
        except pydantic.ValidationError as error:
            raise InvalidDocument(_describe_first_error(error)) from None
        except (ValueError, RecursionError) as error:
            raise InvalidDocument(str(error)) from None
        by_id = {schema.object_id(item): item for item in objects}
        if len(by_id) != len(objects):
            raise InvalidDocument("two entries of a kind share a name")
        encoded = [schema.canonical(item) for item in objects]
        problems = validate.check_objects(
            by_id, size_bytes=sum(map(len, encoded))
        )
        if problems:
            raise InvalidDocument(str(problems[0]))
        return cls(version=document.version, packed=pack.pack(encoded))


def _translate(
    document: _Document, key_secret: bytes
) -> Iterable[schema.AnyObject]:
    for route in document.routes:
        yield _translate_route(route)
    for service in document.services:
        yield ingress.IngressService(
            name=service.name,
            max_connections=service.max_connections,
            engine=None
            if service.engine is None
            else _translate_engine(service.engine),
        )
    limits = document.limits
    yield ingress.IngressLimits(
        name="limits",
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
        keys_required=document.tenants is not None,
    )
    tenant_by_key: dict[str, str] = {}
    for tenant in document.tenants or ():
        yield _translate_tenant(tenant)
        for key in dict.fromkeys(tenant.api_keys):
            if tenant_by_key.setdefault(key, tenant.name) != tenant.name:
                raise InvalidDocument("two tenants share a key")
            key_hash = view.key_hash(secret=key_secret, key=key)
            yield schema.Key(
                name=f"key-{key_hash}", team=tenant.name, hash=key_hash
            )


def _translate_route(route: _Route) -> ingress.IngressRoute:
    backends = route.split
    if backends is None:
        backends = [_Backend(service=route.service or "")]
    return ingress.IngressRoute(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        execution=route.execution,
        backends=[
            ingress.IngressBackend(
                service=backend.service, weight=backend.weight
            )
            for backend in backends
        ],
        timeout_ms=route.timeout_ms,
        target_latency_ms=route.target_latency_ms,
        max_gap_ms=route.target_gap_ms,
        priority=min(route.priority, _MAX_PRIORITY),
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
    )


def _translate_engine(engine: _Engine) -> ingress.IngressEngine:
    return ingress.IngressEngine(
        slots=engine.slots,
        kv_tokens=engine.kv_tokens,
        weights_bytes=int(engine.weights_mb * _MEGABYTE),
        adapter_capacity=engine.adapter_capacity,
        loads_per_s=engine.loads_per_s,
        disk_bytes=int(engine.disk_mb * _MEGABYTE),
        models=[
            ingress.EngineModel(
                name=model.name,
                weights_bytes=math.ceil(model.weights_mb * _MEGABYTE),
                load_s=model.load_s,
                disk_load_s=model.disk_s or model.load_s,
                warm_load_s=model.warm_s or model.disk_s or model.load_s,
                adapters=model.adapters,
                adapter_bytes=math.ceil(model.adapter_mb * _MEGABYTE),
            )
            for model in engine.models
        ],
    )


def _translate_tenant(tenant: _Tenant) -> schema.Team:
    unlimited = not tenant.rate_per_s
    return schema.Team(
        name=tenant.name,
        tokens_per_s=1.0 if unlimited else float(tenant.rate_per_s),
        burst_tokens=1 if unlimited else max(1, int(tenant.burst)),
        priority=None
        if tenant.priority is None
        else min(tenant.priority, _MAX_PRIORITY),
        charged_by="tokens" if tenant.unit == "tokens" else "requests",
        call_tokens=tenant.plain_tokens,
        unlimited=unlimited,
    )


def _describe_first_error(error: pydantic.ValidationError) -> str:
    detail: Any = error.errors(include_input=False, include_url=False)[0]
    field = ".".join(str(part) for part in detail["loc"])
    return f"{field}: {detail['msg']}" if field else str(detail["msg"])
