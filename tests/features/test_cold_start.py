"""Steps of the cold start scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("cold_start.feature")


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{count:d} bars ask for {model} at the same moment through all gateways"
    )
)
def burst(
    system: deployment.Deployment, seen: dict[str, Any], count: int, model: str
) -> None:
    waiting = [
        system.in_background(
            system.answer,
            model,
            gateway=number % deployment.GATEWAYS,
            tokens=5 + number,
        )
        for number in range(count)
    ]
    seen["answers"] = [caller.result(60) for caller in waiting]


@pytest_bdd.then("every bar gets the whole answer to its own question")
def all_answered(seen: dict[str, Any]) -> None:
    # Each asked for another number of tokens, so a swap shows.
    assert [answer.status for answer in seen["answers"]] == [200] * len(
        seen["answers"]
    )
    for number, answer in enumerate(seen["answers"]):
        assert answer.text.count("word") == 5 + number
