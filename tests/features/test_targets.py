"""Steps of the target scenarios."""

import signal
import time
from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("targets.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.when(
    parse("the engine of {model} is asked to stop while it serves streams")
)
def stop_engine(
    system: deployment.Deployment, context: dict[str, Any], model: str
) -> None:
    ((engine, _),) = system.replicas(model)
    # The streams last longer than the time in which new work may arrive.
    system.cluster.set_faults(
        engine, {"kind": "delay", "seconds": 8, "count": 9}
    )
    context["engine"] = engine
    context["streams"] = [
        system.run_in_thread(
            system.send_request,
            model,
            gateway=number % deployment.GATEWAY_COUNT,
            stream=True,
        )
        for number in range(9)
    ]
    deployment.eventually(
        lambda: system.cluster.dump(engine)["running"] == 9,
        within=deployment.SLACK_S,
        description="the streams run",
    )
    system.cluster.send_signal(engine, signal.SIGTERM)
    context["stopped_at"] = time.monotonic()


@pytest_bdd.then("every stream is completed")
def streams_complete(context: dict[str, Any]) -> None:
    for stream in context["streams"]:
        response = stream.result(60)
        assert response.status == 200
        assert response.text.endswith("data: [DONE]\n\n")


@pytest_bdd.then(parse("the engine gets no new work after {limit:d} s"))
def engine_gets_no_new_work(
    system: deployment.Deployment, context: dict[str, Any], limit: int
) -> None:
    while deployment.seconds_since(context["stopped_at"]) < limit:
        time.sleep(0.05)
    before = system.cluster.dump(context["engine"])["runs"]
    for gateway in range(deployment.GATEWAY_COUNT):
        assert system.send_request("pallets", gateway=gateway).status == 200
    assert system.cluster.nodes[context["engine"]].is_running, (
        "callers got no response until the engine had exited"
    )
    assert system.cluster.dump(context["engine"])["runs"] == before


@pytest_bdd.then(parse("{model} is served by another engine"))
def other_engine_serves(
    system: deployment.Deployment, context: dict[str, Any], model: str
) -> None:
    assert system.send_request(model).status == 200
    process = system.cluster.nodes[context["engine"]].process
    assert process is not None
    assert process.wait(30) == 0
    assert any(
        name != context["engine"] and state == "loaded"
        for name, state in system.replicas(model)
    )


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
        system.send_request, model, timeout=55.0
    )


@pytest_bdd.when(parse("the engine that loads {model} loses power"))
def kill_loading_engine(
    system: deployment.Deployment, context: dict[str, Any], model: str
) -> None:
    deployment.eventually(
        lambda: len(system.replicas(model)) == 1,
        within=deployment.SLACK_S,
        description="one engine loads the model",
    )
    ((context["engine"], _),) = system.replicas(model)
    for name in system.engine_states():
        system.cluster.set_faults(name)
    system.cluster.kill(context["engine"])


@pytest_bdd.then("the caller gets a response from another engine")
def other_engine_responds(
    system: deployment.Deployment, context: dict[str, Any]
) -> None:
    response = context["response"].result(70)
    assert response.status == 200, response.text
    assert context["engine"] not in system.engine_states()
