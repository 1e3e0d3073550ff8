"""Base class and field types of the platform's JSON bodies."""

from typing import Annotated

import pydantic

Count = Annotated[int, pydantic.Field(ge=0, le=2**53)]
PositiveCount = Annotated[int, pydantic.Field(gt=0, le=2**53)]
Number = Annotated[float, pydantic.Field(ge=0, le=1e12, allow_inf_nan=False)]
PositiveNumber = Annotated[
    float, pydantic.Field(gt=0, le=1e12, allow_inf_nan=False)
]


class WireModel(pydantic.BaseModel):
    """Base of JSON bodies; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, strict=True, populate_by_name=True
    )
