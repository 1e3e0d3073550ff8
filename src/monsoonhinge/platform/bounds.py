"""Bounds of the platform that a control member's settings contain."""

from typing import Any

import pydantic

from monsoonhinge.runtime import settings


class _Bounds(pydantic.BaseModel):
    """The bounds that are used; the platform may add others.

    Attributes:
        catch_up_s: Time after which a new machine no longer counts as lost.
    """

    catch_up_s: float = pydantic.Field(default=4.0, alias="catchUpS")


class ControlSettings(settings.Control):
    """Settings of a control member, with ``bounds`` under the wire names."""

    @pydantic.model_validator(mode="before")
    @classmethod
    def _translate_bounds(cls, document: Any) -> Any:
        if not isinstance(document, dict) or "bounds" not in document:
            return document
        document = dict(document)
        bounds = _Bounds.model_validate(document.pop("bounds"))
        document.setdefault("catch_up_s", bounds.catch_up_s)
        return document
