"""Tests of the counts of requests by model."""

import asyncio
from unittest import mock

import pytest

from monsoonhinge.config import ingress
from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import model_demand
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import target_acquisition

_REQUIREMENTS = load_balancer.Requirements("s", model="m")
_ENGINE = ingress.IngressEngine(
    slots=8,
    kv_tokens=1000,
    weights_bytes=1000,
    adapter_capacity=8,
    loads_per_s=4.0,
    models=[
        ingress.EngineModel(
            name="m",
            weights_bytes=100,
            load_s=6.0,
            disk_load_s=1.0,
            warm_load_s=0.5,
        )
    ],
)


def test_report_tells_rate_and_unserved_requests() -> None:
    """Guards against a lease holder that sees the requests of now only."""
    counts = model_demand.ModelDemand()
    for second in range(60):
        counts.count_arrival(_REQUIREMENTS, _ENGINE, float(second))
    counts.count_unserved(_REQUIREMENTS, 59.0)
    counts.count_served(_REQUIREMENTS, 59.0)
    counts.count_unserved(_REQUIREMENTS, 59.0)
    (need,) = counts.needs(59.0).values()
    assert need.arrived == 60
    assert need.rate_per_ks == pytest.approx(1000, rel=0.1)
    assert (need.served_milli, need.unserved_milli) == (1000, 2000)
    (later,) = counts.needs(659.0).values()
    assert (later.served_milli, later.unserved_milli) == (500, 1000)


@pytest.mark.parametrize(
    "error", [refusal.Refusal(refusal.Reason.NOT_IN_TIME), None]
)
def test_request_that_ends_waiting_is_counted(
    error: refusal.Refusal | None,
) -> None:
    """Guards against models whose refused or abandoned requests are lost."""
    counts = model_demand.ModelDemand()
    counts.count_arrival(_REQUIREMENTS, _ENGINE, 0.0)
    context = mock.Mock()
    context.wait_queue.demand = counts
    context.balancer.choose.return_value = None
    context.hopeless_wait.return_value = error
    admitted = mock.Mock()
    admitted.requirements.return_value = _REQUIREMENTS

    async def run() -> None:
        acquisition = target_acquisition.TargetAcquisition(
            context=context,
            parsed=mock.Mock(),
            admitted=admitted,
            limits=mock.Mock(queue_deadline=1e9),
            reservation=mock.Mock(),
        )
        waiting = asyncio.create_task(acquisition.acquire(releases_tokens=True))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    asyncio.run(run())
    (need,) = counts.needs(0.0).values()
    assert need.unserved_milli == 1000
