"""Steps of the fairness scenarios."""

import asyncio
from typing import Any

import pytest_bdd

from monsoonhinge.bench import load
from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report
from tests.features import deployment

pytest_bdd.scenarios("fairness.feature")

parse = pytest_bdd.parsers.parse

SPAN_S = 8.0
REVIEW_TOKENS = 50


@pytest_bdd.when("the reviewers send five times their rate beside the drivers")
def send(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    team = next(
        item for item in deployment.objects() if item["name"] == "reviewers"
    )
    seen["team"] = team
    common = {"route": "reviews-route", "timeout_s": 5, "stream": True}
    plan = load_plan.LoadPlan.model_validate(
        {
            "gateways": [
                node.url("callers")
                for node in system.cluster.nodes_of("gateway")
            ],
            "duration_s": SPAN_S,
            "flows": [
                {
                    **common,
                    "name": "drivers",
                    "key": "key-of-the-drivers",
                    "rate_per_s": 10,
                    "max_tokens": 20,
                },
                {
                    **common,
                    "name": "reviewers",
                    "key": "key-of-the-reviewers",
                    "rate_per_s": 5 * team["tokens_per_s"] / REVIEW_TOKENS,
                    "max_tokens": REVIEW_TOKENS,
                },
            ],
        }
    )
    result = asyncio.run(load.collect(plan))
    seen["samples"] = result.samples
    seen["report"] = report.build_report(result)


@pytest_bdd.then("every driver gets the whole answer")
def drivers_answered(seen: dict[str, Any]) -> None:
    drivers = seen["report"]["flows"]["drivers"]
    assert set(drivers["outcomes"]) == {"ok"}, drivers


@pytest_bdd.then(
    parse("95 in 100 drivers get the first token within {limit:g} s")
)
def drivers_fast(seen: dict[str, Any], limit: float) -> None:
    drivers = seen["report"]["flows"]["drivers"]
    assert drivers["first_token_s"]["p95"] <= limit


@pytest_bdd.then("the reviewers learn why a review was not answered")
def reviewers_refused(seen: dict[str, Any]) -> None:
    reviewers = seen["report"]["flows"]["reviewers"]
    assert set(reviewers["outcomes"]) <= {"ok", "refused", "ended"}, reviewers
    codes = {text.split()[0] for text in reviewers["refusals"]}
    assert "rate_limited" in codes, "all were answered at five times the rate"
    # A review that waited for tokens may reach its deadline while it runs.
    assert codes <= {"rate_limited", "deadline_exceeded"}, codes


@pytest_bdd.then("no review that was reported as not run has run")
def not_run(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    ran = {
        {name.lower(): value for name, value in headers.items()}["x-request-id"]
        for state in system.engines().values()
        for headers in state["received"]
    }
    refused = {s.request_id for s in seen["samples"] if s.not_run is True}
    assert refused
    assert not refused & ran


@pytest_bdd.then("the reviewers got no more tokens than their rate and burst")
def reviewers_bounded(seen: dict[str, Any]) -> None:
    figures = seen["report"]
    outcomes = figures["flows"]["reviewers"]["outcomes"]
    served = outcomes.get("ok", 0)
    team = seen["team"]
    allowed = team["burst_tokens"] + team["tokens_per_s"] * figures["elapsed_s"]
    assert served * REVIEW_TOKENS <= allowed
