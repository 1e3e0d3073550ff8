"""Settings of an emulated target."""

from typing import Annotated, Literal

import pydantic

from monsoonhinge.emulator import faults
from monsoonhinge.runtime import settings

_Seconds = Annotated[float, pydantic.Field(ge=0)]
_Count = Annotated[int, pydantic.Field(ge=0)]


class ModelCosts(settings.StrictModel):
    """Memory and load time of a model on this engine.

    Attributes:
        bytes: Accelerator memory of a replica, KV cache included.
        load_s: Load time at full speed; defaults to ``load_s`` of the engine.
    """

    bytes: _Count
    load_s: _Seconds | None = None


class Emulator(settings.Process):
    """Settings of ``monsoonhinge-emulator``.

    Attributes:
        target: Id of the target.
        kind: ``engine``, ``service`` or ``store`` (a weight store).
        services: Names of the plain services it runs.
        listen: Address for requests, orders and faults.
        gateways: Addresses of the gateways that receive announcements.
        memory_bytes: Accelerator memory.
        models: Memory and load time by model name.
        default_bytes: Memory of a replica of any other model.
        adapter_bytes: Memory of a loaded adapter.
        checks_fencing: Whether orders with an old fencing token are refused.
        slots: Number of requests that a replica runs at a time.
        cached_prefixes: Capacity of the prompt prefix cache; the least recently
            used prefix is evicted first.
        cache_lag_s: Delay of cache events in announcements.
        cache_gap_every: Drops every n-th batch of cache events; 0 for none.
        load_lag_s: Age of the running and waiting counts in announcements.
        announce_s: Time between announcements.
        load_s: Default time to load a model.
        adapter_load_s: Time to load an adapter.
        store: Address of the emulated weight store; without one, loads do not
            slow each other down.
        store_full_speed: On a weight store, number of concurrent model loads
            that run at full speed.
        store_adapter_full_speed: The same for adapter loads.
        first_token_s: Time until the first token.
        cached_first_token_s: Time until the first token if the whole prompt is
            cached.
        token_s: Time between tokens.
        service_s: Processing time of a call to a plain service.
        non_repeatable: Path prefixes of POST calls that are not idempotent.
        initial_faults: Faults that are active from the start.
    """

    target: str
    kind: Literal["engine", "service", "store"]
    services: list[str] = []
    listen: settings.Address
    gateways: list[settings.Address] = []
    memory_bytes: _Count = 0
    models: dict[str, ModelCosts] = {}
    default_bytes: _Count = 11_000_000_000
    adapter_bytes: _Count = 0
    checks_fencing: bool = True
    slots: Annotated[int, pydantic.Field(gt=0)] = 16
    cached_prefixes: _Count = 1024
    cache_lag_s: _Seconds = 0.0
    cache_gap_every: _Count = 0
    load_lag_s: _Seconds = 0.0
    announce_s: Annotated[float, pydantic.Field(gt=0)] = 1.0
    load_s: _Seconds = 0.5
    adapter_load_s: _Seconds = 0.02
    store: settings.Address | None = None
    store_full_speed: Annotated[int, pydantic.Field(gt=0)] = 4
    store_adapter_full_speed: Annotated[int, pydantic.Field(gt=0)] = 30
    first_token_s: _Seconds = 0.01
    cached_first_token_s: _Seconds = 0.002
    token_s: _Seconds = 0.002
    service_s: _Seconds = 0.005
    non_repeatable: list[str] = ["/refunds", "/swaps"]
    initial_faults: list[faults.Fault] = []
