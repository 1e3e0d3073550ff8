"""Straight lines through measured points."""

from collections.abc import Sequence
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line ``intercept + slope * size``.

    Attributes:
        slope: Cost per unit of size.
        intercept: Cost at size zero.
        r2: Share of the variance that the line explains.
    """

    slope: float
    intercept: float
    r2: float

    @classmethod
    def through(cls, sizes: Sequence[float], costs: Sequence[float]) -> "Fit":
        """Fits a line through at least two points."""
        line = statistics.linear_regression(sizes, costs)
        if len(set(costs)) == 1:
            return cls(slope=0.0, intercept=costs[0], r2=1.0)
        return cls(
            slope=line.slope,
            intercept=line.intercept,
            r2=statistics.correlation(sizes, costs) ** 2,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A measured cost at several sizes.

    Attributes:
        name: What was measured.
        size_unit: Unit of the sizes, such as ``objects``.
        cost_unit: Unit of the costs, such as ``us``.
        sizes: Sizes measured.
        costs: Cost at each size.
    """

    name: str
    size_unit: str
    cost_unit: str
    sizes: list[float]
    costs: list[float]

    @property
    def fit(self) -> Fit:
        """Line through the points."""
        return Fit.through(self.sizes, self.costs)

    def row(self) -> str:
        """Returns one row of a Markdown table."""
        points = ", ".join(
            f"{size:g}: {cost:.4g}"
            for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return (
            f"| {self.name} | {self.fit.slope:.4g} {self.cost_unit} per "
            f"{self.size_unit} | {self.fit.intercept:.4g} | "
            f"{self.fit.r2:.3f} | {points} |"
        )


HEADER = (
    "| cost | slope | at zero | r2 | points (size: cost) |\n"
    "|---|---|---|---|---|"
)
