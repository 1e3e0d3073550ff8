"""Steps of the scheduler scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("schedulers.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.given(parse("each load takes {seconds:d} s longer"))
def delay_loads(system: deployment.Deployment, seconds: int) -> None:
    for name in system.engine_states():
        system.cluster.set_faults(
            name, {"kind": "load_slow", "seconds": seconds}
        )


@pytest_bdd.when(parse("a caller requests {model}"))
def request_model(
    system: deployment.Deployment, context: dict[str, Any], model: str
) -> None:
    context["response"] = system.run_in_thread(
        system.send_request, model, timeout=40.0
    )


@pytest_bdd.when(
    parse("the active scheduler is killed while {model} is loading")
)
def kill_active_scheduler(
    system: deployment.Deployment, context: dict[str, Any], model: str
) -> None:
    deployment.eventually(
        lambda: [state for _, state in system.replicas(model)] == ["loading"],
        within=deployment.SLACK_S,
        description="the model is loading",
    )
    context["killed"] = system.active_scheduler()
    system.cluster.kill(context["killed"])


@pytest_bdd.then("the caller gets a response")
def request_succeeds(context: dict[str, Any]) -> None:
    response = context["response"].result(60)
    assert response.status == 200, response.text


@pytest_bdd.then("another scheduler has taken over")
def other_scheduler_is_active(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    assert system.active_scheduler() != context["killed"]
