"""Steps of the refund scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("refunds.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("the ledger takes {seconds:d} s for a refund"))
def delay_ledger(system: deployment.Deployment, seconds: int) -> None:
    fault = {"kind": "delay", "seconds": seconds, "path_prefix": "/refunds"}
    for name in deployment.SERVICES:
        system.cluster.set_faults(name, fault)


@pytest_bdd.when(parse("a caller sends refund {number} through gateway {n:d}"))
def send_first(
    system: deployment.Deployment, context: dict[str, Any], number: str, n: int
) -> None:
    context["first"] = system.run_in_thread(
        system.send_refund, number, gateway=n
    )
    deployment.eventually(
        lambda: system.count_refund_runs(number) == 1,
        within=deployment.SLACK_S,
        description="the ledger gets the refund",
    )


@pytest_bdd.when(
    parse("gateway {n:d} crashes while the ledger runs refund {number}")
)
def kill_gateway_during_call(
    system: deployment.Deployment, context: dict[str, Any], n: int, number: str
) -> None:
    assert not context["first"].done()
    system.cluster.kill(f"gateway-{n}")
    assert isinstance(context["first"].exception(10), Exception)


@pytest_bdd.when(parse("gateway {n:d} crashes"))
def kill_gateway_after_response(
    system: deployment.Deployment, context: dict[str, Any], n: int
) -> None:
    assert context["first"].result(10).status == 200
    system.cluster.kill(f"gateway-{n}")


@pytest_bdd.when(
    parse("the caller retries refund {number} through gateway {n:d}")
)
def retry_refund(
    system: deployment.Deployment, context: dict[str, Any], number: str, n: int
) -> None:
    context["second"] = system.send_refund(
        number,
        gateway=n,
        timeout=deployment.OUTCOME_UNKNOWN_S + deployment.SLACK_S,
    )


@pytest_bdd.then("both requests get the same response")
def responses_are_equal(context: dict[str, Any]) -> None:
    first = context["first"].result(10)
    assert (first.status, context["second"].status) == (200, 200)
    assert first.body == context["second"].body


@pytest_bdd.then("the caller is told that the outcome is unknown")
def outcome_is_unknown(context: dict[str, Any]) -> None:
    assert context["second"].code == "outcome_unknown", context["second"].text
    assert context["second"].error["not_run"] == "unknown"


@pytest_bdd.then(parse("the ledger has run refund {number} once"))
def refund_ran_once(system: deployment.Deployment, number: str) -> None:
    assert system.count_refund_runs(number) == 1
