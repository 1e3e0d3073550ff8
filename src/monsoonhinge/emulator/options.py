"""Settings of a stand-in target."""

from typing import Annotated, Literal

import pydantic

from monsoonhinge.runtime import settings

_Seconds = Annotated[float, pydantic.Field(ge=0)]


class Emulator(settings.Process):
    """Settings of ``monsoonhinge-emulator``.

    Attributes:
        target: Id of the target.
        kind: ``engine`` or ``service``.
        services: Names of the plain services it runs.
        listen: Address for requests and orders.
        gateways: Addresses that take announcements.
        announce_s: Time between announcements.
        load_s: Time to load a model.
        adapter_load_s: Time to load an adapter.
        first_token_s: Time until the first token.
        token_s: Time between tokens.
        service_s: Time that a call of a plain service takes.
    """

    target: str
    kind: Literal["engine", "service"]
    services: list[str] = []
    listen: settings.Address
    gateways: Annotated[list[settings.Address], pydantic.Field(min_length=1)]
    memory_bytes: Annotated[int, pydantic.Field(ge=0)] = 0
    checks_fencing: bool = True
    announce_s: Annotated[float, pydantic.Field(gt=0)] = 1.0
    load_s: _Seconds = 0.5
    adapter_load_s: _Seconds = 0.02
    first_token_s: _Seconds = 0.01
    token_s: _Seconds = 0.002
    service_s: _Seconds = 0.005
