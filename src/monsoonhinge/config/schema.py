"""Configuration objects in the form in which operators write them."""

import json
from typing import Annotated, Any, Literal

import pydantic

from monsoonhinge.config import base
from monsoonhinge.config import ingress


class ModelVersion(base.StrictModel):
    """One version of a model's checkpoint.

    Attributes:
        version: Version name.
        weights_bytes: Accelerator memory of the weights.
        load_s: Load time from the weight store at full speed, in seconds.
    """

    version: base.Name
    weights_bytes: base.PositiveInt
    load_s: base.PositiveFloat


class Model(base.NamedObject):
    """A model that engines can load.

    Attributes:
        versions: Versions that engines can load.
        current: Version that serves requests.
        kv_bytes_per_replica: Memory reserved for the KV cache of a replica.
        adapter_slot_bytes: Memory reserved per replica for adapters.
        min_replicas: Number of replicas kept loaded while idle.
        max_replicas: Maximum number of replicas.
        max_concurrency: Maximum number of concurrent requests on a replica.
    """

    kind: Literal["model"] = "model"
    versions: Annotated[
        list[ModelVersion], pydantic.Field(min_length=1, max_length=32)
    ]
    current: base.Name
    kv_bytes_per_replica: base.NonNegativeInt
    adapter_slot_bytes: base.NonNegativeInt = 0
    min_replicas: base.NonNegativeInt = 0
    max_replicas: base.PositiveInt = 1
    max_concurrency: base.PositiveInt = 16

    def version(self, name: str = "") -> ModelVersion | None:
        """Returns a version, by default the current one."""
        wanted = name or self.current
        for candidate in self.versions:
            if candidate.version == wanted:
                return candidate
        return None


class Adapter(base.NamedObject):
    """An adapter of a model.

    Attributes:
        model: Model that the adapter applies to.
        bytes: Accelerator memory while loaded.
    """

    kind: Literal["adapter"] = "adapter"
    model: base.Name
    bytes: base.PositiveInt


class Team(base.NamedObject):
    """A customer's team.

    Attributes:
        tokens_per_s: Token rate over all VMs.
        burst_tokens: Maximum number of tokens that may be spent at once.
        weight: Share of capacity when teams compete.
        priority: Priority of the team's requests, 0 first; overrides that of
            the ingress route.
        charged_by: What a request through an ingress route is charged: its
            tokens, or 1 per request.
        call_tokens: Tokens charged for a request that states no token count.
        unlimited: Whether rate and burst are not enforced.
    """

    kind: Literal["team"] = "team"
    tokens_per_s: base.PositiveFloat
    burst_tokens: base.PositiveInt
    weight: base.PositiveFloat = 1.0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] | None = None
    charged_by: Literal["tokens", "requests"] = "tokens"
    call_tokens: base.NonNegativeInt = 1
    unlimited: bool = False


class Key(base.NamedObject):
    """A caller key, stored only as a keyed hash.

    Attributes:
        team: Team that the key belongs to.
        hash: Hexadecimal HMAC-SHA256 of the key under the key secret.
    """

    kind: Literal["key"] = "key"
    team: base.Name
    hash: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class Route(base.NamedObject):
    """A name under which callers reach a model, an adapter or a service.

    Attributes:
        model: Model served, unless an adapter or a service is named.
        adapter: Adapter served.
        service: Plain service served.
        teams: Teams that may use the route.
        open_team: Team to which requests without a key are attributed.
        max_timeout_s: Maximum deadline that a caller may request, in seconds.
        max_body_bytes: Maximum size of a request body.
        max_output_tokens: Output tokens charged if the caller sets no limit.
        priority: Priority at the engine; higher values run first.
    """

    kind: Literal["route"] = "route"
    model: base.Name | None = None
    adapter: base.Name | None = None
    service: base.Name | None = None
    teams: Annotated[list[base.Name], pydantic.Field(max_length=1_000)] = []
    open_team: base.Name | None = None
    max_timeout_s: base.PositiveFloat = 60.0
    max_body_bytes: base.PositiveInt = 1024 * 1024
    max_output_tokens: base.PositiveInt = 256
    priority: Annotated[int, pydantic.Field(ge=-1_000, le=1_000)] = 0


class NonRepeatable(base.StrictModel):
    """Calls of a service that run at most once.

    Attributes:
        method: HTTP method in capitals.
        path_prefix: Prefix of the paths, relative to the service.
    """

    method: Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,16}$")]
    path_prefix: Annotated[str, pydantic.Field(pattern=r"^/", max_length=1_024)]


class Service(base.NamedObject):
    """A plain HTTP service, as opposed to a model engine.

    Attributes:
        non_repeatable: Calls that run at most once.
        max_recorded_answer_bytes: Maximum size of a response that is recorded
            to answer a repeated call.
        call_tokens: Tokens charged per call.
    """

    kind: Literal["service"] = "service"
    non_repeatable: Annotated[
        list[NonRepeatable], pydantic.Field(max_length=64)
    ] = []
    max_recorded_answer_bytes: Annotated[
        int, pydantic.Field(gt=0, le=1024 * 1024)
    ] = 64 * 1024
    call_tokens: base.NonNegativeInt = 1


class Store(base.NamedObject):
    """Limits of the weight store.

    Attributes:
        loads_per_s: Rate at which loads may start.
        concurrent_loads: Number of concurrent loads that run at full speed.
        concurrent_adapter_loads: Maximum number of concurrent adapter loads
            over the fleet.
    """

    kind: Literal["store"] = "store"
    loads_per_s: base.PositiveFloat
    concurrent_loads: base.PositiveInt = 4
    concurrent_adapter_loads: base.PositiveInt = 30


class Policy(base.NamedObject):
    """Weights and limits for keeping idle replicas loaded.

    Attributes:
        cold_start_weight: Cost of each second that a caller waits for a load.
        idle_weight: Cost of each second that an accelerator is idle.
        min_keep_s: Minimum time a replica stays loaded after its last request.
        max_keep_s: Maximum time a replica stays loaded without a request.
    """

    kind: Literal["policy"] = "policy"
    cold_start_weight: base.NonNegativeFloat = 1.0
    idle_weight: base.NonNegativeFloat = 1.0
    min_keep_s: base.PositiveFloat = 5.0
    max_keep_s: base.PositiveFloat = 3600.0


AnyObject = (
    Model
    | Adapter
    | Team
    | Key
    | Route
    | Service
    | Store
    | Policy
    | ingress.IngressRoute
    | ingress.IngressService
    | ingress.IngressLimits
)

ConfigObject = Annotated[AnyObject, pydantic.Field(discriminator="kind")]

_ADAPTER: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(ConfigObject)
_ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"))


def object_id(item: AnyObject) -> str:
    """Returns ``kind/name``, the id of an object within a set."""
    return f"{item.kind}/{item.name}"


def parse(document: Any) -> AnyObject:
    """Validates one decoded JSON object.

    Raises:
        pydantic.ValidationError: The object is invalid.
    """
    item: AnyObject = _ADAPTER.validate_python(document)
    return item


def parse_json(data: bytes) -> AnyObject:
    """Validates one object encoded as JSON.

    Raises:
        pydantic.ValidationError: The object is invalid.
    """
    item: AnyObject = _ADAPTER.validate_json(data)
    return item


def canonical(item: AnyObject) -> bytes:
    """Encodes an object as JSON; equal objects have equal bytes."""
    return _ENCODER.encode(item.model_dump(mode="json")).encode()
