"""Outcomes of requests and reports of a load."""

import collections
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

_QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(slots=True)
class RequestSample:
    """Outcome of one request; times are in seconds.

    Attributes:
        flow: Name of the flow.
        request_id: Id sent with the request.
        outcome: ``ok``, ``refused``, ``ended`` (a stream that ended early with
            an error event), ``mismatched`` (a response to another request, or
            wrong content), ``truncated`` or ``broken`` (no response).
        code: Code of a refusal or of an error event, or the class name of a
            client error.
        not_run: The field ``not_run`` of a refusal.
        latency_s: Time from the scheduled arrival to the end of the response.
        first_token_s: Time from the scheduled arrival to the first token, or
            None if there was no token.
        token_gaps_s: Times between consecutive tokens.
        late_s: Delay of sending after the scheduled arrival.
        detail: What was wrong with a mismatched or truncated response.
    """

    flow: str
    request_id: str = ""
    outcome: str = "broken"
    code: str = ""
    not_run: Any = None
    latency_s: float = 0.0
    first_token_s: float | None = None
    token_gaps_s: list[float] = dataclasses.field(default_factory=list)
    late_s: float = 0.0
    detail: str = ""


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Outcome of a load.

    Attributes:
        samples: One sample per request sent.
        elapsed_s: Time until the last response, in seconds.
        not_sent: Number of requests not sent because too many were in flight.
    """

    samples: Sequence[RequestSample]
    elapsed_s: float
    not_sent: int


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Returns the nearest-rank p50, p95 and p99 of some values."""
    if not values:
        return {}
    ordered = sorted(values)
    return {
        f"p{round(share * 100)}": round(
            ordered[max(0, math.ceil(share * len(ordered)) - 1)], 6
        )
        for share in _QUANTILES
    }


def summarize(
    samples: Sequence[RequestSample], elapsed_s: float
) -> dict[str, Any]:
    """Returns rates, outcome counts and latency quantiles of samples.

    Args:
        samples: Samples to aggregate.
        elapsed_s: Duration of the load, in seconds.
    """
    succeeded = [sample for sample in samples if sample.outcome == "ok"]
    outcomes = collections.Counter(sample.outcome for sample in samples)
    return {
        "requests": len(samples),
        "rate_per_s": round(len(samples) / elapsed_s, 3),
        "ok_per_s": round(len(succeeded) / elapsed_s, 3),
        "outcomes": dict(outcomes),
        "refusals": dict(
            collections.Counter(
                f"{sample.code} not_run={sample.not_run}"
                for sample in samples
                if sample.outcome in ("refused", "ended")
            )
        ),
        "latency_s": quantiles([sample.latency_s for sample in succeeded]),
        "first_token_s": quantiles(
            [
                sample.first_token_s
                for sample in succeeded
                if sample.first_token_s is not None
            ]
        ),
        "between_tokens_s": quantiles(
            [gap for sample in succeeded for gap in sample.token_gaps_s]
        ),
        "sent_late_s": quantiles([sample.late_s for sample in samples]),
        "details": sorted({s.detail for s in samples if s.detail})[:10],
    }


def build_report(result: LoadResult) -> dict[str, Any]:
    """Returns the figures of a whole load and of each flow."""
    samples, elapsed_s = result.samples, result.elapsed_s
    flows = dict.fromkeys(sample.flow for sample in samples)
    return {
        "elapsed_s": round(elapsed_s, 3),
        "not_sent": result.not_sent,
        "all": summarize(samples, elapsed_s),
        "flows": {
            flow: summarize([s for s in samples if s.flow == flow], elapsed_s)
            for flow in flows
        },
    }


def format_table(document: dict[str, Any]) -> str:
    """Formats a report as a text table."""
    row_format = "{:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}"
    lines = [
        row_format.format(
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
    for flow, figures in rows.items():
        outcomes = figures["outcomes"]
        latency = figures["latency_s"]
        failed = sum(
            outcomes.get(outcome, 0)
            for outcome in ("ended", "mismatched", "truncated", "broken")
        )
        lines.append(
            row_format.format(
                flow,
                figures["requests"],
                f"{figures['rate_per_s']:.1f}",
                outcomes.get("ok", 0),
                outcomes.get("refused", 0),
                failed,
                *(
                    _format_seconds(latency.get(key))
                    for key in ("p50", "p95", "p99")
                ),
                _format_seconds(figures["first_token_s"].get("p95")),
            )
        )
    for code, count in document["all"]["refusals"].items():
        lines.append(f"refused {count}: {code}")
    if document["not_sent"]:
        lines.append(f"not sent: {document['not_sent']}")
    return "\n".join(lines)


def _format_seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.4f}"
