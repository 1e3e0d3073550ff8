"""Bounds of the platform that a control member's settings contain."""

from typing import Any

import pydantic

from monsoonhinge.runtime import settings


class ControlSettings(settings.Control):
    """Settings of a control member, with ``bounds`` under the wire names.

    Attributes:
        bounds: All bounds of the platform; not all of them are used.
    """

    bounds: dict[str, Any] = {}

    @pydantic.model_validator(mode="before")
    @classmethod
    def _translate_bounds(cls, document: Any) -> Any:
        match document:
            case {"bounds": {"catchUpS": catch_up_s}}:
                return {"catch_up_s": catch_up_s, **document}
        return document
