"""Base classes and field types of configuration objects."""

from typing import Annotated

import pydantic

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
]

# Up to these limits, numbers are exact in JSON documents and fit the fields of
# messages.
MAX_INTEGER = 2**53
MAX_NUMBER = 1e12

PositiveInt = Annotated[int, pydantic.Field(gt=0, le=MAX_INTEGER)]
NonNegativeInt = Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
PositiveFloat = Annotated[
    float, pydantic.Field(gt=0, le=MAX_NUMBER, allow_inf_nan=False)
]
NonNegativeFloat = Annotated[
    float, pydantic.Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)
]


class StrictModel(pydantic.BaseModel):
    """Base of objects and their parts; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class NamedObject(StrictModel):
    """Base of objects that have a name.

    Attributes:
        name: Name of the object; unique among the objects of its kind.
    """

    name: Name
