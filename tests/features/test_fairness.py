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

LOAD_DURATION_S = 8.0
REVIEW_TOKENS = 50


@pytest_bdd.when(
    "the reviewers send five times their rate and the drivers send requests"
)
def send_load(system: deployment.Deployment, context: dict[str, Any]) -> None:
    team = next(
        item for item in deployment.objects() if item["name"] == "reviewers"
    )
    context["team"] = team
    common = {"route": "reviews-route", "timeout_s": 5, "stream": True}
    plan = load_plan.LoadPlan.model_validate(
        {
            "gateways": [
                node.url("callers")
                for node in system.cluster.nodes_of("gateway")
            ],
            "duration_s": LOAD_DURATION_S,
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
    context["samples"] = result.samples
    context["report"] = report.build_report(result)


@pytest_bdd.then("every driver gets a complete response")
def drivers_succeed(context: dict[str, Any]) -> None:
    drivers = context["report"]["flows"]["drivers"]
    assert set(drivers["outcomes"]) == {"ok"}, drivers


@pytest_bdd.then(
    parse("95 in 100 drivers get the first token within {limit:g} s")
)
def drivers_are_fast(context: dict[str, Any], limit: float) -> None:
    drivers = context["report"]["flows"]["drivers"]
    assert drivers["first_token_s"]["p95"] <= limit


@pytest_bdd.then("failed reviews report a rate limit or a missed deadline")
def reviewers_are_limited(context: dict[str, Any]) -> None:
    reviewers = context["report"]["flows"]["reviewers"]
    assert set(reviewers["outcomes"]) <= {"ok", "refused", "ended"}, reviewers
    codes = {text.split()[0] for text in reviewers["refusals"]}
    assert "rate_limited" in codes, (
        "no review was refused at five times the rate"
    )
    # A review that waited for tokens may miss its deadline while it runs.
    assert codes <= {"rate_limited", "deadline_exceeded"}, codes


@pytest_bdd.then("no review that was reported as not run has run")
def refused_reviews_did_not_run(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    run_ids = {
        {name.lower(): value for name, value in headers.items()}["x-request-id"]
        for state in system.engine_states().values()
        for headers in state["received"]
    }
    refused_ids = {
        s.request_id for s in context["samples"] if s.not_run is True
    }
    assert refused_ids
    assert not refused_ids & run_ids


@pytest_bdd.then("the reviewers got no more tokens than their rate and burst")
def reviewers_stay_within_budget(context: dict[str, Any]) -> None:
    figures = context["report"]
    outcomes = figures["flows"]["reviewers"]["outcomes"]
    served = outcomes.get("ok", 0)
    team = context["team"]
    allowed = team["burst_tokens"] + team["tokens_per_s"] * figures["elapsed_s"]
    assert served * REVIEW_TOKENS <= allowed
