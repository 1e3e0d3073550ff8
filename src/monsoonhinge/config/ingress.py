"""Configuration objects of the ingress, which routes by host and path."""

from typing import Annotated, Literal

import pydantic

from monsoonhinge.config import base


class IngressBackend(base.StrictModel):
    """A service that receives a share of the requests of an ingress route.

    Attributes:
        service: Name of the ingress service.
        weight: Share of the requests, relative to the weights of the others.
    """

    service: base.Name
    weight: base.NonNegativeInt = 1


class IngressRoute(base.NamedObject):
    """A route that matches requests by host and path.

    Attributes:
        host: Host that the Host header of a request must name.
        path_prefix: Prefix of the path, with a slash at both ends; the route
            with the longest matching prefix is used.
        execution: Whether a request may run more than once. A streaming
            request may not, unless it is resumable.
        backends: Services that run the requests.
        timeout_ms: Maximum time until the response is complete.
        target_latency_ms: Target time until the first byte of the response.
        max_gap_ms: Target for the longest pause within a streamed response.
        priority: Priority of the requests; 0 is served first.
        max_attempts: Maximum number of targets that a request is sent to.
        public: Whether requests need no key.
        resumable: Whether an interrupted stream may be resumed at another
            target.
    """

    kind: Literal["ingress_route"] = "ingress_route"
    host: Annotated[str, pydantic.Field(min_length=1, max_length=253)]
    path_prefix: Annotated[
        str, pydantic.Field(pattern=r"^/(.*/)?$", max_length=1_024)
    ]
    execution: Literal["idempotent", "non_idempotent", "streaming"]
    backends: Annotated[
        list[IngressBackend], pydantic.Field(min_length=1, max_length=64)
    ]
    timeout_ms: base.PositiveInt
    target_latency_ms: base.NonNegativeInt = 0
    max_gap_ms: base.NonNegativeInt = 0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 0
    max_attempts: base.PositiveInt = 1
    public: bool = False
    resumable: bool = False


class EngineModel(base.StrictModel):
    """A model that the engines of an ingress service can load.

    Attributes:
        name: Name of the model.
        weights_bytes: Accelerator memory of the weights.
        load_s: Load time from the weight store at full speed, in seconds.
        disk_load_s: Load time from the engine's own disk, in seconds.
        warm_load_s: Load time from the engine's host memory, in seconds.
        adapters: Number of adapters.
        adapter_bytes: Accelerator memory of one adapter.
    """

    name: base.Name
    weights_bytes: base.PositiveInt
    load_s: base.PositiveFloat
    disk_load_s: base.PositiveFloat
    warm_load_s: base.PositiveFloat
    adapters: base.NonNegativeInt = 0
    adapter_bytes: base.NonNegativeInt = 0


class IngressEngine(base.StrictModel):
    """Capacity of each engine of an ingress service, and its models.

    Attributes:
        slots: Maximum number of concurrent requests.
        kv_tokens: Size of the KV cache in tokens, shared by running requests
            and cached prompts.
        weights_bytes: Accelerator memory for weights and adapters.
        adapter_capacity: Maximum number of loaded adapters.
        loads_per_s: Rate of loads that the weight store allows over all
            engines.
        models: Models that can be loaded.
        disk_bytes: Disk for cached copies of weights; 0 if it is not known. A
            full disk drops the least recently used copy.
    """

    slots: base.PositiveInt
    kv_tokens: base.PositiveInt
    weights_bytes: base.PositiveInt
    adapter_capacity: base.NonNegativeInt
    loads_per_s: base.PositiveFloat
    models: Annotated[list[EngineModel], pydantic.Field(max_length=20_000)]
    disk_bytes: base.NonNegativeInt = 0


class IngressService(base.NamedObject):
    """A service run by targets that announce themselves.

    Attributes:
        max_connections: Maximum number of connections to one target, over all
            callers.
        engine: Capacity of the engines, if the targets are model engines.
    """

    kind: Literal["ingress_service"] = "ingress_service"
    max_connections: base.PositiveInt = 1_000
    engine: IngressEngine | None = None


class IngressLimits(base.NamedObject):
    """Limits on the requests of callers of the ingress.

    Attributes:
        max_header_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        header_timeout_ms: Maximum time to receive a request head.
        idle_timeout_ms: Maximum time without a request on a connection.
        keys_required: Whether routes that are not public require a key.
    """

    kind: Literal["ingress_limits"] = "ingress_limits"
    max_header_bytes: base.PositiveInt = 16 * 1024
    max_body_bytes: base.PositiveInt = 4 * 1024 * 1024
    header_timeout_ms: base.PositiveInt = 5_000
    idle_timeout_ms: base.PositiveInt = 60_000
    keys_required: bool = True
