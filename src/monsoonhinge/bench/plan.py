"""Load plans: which requests arrive when."""

from collections.abc import Iterator
import ipaddress
import random
from typing import Annotated, Literal
import urllib.parse

import pydantic

from monsoonhinge.runtime import settings

MAX_REQUESTS = 1_000_000
MAX_DURATION_S = 3600.0

_Positive = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class Flow(settings.StrictModel):
    """Requests of one team to one route.

    Attributes:
        name: Name in the report.
        key: Caller key, or "" to send none.
        route: Route called.
        kind: ``chat`` for a model, ``call`` for a plain service.
        rate_per_s: Mean rate of arrivals.
        start_s: When the first request may arrive.
        stop_s: When the last one may arrive, by default with the plan.
        stream: Whether a completion is streamed.
        max_tokens: Tokens asked for.
        prompts: Number of different prompts.
        prompt_chars: Length of each prompt.
        method: Method of a call.
        path: Path of a call; ``{n}`` is replaced by the request's number.
        idempotency: Whether each call carries a key of its own.
        timeout_s: Deadline that the caller asks for.
    """

    name: str
    key: str = ""
    route: str
    kind: Literal["chat", "call"] = "chat"
    rate_per_s: _Positive
    start_s: Annotated[float, pydantic.Field(ge=0)] = 0.0
    stop_s: _Positive | None = None
    stream: bool = False
    max_tokens: Annotated[int, pydantic.Field(gt=0, le=100_000)] = 16
    prompts: Annotated[int, pydantic.Field(gt=0)] = 1
    prompt_chars: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 64
    method: str = "GET"
    path: str = "/"
    idempotency: bool = False
    timeout_s: _Positive = 30.0


class Plan(settings.StrictModel):
    """A whole load.

    Attributes:
        gateways: Addresses of the gateways, on loopback only; requests go to
            them in turn.
        operations: Operations addresses of the same gateways, in the same
            order. With them, requests go to ready gateways only, and one that
            a stopping gateway did not run goes to another, as behind a load
            balancer.
        seed: Seed of the arrivals; equal plans make equal loads.
        duration_s: Time in which requests arrive.
        max_requests: Requests after which no more arrive.
        max_in_flight: Requests at a time; arrivals beyond it are not sent and
            are counted.
        flows: Flows that run together.
    """

    gateways: Annotated[list[str], pydantic.Field(min_length=1)]
    operations: list[str] = []
    seed: int = 1
    duration_s: Annotated[float, pydantic.Field(gt=0, le=MAX_DURATION_S)]
    max_requests: Annotated[int, pydantic.Field(gt=0, le=MAX_REQUESTS)] = 10_000
    max_in_flight: Annotated[int, pydantic.Field(gt=0, le=20_000)] = 2_000
    flows: Annotated[list[Flow], pydantic.Field(min_length=1)]

    @pydantic.model_validator(mode="after")
    def _check_lengths(self) -> "Plan":
        if self.operations and len(self.operations) != len(self.gateways):
            raise ValueError("operations: one address per gateway is needed")
        return self

    @pydantic.field_validator("gateways", "operations")
    @classmethod
    def _check_gateways(cls, value: list[str]) -> list[str]:
        for url in value:
            parts = urllib.parse.urlsplit(url)
            try:
                address = ipaddress.ip_address(parts.hostname or "")
            except ValueError:
                raise ValueError(f"{url}: an IP address is needed") from None
            if parts.scheme != "http" or not address.is_loopback:
                raise ValueError(f"{url}: only http on loopback is allowed")
        return value


def arrivals(plan: Plan) -> Iterator[tuple[float, Flow]]:
    """Yields arrival times in seconds and their flows, in order of time.

    Each flow has exponential gaps from a seed of its own, so that a change of
    one flow leaves the others as they are.
    """
    sources = [
        _times(plan, flow, random.Random(f"{plan.seed}/{flow.name}"))
        for flow in plan.flows
    ]
    heads = [next(source, None) for source in sources]
    for _ in range(plan.max_requests):
        pending = [
            (at, position)
            for position, at in enumerate(heads)
            if at is not None
        ]
        if not pending:
            return
        at, position = min(pending)
        yield at, plan.flows[position]
        heads[position] = next(sources[position], None)


def _times(plan: Plan, flow: Flow, source: random.Random) -> Iterator[float]:
    stop = min(plan.duration_s, flow.stop_s or plan.duration_s)
    at = flow.start_s + source.expovariate(flow.rate_per_s)
    while at < stop:
        yield at
        at += source.expovariate(flow.rate_per_s)
