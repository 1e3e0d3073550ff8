"""Fixtures and steps that all scenarios share."""

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
    """The running system, restored to a healthy state."""
    running.restore()
    yield running


@pytest.fixture
def context() -> dict[str, Any]:
    """Values that one step of a scenario stores for a later one."""
    return {}


@pytest_bdd.given("a healthy system")
def system_is_healthy(system: deployment.Deployment) -> None:
    assert all(node.is_running for node in system.cluster.nodes.values())


@pytest_bdd.given(pytest_bdd.parsers.parse("{model} is not loaded"))
def model_is_not_loaded(system: deployment.Deployment, model: str) -> None:
    assert not system.replicas(model)


@pytest_bdd.given(pytest_bdd.parsers.parse("{model} is loaded"))
def model_is_loaded(system: deployment.Deployment, model: str) -> None:
    assert system.send_request(model).status == 200


@pytest_bdd.then(pytest_bdd.parsers.parse("{model} was loaded once"))
def model_was_loaded_once(system: deployment.Deployment, model: str) -> None:
    assert len(system.replicas(model)) == 1
    assert len(system.load_order_ids(model)) == 1


@pytest_bdd.then("no accelerator's memory was overcommitted")
def memory_was_not_overcommitted(system: deployment.Deployment) -> None:
    for state in system.engine_states().values():
        memory = state["memory"]
        assert memory["overcommit_attempts"] == 0
        assert memory["peak_bytes"] <= memory["total_bytes"]
