"""Faults that tests ask a stand-in target to show."""

from typing import Annotated, Any, Literal

import pydantic

from monsoonhinge.runtime import settings


class Fault(settings.StrictModel):
    """One fault.

    Attributes:
        kind: ``delay`` answers late by ``seconds``; ``crossed`` answers with
            another X-Request-Id; ``truncated`` ends the body early;
            ``dropped`` cuts the connection in the middle of a stream;
            ``refused`` answers 503 without running the request;
            ``load_hangs``, ``load_fails`` and ``load_slow`` (by ``seconds``)
            concern orders to load.
        count: Requests or loads it applies to; 0 for all until cleared.
        seconds: Delay of the kinds that have one.
        path_prefix: Requests it applies to.
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


class Faults:
    """The faults in effect.

    Attributes:
        shown: How often each kind was shown.
    """

    def __init__(self, initial: list[Fault]) -> None:
        self.shown: dict[str, int] = {}
        self._active: list[tuple[Fault, int]] = []
        self.replace(initial)

    def replace(self, faults: list[Fault]) -> None:
        """Puts these faults in place of those in effect."""
        self._active = [(fault, fault.count) for fault in faults]

    def take(self, kind: str, path: str = "") -> Fault | None:
        """Returns the fault to show now, and uses up one of its count."""
        for position, (fault, left) in enumerate(self._active):
            if fault.kind != kind or not path.startswith(fault.path_prefix):
                continue
            if left == 1:
                del self._active[position]
            elif left:
                self._active[position] = (fault, left - 1)
            self.shown[kind] = self.shown.get(kind, 0) + 1
            return fault
        return None

    def document(self) -> dict[str, Any]:
        """Returns what is in effect and what was shown."""
        return {
            "active": [
                {**fault.model_dump(), "left": left}
                for fault, left in self._active
            ],
            "shown": self.shown,
        }


def parse(data: bytes) -> list[Fault]:
    """Validates the body of a POST to ``/faults``.

    Raises:
        pydantic.ValidationError: It is no JSON list of faults.
    """
    return pydantic.TypeAdapter(list[Fault]).validate_json(data)
