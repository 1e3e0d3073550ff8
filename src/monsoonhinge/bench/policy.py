"""Compares the scheduler's policies with baselines on seeded traces."""

import dataclasses
import math
import statistics

import cappa

from monsoonhinge.bench import baselines
from monsoonhinge.bench import replay
from monsoonhinge.bench import traces

Measures = dict[str, float]

# Measures for which a larger value is better; for all others a smaller one is.
_HIGHER_IS_BETTER = {"worst team"}

# Measures that depend on the token policy; all others depend on keep-alive.
_TOKEN_MEASURES = {"worst team", "refused %"}


@cappa.command(name="policy")
@dataclasses.dataclass
class Options:
    """Prints one table per deployment.

    Attributes:
        seeds: Number of seeds, each of which gives one trace.
        duration_s: Duration of each trace, in seconds.
    """

    seeds: int = 3
    duration_s: float = 3600.0


def summarize(
    outcome: replay.Outcome, deployment: traces.Deployment
) -> Measures:
    """Returns the measures of one replay by column name."""
    wait_s = sum(outcome.waits_s)
    return {
        "p50 s": outcome.wait_quantile_s(0.5),
        "p95 s": outcome.wait_quantile_s(0.95),
        "p99 s": outcome.wait_quantile_s(0.99),
        "idle h": outcome.idle_s / 3600,
        "worst team": outcome.worst_served_share(),
        "refused %": 100 * outcome.wrongly_refused / outcome.within_rate,
        "cost": (
            deployment.cold_start_weight * wait_s
            + deployment.idle_weight * outcome.idle_s
        )
        / 1000,
    }


def mean(rows: list[Measures]) -> Measures:
    """Returns the mean of each measure over several replays."""
    return {
        name: statistics.fmean(row[name] for row in rows) for name in rows[0]
    }


def ratios(
    ours: Measures, keep: list[Measures], tokens: list[Measures]
) -> Measures:
    """Returns the ratio of each measure to the best baseline's.

    Args:
        ours: Measures of the scheduler's policies.
        keep: Measures of each keep-alive baseline.
        tokens: Measures of each token baseline.
    """
    result = {}
    for name, value in ours.items():
        choose_best = max if name in _HIGHER_IS_BETTER else min
        rows = tokens if name in _TOKEN_MEASURES else keep
        best = choose_best(row[name] for row in rows)
        if best:
            result[name] = value / best
        else:
            result[name] = math.inf if value else 1.0
    return result


def compare(
    deployment: traces.Deployment, *, seeds: int, duration_s: float
) -> dict[str, Measures]:
    """Returns the mean measures of each policy and the ratios to the best."""
    candidates = [
        baselines.SCHEDULER,
        *baselines.KEEP_ALIVE_BASELINES,
        *baselines.TOKEN_BASELINES,
    ]
    rows: dict[str, list[Measures]] = {item.name: [] for item in candidates}
    for seed in range(1, seeds + 1):
        trace = traces.generate(deployment, seed=seed, duration_s=duration_s)
        for candidate in candidates:
            outcome = replay.Replay(trace, candidate).run()
            rows[candidate.name].append(summarize(outcome, deployment))
    means = {name: mean(items) for name, items in rows.items()}
    best = ratios(
        means[baselines.SCHEDULER.name],
        [means[item.name] for item in baselines.KEEP_ALIVE_BASELINES],
        [means[item.name] for item in baselines.TOKEN_BASELINES],
    )
    return {**means, "ratio to best": best}


def main() -> None:
    """Runs the comparison and prints the tables."""
    options = cappa.parse(Options)
    for deployment in traces.DEPLOYMENTS.values():
        table = compare(
            deployment, seeds=options.seeds, duration_s=options.duration_s
        )
        names = list(next(iter(table.values())))
        print(
            f"{deployment.name}: {options.seeds} seeds, "
            f"{options.duration_s:.0f} s each"
        )
        print(f"{'':20}" + "".join(f"{name:>12}" for name in names))
        for policy, row in table.items():
            cells = "".join(f"{row[name]:12.3f}" for name in names)
            print(f"{policy:20}{cells}")


if __name__ == "__main__":
    main()
