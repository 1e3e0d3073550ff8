"""Linear fits of measured costs."""

from collections.abc import Sequence
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class LinearFit:
    """Least-squares line ``intercept + slope * size``.

    Attributes:
        slope: Cost per unit of size.
        intercept: Cost at size zero.
        r2: Coefficient of determination.
    """

    slope: float
    intercept: float
    r2: float

    @classmethod
    def from_points(
        cls, sizes: Sequence[float], costs: Sequence[float]
    ) -> "LinearFit":
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
class CostSeries:
    """A cost measured at several sizes.

    Attributes:
        name: What was measured; the first column of the table.
        size_unit: Unit of the sizes, such as ``object``.
        cost_unit: Unit of the costs, such as ``us``.
        sizes: Sizes at which the cost was measured.
        costs: Cost at each size.
    """

    name: str
    size_unit: str
    cost_unit: str
    sizes: list[float]
    costs: list[float]

    @property
    def fit(self) -> LinearFit:
        """The line fitted to the measured points."""
        return LinearFit.from_points(self.sizes, self.costs)

    def format_row(self) -> str:
        """Formats the series as one row of a Markdown table."""
        points = ", ".join(
            f"{size:g}: {cost:.4g}"
            for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return (
            f"| {self.name} | {self.fit.slope:.4g} {self.cost_unit} per "
            f"{self.size_unit} | {self.fit.intercept:.4g} | "
            f"{self.fit.r2:.3f} | {points} |"
        )


TABLE_HEADER = (
    "| cost | slope | at zero | r2 | points (size: cost) |\n"
    "|---|---|---|---|---|"
)
