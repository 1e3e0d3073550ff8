"""Bases and value types of configuration objects."""

from typing import Annotated

import pydantic

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
]

# Numbers stay exact in JSON documents and within the fields of messages.
MAX_INTEGER = 2**53
MAX_NUMBER = 1e12

Positive = Annotated[int, pydantic.Field(gt=0, le=MAX_INTEGER)]
NotNegative = Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]
PositiveFloat = Annotated[
    float, pydantic.Field(gt=0, le=MAX_NUMBER, allow_inf_nan=False)
]
Weight = Annotated[
    float, pydantic.Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)
]


class Part(pydantic.BaseModel):
    """Base of all parts of objects; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class Object(Part):
    """Base of all objects.

    Attributes:
        name: Name of the object; unique among the objects of its kind.
    """

    name: Name
