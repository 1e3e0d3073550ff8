"""Faults that tests inject into emulated targets."""

from typing import Annotated, Any, Literal

import pydantic

from monsoonhinge.runtime import settings


class Fault(settings.StrictModel):
    """A fault to inject.

    Attributes:
        kind: ``delay`` responds late by ``seconds``; ``crossed`` responds with
            another X-Request-Id; ``truncated`` ends the body early;
            ``dropped`` closes the connection in the middle of a stream;
            ``refused`` responds with status 503 without running the request;
            ``load_hangs``, ``load_fails`` and ``load_slow`` (by ``seconds``)
            apply to loads of weights.
        count: Number of requests or loads it applies to; 0 for all until the
            faults are replaced.
        seconds: Delay of ``delay`` and ``load_slow``.
        path_prefix: Path prefix of the requests it applies to.
    """

    kind: Literal[
        "delay",
        "crossed",
        "truncated",
        "dropped",
        "refused",
        "load_hangs",
        "load_fails",
        "load_slow",
    ]
    count: Annotated[int, pydantic.Field(ge=0)] = 0
    seconds: Annotated[float, pydantic.Field(ge=0)] = 0.0
    path_prefix: str = ""


class FaultInjector:
    """Selects the fault to inject into a request or load.

    Attributes:
        injected_counts: Number of injected faults by kind.
    """

    def __init__(self, initial: list[Fault]) -> None:
        self.injected_counts: dict[str, int] = {}
        self._active: list[tuple[Fault, int]] = []
        self.replace(initial)

    def replace(self, faults: list[Fault]) -> None:
        """Replaces all active faults."""
        self._active = [(fault, fault.count) for fault in faults]

    def consume(self, kind: str, path: str = "") -> Fault | None:
        """Returns the first matching fault, if any, and decrements its count.

        Args:
            kind: Kind of the fault.
            path: Path of the request.
        """
        for position, (fault, remaining) in enumerate(self._active):
            if fault.kind != kind or not path.startswith(fault.path_prefix):
                continue
            if remaining == 1:
                del self._active[position]
            elif remaining:
                self._active[position] = (fault, remaining - 1)
            self.injected_counts[kind] = self.injected_counts.get(kind, 0) + 1
            return fault
        return None

    def describe(self) -> dict[str, Any]:
        """Returns the active faults and how often each kind was injected."""
        return {
            "active": [
                {**fault.model_dump(), "left": remaining}
                for fault, remaining in self._active
            ],
            "shown": self.injected_counts,
        }


def parse_faults(data: bytes) -> list[Fault]:
    """Parses and validates the body of ``POST /faults``.

    Raises:
        pydantic.ValidationError: The body is not a JSON list of faults.
    """
    return pydantic.TypeAdapter(list[Fault]).validate_json(data)
