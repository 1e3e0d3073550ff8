"""Load plans: the requests to send and their arrival times."""

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


class Flow(settings.Strict):
    """Requests of one team to one route.

    Attributes:
        name: Name of the flow in the report.
        key: Caller key, or "" to send none.
        route: Name of the route.
        kind: ``chat`` for a model, ``call`` for a plain service.
        rate_per_s: Mean arrival rate, in requests per second.
        start_s: Start of arrivals, in seconds after the start of the plan.
        stop_s: End of arrivals, in seconds after the start of the plan; by
            default the end of the plan.
        stream: Whether completions are streamed.
        max_tokens: Number of tokens that each completion requests.
        prompts: Number of different prompts.
        prompt_chars: Length of each prompt, in characters.
        method: HTTP method of a call.
        path: Path of a call; ``{n}`` is replaced by the request's number.
        idempotency: Whether each call has its own idempotency key.
        timeout_s: Timeout that the caller requests, in seconds.
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


class LoadPlan(settings.Strict):
    """Describes a load of one or more concurrent flows.

    Attributes:
        gateways: URLs of the gateways, on loopback only; requests are
            distributed by round robin.
        operations: URLs of the operations addresses of the same gateways, in
            the same order. If given, requests are sent to ready gateways
            only, and a request that a stopping gateway did not run is sent
            to another, as behind a load balancer.
        seed: Seed of the arrival times; the same plan gives the same load.
        duration_s: Time during which requests arrive, in seconds.
        max_requests: Maximum number of requests.
        max_in_flight: Maximum number of concurrent requests; requests that
            arrive beyond it are counted but not sent.
        flows: Flows that run concurrently.
    """

    gateways: Annotated[list[str], pydantic.Field(min_length=1)]
    operations: list[str] = []
    seed: int = 1
    duration_s: Annotated[float, pydantic.Field(gt=0, le=MAX_DURATION_S)]
    max_requests: Annotated[int, pydantic.Field(gt=0, le=MAX_REQUESTS)] = 10_000
    max_in_flight: Annotated[int, pydantic.Field(gt=0, le=20_000)] = 2_000
    flows: Annotated[list[Flow], pydantic.Field(min_length=1)]

    @pydantic.model_validator(mode="after")
    def _check_lengths(self) -> "LoadPlan":
        if self.operations and len(self.operations) != len(self.gateways):
            raise ValueError("operations: must have one address per gateway")
        return self

    @pydantic.field_validator("gateways", "operations")
    @classmethod
    def _check_urls(cls, value: list[str]) -> list[str]:
        for url in value:
            parts = urllib.parse.urlsplit(url)
            try:
                address = ipaddress.ip_address(parts.hostname or "")
            except ValueError:
                raise ValueError(f"{url}: host must be an IP address") from None
            if parts.scheme != "http" or not address.is_loopback:
                raise ValueError(f"{url}: must be an http URL on loopback")
        return value


def arrivals(plan: LoadPlan) -> Iterator[tuple[float, Flow]]:
    """Yields arrival times in seconds with their flows, in order of time.

    Arrivals are Poisson processes. Each flow has its own random generator, so
    that changing one flow does not change the arrivals of the others.
    """
    streams = [
        _arrival_times(plan, flow, random.Random(f"{plan.seed}/{flow.name}"))
        for flow in plan.flows
    ]
    next_times = [next(stream, None) for stream in streams]
    for _ in range(plan.max_requests):
        pending = [
            (at, position)
            for position, at in enumerate(next_times)
            if at is not None
        ]
        if not pending:
            return
        at, position = min(pending)
        yield at, plan.flows[position]
        next_times[position] = next(streams[position], None)


def _arrival_times(
    plan: LoadPlan, flow: Flow, rng: random.Random
) -> Iterator[float]:
    stop = min(plan.duration_s, flow.stop_s or plan.duration_s)
    at = flow.start_s + rng.expovariate(flow.rate_per_s)
    while at < stop:
        yield at
        at += rng.expovariate(flow.rate_per_s)
