"""Fixtures and steps that scenarios share."""

from collections.abc import Iterator
from typing import Any

import pytest
import pytest_bdd

from tests.features import deployment


@pytest.fixture(scope="session")
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    """The system, started once for all scenarios."""
    system = deployment.Deployment(tmp_path_factory.mktemp("system"))
    try:
        system.start()
        yield system
    finally:
        system.stop()


@pytest.fixture
def system(
    running: deployment.Deployment,
) -> Iterator[deployment.Deployment]:
    """The system, healthy before the scenario."""
    running.heal()
    yield running


@pytest.fixture
def seen() -> dict[str, Any]:
    """What the callers and operators of the scenario have seen."""
    return {}


@pytest_bdd.given("a healthy system")
def healthy(system: deployment.Deployment) -> None:
    assert all(node.is_running for node in system.cluster.nodes.values())


@pytest_bdd.given(
    pytest_bdd.parsers.parse("nobody has asked for {model} for a long time")
)
def cold(system: deployment.Deployment, model: str) -> None:
    assert not system.replicas(model)


@pytest_bdd.given(pytest_bdd.parsers.parse("{model} is loaded"))
def loaded(system: deployment.Deployment, model: str) -> None:
    assert system.answer(model).status == 200


@pytest_bdd.then(pytest_bdd.parsers.parse("{model} was loaded once"))
def loaded_once(system: deployment.Deployment, model: str) -> None:
    assert len(system.replicas(model)) == 1
    assert len(system.load_orders(model)) == 1


@pytest_bdd.then("no accelerator's memory was overcommitted")
def never_overcommitted(system: deployment.Deployment) -> None:
    for state in system.engines().values():
        memory = state["memory"]
        assert memory["overcommit_attempts"] == 0
        assert memory["peak_bytes"] <= memory["total_bytes"]
