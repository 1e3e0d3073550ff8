"""Reports of a load."""

import collections
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

_QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(slots=True)
class Sample:
    """What happened to one request; times are in seconds.

    Attributes:
        flow: Name of the flow.
        request_id: Id sent with the request.
        outcome: ``ok``, ``refused``, ``ended`` (a stream that ended early with
            an error event), ``mismatched`` (an answer to another request, or
            wrong content), ``truncated`` or ``broken`` (no answer).
        code: Code of a refusal or of an error event, or the error.
        not_run: What a refusal says about it.
        latency_s: From the planned arrival to the end of the answer.
        first_token_s: From the planned arrival to the first token.
        gaps_s: Times between tokens.
        late_s: How late the request was sent.
        detail: What was wrong with a mismatched or truncated answer.
    """

    flow: str
    request_id: str = ""
    outcome: str = "broken"
    code: str = ""
    not_run: Any = None
    latency_s: float = 0.0
    first_token_s: float | None = None
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    late_s: float = 0.0
    detail: str = ""


@dataclasses.dataclass(slots=True)
class Result:
    """What happened in a load.

    Attributes:
        samples: One per request sent.
        elapsed_s: Time until the last answer, in seconds.
        not_sent: Arrivals beyond the limit of requests in flight.
    """

    samples: Sequence[Sample]
    elapsed_s: float
    not_sent: int


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Returns p50, p95 and p99, each the smallest value that covers it."""
    if not values:
        return {}
    ordered = sorted(values)
    return {
        f"p{round(share * 100)}": round(
            ordered[max(0, math.ceil(share * len(ordered)) - 1)], 6
        )
        for share in _QUANTILES
    }


def summary(samples: Sequence[Sample], elapsed_s: float) -> dict[str, Any]:
    """Returns the figures of some samples.

    Args:
        samples: The samples.
        elapsed_s: Time that the load took, in seconds.
    """
    good = [sample for sample in samples if sample.outcome == "ok"]
    outcomes = collections.Counter(sample.outcome for sample in samples)
    return {
        "requests": len(samples),
        "rate_per_s": round(len(samples) / elapsed_s, 3),
        "ok_per_s": round(len(good) / elapsed_s, 3),
        "outcomes": dict(outcomes),
        "refusals": dict(
            collections.Counter(
                f"{sample.code} not_run={sample.not_run}"
                for sample in samples
                if sample.outcome in ("refused", "ended")
            )
        ),
        "latency_s": quantiles([sample.latency_s for sample in good]),
        "first_token_s": quantiles(
            [
                sample.first_token_s
                for sample in good
                if sample.first_token_s is not None
            ]
        ),
        "between_tokens_s": quantiles(
            [gap for sample in good for gap in sample.gaps_s]
        ),
        "sent_late_s": quantiles([sample.late_s for sample in samples]),
        "details": sorted({s.detail for s in samples if s.detail})[:10],
    }


def report(result: Result) -> dict[str, Any]:
    """Returns the report of a load, as a whole and by flow."""
    samples, elapsed_s = result.samples, result.elapsed_s
    flows = dict.fromkeys(sample.flow for sample in samples)
    return {
        "elapsed_s": round(elapsed_s, 3),
        "not_sent": result.not_sent,
        "all": summary(samples, elapsed_s),
        "flows": {
            flow: summary([s for s in samples if s.flow == flow], elapsed_s)
            for flow in flows
        },
    }


def table(document: dict[str, Any]) -> str:
    """Returns a report as text."""
    row = "{:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}"
    lines = [
        row.format(
            "flow",
            "requests",
            "per s",
            "ok",
            "refused",
            "wrong",
            "p50 s",
            "p95 s",
            "p99 s",
            "first p95",
        )
    ]
    rows = {**document["flows"], "all": document["all"]}
    for name, figures in rows.items():
        outcomes = figures["outcomes"]
        latency = figures["latency_s"]
        wrong = sum(
            outcomes.get(kind, 0)
            for kind in ("ended", "mismatched", "truncated", "broken")
        )
        lines.append(
            row.format(
                name,
                figures["requests"],
                f"{figures['rate_per_s']:.1f}",
                outcomes.get("ok", 0),
                outcomes.get("refused", 0),
                wrong,
                *(_seconds(latency.get(key)) for key in ("p50", "p95", "p99")),
                _seconds(figures["first_token_s"].get("p95")),
            )
        )
    for code, count in document["all"]["refusals"].items():
        lines.append(f"refused {count}: {code}")
    if document["not_sent"]:
        lines.append(f"not sent: {document['not_sent']}")
    return "\n".join(lines)


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.4f}"
