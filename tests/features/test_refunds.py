"""Steps of the refund scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("refunds.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("the ledger takes {seconds:d} s for a refund"))
def slow_ledger(system: deployment.Deployment, seconds: int) -> None:
    fault = {"kind": "delay", "seconds": seconds, "path_prefix": "/refunds"}
    for name in deployment.SERVICES:
        system.cluster.set_faults(name, fault)


@pytest_bdd.when(parse("a bar sends refund {number} through gateway {n:d}"))
def first(
    system: deployment.Deployment, seen: dict[str, Any], number: str, n: int
) -> None:
    seen["first"] = system.in_background(system.refund, number, gateway=n)
    deployment.eventually(
        lambda: system.refunds_run(number) == 1,
        within=deployment.SLACK_S,
        description="the ledger gets the refund",
    )


@pytest_bdd.when(
    parse("gateway {n:d} dies while the ledger works on refund {number}")
)
def dies_before(
    system: deployment.Deployment, seen: dict[str, Any], n: int, number: str
) -> None:
    assert not seen["first"].done()
    system.cluster.kill(f"gateway-{n}")
    assert isinstance(seen["first"].exception(10), Exception)


@pytest_bdd.when(parse("gateway {n:d} dies"))
def dies(system: deployment.Deployment, seen: dict[str, Any], n: int) -> None:
    assert seen["first"].result(10).status == 200
    system.cluster.kill(f"gateway-{n}")


@pytest_bdd.when(
    parse("the bar sends refund {number} again through gateway {n:d}")
)
def again(
    system: deployment.Deployment, seen: dict[str, Any], number: str, n: int
) -> None:
    seen["second"] = system.refund(
        number, gateway=n, timeout=deployment.UNKNOWN_S + deployment.SLACK_S
    )


@pytest_bdd.then("both times the bar gets the same answer")
def same(seen: dict[str, Any]) -> None:
    earlier = seen["first"].result(10)
    assert (earlier.status, seen["second"].status) == (200, 200)
    assert earlier.body == seen["second"].body


@pytest_bdd.then("the bar learns that the outcome is unknown")
def unknown(seen: dict[str, Any]) -> None:
    assert seen["second"].code == "outcome_unknown", seen["second"].text
    assert seen["second"].error["not_run"] == "unknown"


@pytest_bdd.then(parse("the ledger has run refund {number} once"))
def once(system: deployment.Deployment, number: str) -> None:
    assert system.refunds_run(number) == 1
