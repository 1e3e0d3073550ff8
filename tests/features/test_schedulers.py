"""Steps of the scheduler scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("schedulers.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("each load takes {seconds:d} s longer"))
def slow_loads(system: deployment.Deployment, seconds: int) -> None:
    for name in system.engines():
        system.cluster.set_faults(
            name, {"kind": "load_slow", "seconds": seconds}
        )


@pytest_bdd.when(parse("a bar asks for {model}"))
def asks(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    seen["answer"] = system.in_background(system.answer, model, timeout=40.0)


@pytest_bdd.when(
    parse("the active scheduler is killed while {model} is loading")
)
def dies(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    deployment.eventually(
        lambda: [state for _, state in system.replicas(model)] == ["loading"],
        within=deployment.SLACK_S,
        description="the model is loading",
    )
    seen["killed"] = system.active_scheduler()
    system.cluster.kill(seen["killed"])


@pytest_bdd.then("the bar gets its answer")
def answered(seen: dict[str, Any]) -> None:
    answer = seen["answer"].result(60)
    assert answer.status == 200, answer.text


@pytest_bdd.then("another scheduler has taken over")
def taken_over(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    assert system.active_scheduler() != seen["killed"]
