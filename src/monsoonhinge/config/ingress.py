"""Objects of requests that are recognised by host and path."""

from typing import Annotated, Literal

import pydantic

from monsoonhinge.config import parts


class IngressBackend(parts.Part):
    """A service that gets a share of the requests of an ingress route.

    Attributes:
        service: Ingress service.
        weight: Its share, relative to the weights of the others.
    """

    service: parts.Name
    weight: parts.NotNegative = 1


class IngressRoute(parts.Object):
    """Requests that are recognised by host and path.

    Attributes:
        host: Value of the Host header.
        path_prefix: Start of the path, with a slash at both ends; the longest
            one that fits wins.
        execution: Whether a request may run more than once. A streaming
            request may not, unless it is resumable.
        backends: Services that run the requests.
        timeout_ms: Longest time until the whole answer.
        target_latency_ms: Time until the first byte of a timely answer.
        max_gap_ms: Longest pause within a timely stream.
        priority: Rank of the requests, 0 first.
        max_attempts: Most targets that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a broken stream may go on at another target.
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
    timeout_ms: parts.Positive
    target_latency_ms: parts.NotNegative = 0
    max_gap_ms: parts.NotNegative = 0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 0
    max_attempts: parts.Positive = 1
    public: bool = False
    resumable: bool = False


class EngineModel(parts.Part):
    """A model that the engines of an ingress service can load.

    Attributes:
        name: Name of the model.
        weights_bytes: Accelerator memory of the weights.
        load_s: Load time from the weight store at full speed, in seconds.
        disk_load_s: Load time from the engine's own disk.
        warm_load_s: Load time from the engine's host memory.
        adapters: Number of adapters.
        adapter_bytes: Accelerator memory of one adapter.
    """

    name: parts.Name
    weights_bytes: parts.Positive
    load_s: parts.PositiveFloat
    disk_load_s: parts.PositiveFloat
    warm_load_s: parts.PositiveFloat
    adapters: parts.NotNegative = 0
    adapter_bytes: parts.NotNegative = 0


class IngressEngine(parts.Part):
    """What every engine of an ingress service can hold.

    Attributes:
        slots: Requests that run at a time.
        kv_tokens: Tokens that running requests and cached prompts share.
        weights_bytes: Accelerator memory for weights and adapters.
        adapter_capacity: Most adapters at a time.
        loads_per_s: Loads that the weight store allows over all engines.
        models: Models that can be loaded.
    """

    slots: parts.Positive
    kv_tokens: parts.Positive
    weights_bytes: parts.Positive
    adapter_capacity: parts.NotNegative
    loads_per_s: parts.PositiveFloat
    models: Annotated[list[EngineModel], pydantic.Field(max_length=20_000)]


class IngressService(parts.Object):
    """A service that targets announce themselves for.

    Attributes:
        max_connections: Connections that one target takes from all callers.
        engine: Engine limits, if the targets are model engines.
    """

    kind: Literal["ingress_service"] = "ingress_service"
    max_connections: parts.Positive = 1_000
    engine: IngressEngine | None = None


class IngressLimits(parts.Object):
    """What callers of the ingress may send.

    Attributes:
        max_header_bytes: Largest request head.
        max_body_bytes: Largest request body.
        header_timeout_ms: Longest time for a request head.
        idle_timeout_ms: Longest time without a request on a connection.
        keys_required: Whether routes that are not public need a key.
    """

    kind: Literal["ingress_limits"] = "ingress_limits"
    max_header_bytes: parts.Positive = 16 * 1024
    max_body_bytes: parts.Positive = 4 * 1024 * 1024
    header_timeout_ms: parts.Positive = 5_000
    idle_timeout_ms: parts.Positive = 60_000
    keys_required: bool = True
