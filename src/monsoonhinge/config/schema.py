"""Named configuration objects as operators write them."""

import json
from typing import Annotated, Any, Literal

import pydantic

from monsoonhinge.config import ingress
from monsoonhinge.config import parts

Name = parts.Name
MAX_INTEGER = parts.MAX_INTEGER
MAX_NUMBER = parts.MAX_NUMBER
Positive = parts.Positive
NotNegative = parts.NotNegative
PositiveFloat = parts.PositiveFloat
Weight = parts.Weight


class ModelVersion(parts.Part):
    """One version of a model's checkpoint.

    Attributes:
        version: Version name.
        weights_bytes: Accelerator memory of the weights.
        load_s: Load time from the weight store at full speed, in seconds.
    """

    version: Name
    weights_bytes: Positive
    load_s: PositiveFloat


class Model(parts.Object):
    """A model that engines can load.

    Attributes:
        versions: Known versions.
        current: Version that serves requests.
        kv_bytes_per_replica: Memory reserved for the KV cache of a replica.
        adapter_slot_bytes: Memory reserved per replica for adapters.
        min_replicas: Replicas kept loaded while idle.
        max_replicas: Most replicas at a time.
        max_concurrency: Most requests at a time on a replica.
    """

    kind: Literal["model"] = "model"
    versions: Annotated[
        list[ModelVersion], pydantic.Field(min_length=1, max_length=32)
    ]
    current: Name
    kv_bytes_per_replica: NotNegative
    adapter_slot_bytes: NotNegative = 0
    min_replicas: NotNegative = 0
    max_replicas: Positive = 1
    max_concurrency: Positive = 16

    def version(self, name: str = "") -> ModelVersion | None:
        """Returns a version, by default the current one."""
        wanted = name or self.current
        for candidate in self.versions:
            if candidate.version == wanted:
                return candidate
        return None


class Adapter(parts.Object):
    """An adapter of a model.

    Attributes:
        model: Model it belongs to.
        bytes: Accelerator memory while loaded.
    """

    kind: Literal["adapter"] = "adapter"
    model: Name
    bytes: Positive


class Team(parts.Object):
    """A customer's team.

    Attributes:
        tokens_per_s: Token rate over all VMs together.
        burst_tokens: Tokens that may be spent at once.
        weight: Share of capacity when teams compete.
        priority: Rank of the team's requests, 0 first; it replaces that of
            the ingress route.
        charged_by: What a request through an ingress route costs: its tokens,
            or one for each request.
        call_tokens: Tokens of a request that states none.
        unlimited: Whether rate and burst are not enforced.
    """

    kind: Literal["team"] = "team"
    tokens_per_s: PositiveFloat
    burst_tokens: Positive
    weight: PositiveFloat = 1.0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] | None = None
    charged_by: Literal["tokens", "requests"] = "tokens"
    call_tokens: NotNegative = 1
    unlimited: bool = False


class Key(parts.Object):
    """A caller key; only its keyed hash is known.

    Attributes:
        team: Team it belongs to.
        hash: Hexadecimal HMAC-SHA256 of the key under the key secret.
    """

    kind: Literal["key"] = "key"
    team: Name
    hash: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class Route(parts.Object):
    """A name under which callers reach a model, an adapter or a service.

    Attributes:
        model: Model served, unless an adapter or a service is named.
        adapter: Adapter served.
        service: Plain service served.
        teams: Teams allowed.
        open_team: Team as which requests without a key run.
        max_timeout_s: Longest deadline a caller may ask for, in seconds.
        max_body_bytes: Largest request body.
        max_output_tokens: Output tokens charged when the caller sets none.
        priority: Priority at the engine; higher runs first.
    """

    kind: Literal["route"] = "route"
    model: Name | None = None
    adapter: Name | None = None
    service: Name | None = None
    teams: Annotated[list[Name], pydantic.Field(max_length=1_000)] = []
    open_team: Name | None = None
    max_timeout_s: PositiveFloat = 60.0
    max_body_bytes: Positive = 1024 * 1024
    max_output_tokens: Positive = 256
    priority: Annotated[int, pydantic.Field(ge=-1_000, le=1_000)] = 0


class NonRepeatable(parts.Part):
    """Calls of a service that run at most once.

    Attributes:
        method: HTTP method in capitals.
        path_prefix: Start of the paths below the service.
    """

    method: Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,16}$")]
    path_prefix: Annotated[str, pydantic.Field(pattern=r"^/", max_length=1_024)]


class Service(parts.Object):
    """A plain HTTP service beside the engines.

    Attributes:
        non_repeatable: Calls that run at most once.
        max_recorded_answer_bytes: Largest answer kept for a repeated call.
        call_tokens: Tokens charged per call.
    """

    kind: Literal["service"] = "service"
    non_repeatable: Annotated[
        list[NonRepeatable], pydantic.Field(max_length=64)
    ] = []
    max_recorded_answer_bytes: Annotated[
        int, pydantic.Field(gt=0, le=1024 * 1024)
    ] = 64 * 1024
    call_tokens: NotNegative = 1


class Store(parts.Object):
    """Limits of the weight store.

    Attributes:
        loads_per_s: Loads that may start per second.
        concurrent_loads: Loads at a time that run at full speed.
        concurrent_adapter_loads: Adapter loads in flight over the fleet.
    """

    kind: Literal["store"] = "store"
    loads_per_s: PositiveFloat
    concurrent_loads: Positive = 4
    concurrent_adapter_loads: Positive = 30


class Policy(parts.Object):
    """What the operator weighs when replicas are kept or unloaded.

    Attributes:
        cold_start_weight: Cost of a second that a caller waits for a load.
        idle_weight: Cost of a second of an idle accelerator.
        min_keep_s: Shortest time a replica stays after its last request.
        max_keep_s: Longest time a replica stays without a request.
    """

    kind: Literal["policy"] = "policy"
    cold_start_weight: Weight = 1.0
    idle_weight: Weight = 1.0
    min_keep_s: PositiveFloat = 5.0
    max_keep_s: PositiveFloat = 3600.0


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
    """Encodes an object so that equal objects have equal bytes."""
    return json.dumps(
        item.model_dump(mode="json"), sort_keys=True, separators=(",", ":")
    ).encode()
