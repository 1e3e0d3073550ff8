"""Tests of the load generator: arrivals, outcomes and limits."""

import asyncio
import json
import pathlib
import subprocess
import sys
from typing import Any

from aiohttp import test_utils
from aiohttp import web
import pydantic
import pytest

from monsoonhinge.bench import load
from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report

FLOW = {"name": "a", "route": "r", "rate_per_s": 50}


def make_plan(**fields: Any) -> load_plan.LoadPlan:
    """Creates a load plan with one flow and some other fields."""
    return load_plan.LoadPlan.model_validate(
        {
            "gateways": ["http://127.0.0.1:1"],
            "duration_s": 1,
            "flows": [FLOW],
            **fields,
        }
    )


def test_arrivals_repeat_and_flows_are_independent() -> None:
    """Guards against runs of one plan with different arrivals.

    Runs could not be compared if arrivals were not derived from the seed, or
    if adding a flow changed the arrivals of the others.
    """
    alone = list(load_plan.arrivals(make_plan()))
    other = {"name": "b", "route": "r", "rate_per_s": 20}
    both = list(load_plan.arrivals(make_plan(flows=[FLOW, other])))
    assert [item for item in both if item[1].name == "a"] == alone
    assert [at for at, _ in both] == sorted(at for at, _ in both)
    assert alone != list(load_plan.arrivals(make_plan(seed=2)))


def test_arrivals_are_bounded() -> None:
    """Guards against a load that exceeds ``max_requests``."""
    assert len(list(load_plan.arrivals(make_plan(max_requests=7)))) == 7


@pytest.mark.parametrize(
    "url", ["http://10.0.0.1:1", "http://localhost:1", "https://127.0.0.1:1"]
)
def test_urls_outside_loopback_are_refused(url: str) -> None:
    """Guards against a load that is sent to other machines by mistake."""
    with pytest.raises(pydantic.ValidationError):
        make_plan(gateways=[url])


def test_quantiles_cover_their_share() -> None:
    """Guards against high quantiles that are reported too low."""
    values = [float(number) for number in range(1, 101)]
    assert report.quantiles(values) == {"p50": 50, "p95": 95, "p99": 99}
    assert report.quantiles([3.0]) == {"p50": 3, "p95": 3, "p99": 3}


async def respond(request: web.Request) -> web.StreamResponse:
    """Responds in the way that the route name selects."""
    body = await request.json()
    headers = {"X-Request-Id": request.headers["X-Request-Id"]}
    match body["model"]:
        case "refused":
            error = {"code": "queue_full", "not_run": True}
            return web.json_response(
                {"error": error}, status=503, headers=headers
            )
        case "crossed":
            headers["X-Request-Id"] = "other"
    text = " ".join(f"word{n}" for n in range(body["max_tokens"]))
    match body["model"]:
        case "short":
            text = "word0"
        case "error":
            error = {"code": "deadline_exceeded", "not_run": False}
            text += f"\n\nevent: error\ndata: {json.dumps({'error': error})}\n"
            return web.Response(text=text, headers=headers)
        case "no-end":
            return web.Response(text=f"data: {text}\n", headers=headers)
    return web.Response(text=f"{text}\ndata: [DONE]\n", headers=headers)


@pytest.mark.parametrize(
    ("route", "stream", "outcome"),
    [
        ("good", False, "ok"),
        ("good", True, "ok"),
        ("refused", False, "refused"),
        ("crossed", False, "mismatched"),
        ("short", False, "mismatched"),
        ("no-end", True, "truncated"),
        ("error", True, "ended"),
    ],
)
def test_responses_are_classified(
    route: str, stream: bool, outcome: str
) -> None:
    """Guards against a wrong response that is counted as ``ok``."""

    async def run() -> dict[str, Any]:
        app = web.Application()
        app.router.add_post("/v1/chat/completions", respond)
        async with test_utils.TestServer(app, host="127.0.0.1") as server:
            flow = {**FLOW, "route": route, "stream": stream}
            return await load.run(
                make_plan(
                    gateways=[str(server.make_url("/"))],
                    flows=[flow],
                    max_requests=3,
                )
            )

    document = asyncio.run(run())
    assert document["all"]["outcomes"] == {outcome: 3}
    assert "requests" in report.format_table(document)


def test_invalid_plan_is_explained(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback instead of a message for an invalid plan."""
    path = tmp_path / "plan.json"
    path.write_text(json.dumps({"gateways": ["http://10.0.0.1"]}))
    completed = subprocess.run(
        [sys.executable, "-m", "monsoonhinge.bench", "--plan", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert "loopback" in completed.stderr
    assert "Traceback" not in completed.stderr
