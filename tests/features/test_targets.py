"""Steps of the target scenarios."""

import signal
import time
from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("targets.feature")

parse = pytest_bdd.parsers.parse


@pytest_bdd.when(
    parse("the server of {model} is asked to leave while it serves streams")
)
def leave(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    ((server, _),) = system.replicas(model)
    # The streams outlast the time after which no new work may arrive.
    system.cluster.set_faults(
        server, {"kind": "delay", "seconds": 8, "count": 9}
    )
    seen["server"] = server
    seen["streams"] = [
        system.in_background(
            system.answer,
            model,
            gateway=number % deployment.GATEWAYS,
            stream=True,
        )
        for number in range(9)
    ]
    deployment.eventually(
        lambda: system.cluster.dump(server)["running"] == 9,
        within=deployment.SLACK_S,
        description="the streams run",
    )
    system.cluster.send_signal(server, signal.SIGTERM)
    seen["left_at"] = time.monotonic()


@pytest_bdd.then("every stream is answered whole")
def whole(seen: dict[str, Any]) -> None:
    for stream in seen["streams"]:
        answer = stream.result(60)
        assert answer.status == 200
        assert answer.text.endswith("data: [DONE]\n\n")


@pytest_bdd.then(parse("the server gets no new work after {limit:d} s"))
def no_new_work(
    system: deployment.Deployment, seen: dict[str, Any], limit: int
) -> None:
    while deployment.seconds_since(seen["left_at"]) < limit:
        time.sleep(0.05)
    before = system.cluster.dump(seen["server"])["runs"]
    for gateway in range(deployment.GATEWAYS):
        assert system.answer("pallets", gateway=gateway).status == 200
    assert system.cluster.nodes[seen["server"]].is_running, (
        "callers got no answer until the leaving server was gone"
    )
    assert system.cluster.dump(seen["server"])["runs"] == before


@pytest_bdd.then(parse("{model} is served by another server"))
def elsewhere(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    assert system.answer(model).status == 200
    process = system.cluster.nodes[seen["server"]].process
    assert process is not None
    assert process.wait(30) == 0
    assert any(
        name != seen["server"] and state == "loaded"
        for name, state in system.replicas(model)
    )


@pytest_bdd.given(parse("loads take {seconds:d} s"))
def slow_loads(system: deployment.Deployment, seconds: int) -> None:
    for name in system.engines():
        system.cluster.set_faults(
            name, {"kind": "load_slow", "seconds": seconds}
        )


@pytest_bdd.when(parse("a bar asks for {model}"))
def asks(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    seen["answer"] = system.in_background(system.answer, model, timeout=55.0)


@pytest_bdd.when(parse("the server that loads {model} loses power"))
def dies(
    system: deployment.Deployment, seen: dict[str, Any], model: str
) -> None:
    deployment.eventually(
        lambda: len(system.replicas(model)) == 1,
        within=deployment.SLACK_S,
        description="one server loads the model",
    )
    ((seen["server"], _),) = system.replicas(model)
    for name in system.engines():
        system.cluster.set_faults(name)
    system.cluster.kill(seen["server"])


@pytest_bdd.then("the bar gets its answer from another server")
def answered(system: deployment.Deployment, seen: dict[str, Any]) -> None:
    answer = seen["answer"].result(70)
    assert answer.status == 200, answer.text
    assert seen["server"] not in system.engines()
