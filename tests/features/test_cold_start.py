"""Steps of the cold start scenarios."""

from typing import Any

import pytest_bdd

from tests.features import deployment

pytest_bdd.scenarios("cold_start.feature")


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{count:d} callers request {model} at the same time "
        "through all gateways"
    )
)
def send_burst(
    system: deployment.Deployment,
    context: dict[str, Any],
    count: int,
    model: str,
) -> None:
    callers = [
        system.run_in_thread(
            system.send_request,
            model,
            gateway=number % deployment.GATEWAY_COUNT,
            tokens=5 + number,
        )
        for number in range(count)
    ]
    context["responses"] = [caller.result(60) for caller in callers]


@pytest_bdd.then("every caller gets the complete response to its own request")
def all_answered(context: dict[str, Any]) -> None:
    # Each caller requested a different number of tokens, so that swapped
    # responses are detected.
    responses = context["responses"]
    assert [response.status for response in responses] == [200] * len(responses)
    for number, response in enumerate(responses):
        assert response.text.count("word") == 5 + number
