"""Tests of the pauses that targets ask for."""

import pytest

from monsoonhinge.ingress import load_balancer
from monsoonhinge.ingress import model_delays
from monsoonhinge.ingress import readiness
from monsoonhinge.ingress import refusal
from monsoonhinge.ingress import target_table
from monsoonhinge.protocol import fleet
from monsoonhinge.targets import retry_after

_REQUIREMENTS = load_balancer.Requirements("s", "m1")
_DATE = "Sat, 05 Dec 2026 10:00:00 GMT"


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (429, " 3 ", 3.0),
        (503, "Sat, 05 Dec 2026 10:00:07 GMT", 7.0),
        (503, "Sat, 05 Dec 2026 09:59:00 GMT", 0.0),
        (503, "-5", 0.0),
        (503, "31536000", retry_after.MAX_PAUSE_S),
        (503, "1e9", 0.0),
        (503, "9" * 40, 0.0),
        (503, "Sat, 05 Dec 2126 10:00:00 GMT", retry_after.MAX_PAUSE_S),
        (503, "soon", 0.0),
        (503, "", 0.0),
        (200, "2", 0.0),
        (421, "2", 0.0),
    ],
)
def test_pause_is_read_and_bounded(
    status: int, value: str, pause_s: float
) -> None:
    """Guards against a target that is not used for a year, or hammered."""
    headers = {"Retry-After": value, "Date": _DATE}
    assert retry_after.requested_pause_s(status, headers) == pause_s


def test_status_without_retry_after_asks_for_no_pause() -> None:
    """Guards against a pause after every full target."""
    assert retry_after.requested_pause_s(503, {}) == 0.0


def _balancer(*pauses_s: float) -> load_balancer.LoadBalancer:
    """Returns a balancer whose targets with the model ask for pauses."""
    table = target_table.TargetTable()
    for number, pause_s in enumerate(pauses_s):
        registration = fleet.Registration(
            target=f"i-{number}",
            incarnation=1,
            service="s",
            address=f"127.0.0.1:{number + 1}",
            state="ready",
            models=[fleet.HeldModel(name="m1")],
        )
        table.register(registration, 0.0)
        table.by_name[registration.target].retry_at = pause_s
    return load_balancer.LoadBalancer(targets=table, availability_zone="a")


def test_target_is_not_chosen_during_its_pause() -> None:
    """Guards against requests to a target that asked for none."""
    balancer = _balancer(5.0, 0.0)
    assert [t.name for t in balancer.eligible(_REQUIREMENTS, 1.0)] == ["i-1"]
    assert len(balancer.eligible(_REQUIREMENTS, 5.0)) == 2


def _wait_refusal(
    balancer: load_balancer.LoadBalancer,
    queue_deadline: float,
    *,
    cut_off: bool = False,
    delays: model_delays.ModelDelays | None = None,
) -> refusal.Refusal | None:
    return readiness.hopeless_wait(
        _REQUIREMENTS,
        balancer=balancer,
        delays=delays or model_delays.ModelDelays(),
        queue_deadline=queue_deadline,
        cut_off=cut_off,
        now=1.0,
    )


def test_request_beyond_all_pauses_is_refused_at_once() -> None:
    """Guards against a request that waits to its end for nothing."""
    refused = _wait_refusal(_balancer(9.0, 6.0), 4.0)
    assert refused is not None
    assert (refused.status, refused.retry_after_s) == (503, 5.0)


def test_request_waits_for_the_end_of_a_pause() -> None:
    """Guards against refusing what can be served in time."""
    assert _wait_refusal(_balancer(9.0, 3.0), 4.0) is None


def test_request_waits_for_a_load_during_a_pause() -> None:
    """Guards against refusing a request whose model is being loaded."""
    balancer = _balancer(9.0)
    loading = fleet.Registration(
        target="i-9",
        incarnation=1,
        service="s",
        address="127.0.0.1:99",
        state="ready",
    )
    balancer.targets.register(loading, 0.0)
    balancer.targets.by_name["i-9"].ready_at["m1"] = 2.0
    assert _wait_refusal(balancer, 4.0) is None


def test_model_that_no_target_holds_is_waited_for() -> None:
    """Guards against refusing requests for models that are not loaded."""
    assert _wait_refusal(_balancer(), 4.0) is None


def test_cut_off_gateway_refuses_what_nobody_will_load() -> None:
    """Guards against requests that wait in vain until their callers leave."""
    refused = _wait_refusal(_balancer(), 9.0, cut_off=True)
    assert refused is not None
    assert refused.status == 503
    assert refused.retry_after_s is not None


def test_cut_off_gateway_serves_what_it_knows() -> None:
    """Guards against refusing requests for loaded and loading models."""
    assert _wait_refusal(_balancer(3.0), 4.0, cut_off=True) is None
    balancer = _balancer(9.0)
    balancer.targets.by_name["i-0"].models.clear()
    balancer.targets.by_name["i-0"].ready_at["m1"] = 2.0
    assert _wait_refusal(balancer, 4.0, cut_off=True) is None


def _delays(
    ready_in_s: float, *, received_at: float = 1.0
) -> model_delays.ModelDelays:
    delays = model_delays.ModelDelays()
    delay = fleet.ModelDelay(
        service="s", model="m1", ready_in_ms=round(ready_in_s * 1000)
    )
    delays.apply(fleet.ModelDelays(fencing=5, delays=[delay]), received_at)
    return delays


def test_request_for_a_model_that_the_store_reads_too_late_is_refused() -> None:
    """Guards against twelve seconds of waiting for what is known to be late.

    Two thirds of what callers lost on a day were requests that were held until
    they left.
    """
    refused = _wait_refusal(_balancer(), 12.0, delays=_delays(30.0))
    assert refused is not None
    assert refused.reason is refusal.Reason.NOT_IN_TIME
    assert (refused.status, refused.retry_after_s) == (503, 30.0)


def test_request_waits_for_a_load_that_ends_in_time() -> None:
    """Guards against refusing what the store can still read."""
    assert _wait_refusal(_balancer(), 12.0, delays=_delays(8.0)) is None


def test_request_is_not_refused_by_an_old_estimate() -> None:
    """Guards against refusals for a lease holder that is gone."""
    old = _delays(30.0, received_at=-3.0)
    assert _wait_refusal(_balancer(), 12.0, delays=old) is None


def test_target_that_has_the_model_goes_before_an_estimate() -> None:
    """Guards against refusing requests for a model that has just come back."""
    assert _wait_refusal(_balancer(0.0), 12.0, delays=_delays(30.0)) is None


def test_request_is_refused_while_its_model_loads_too_long() -> None:
    """Guards against impatient requests that wait for a load of seconds."""
    balancer = _balancer(0.0)
    balancer.targets.by_name["i-0"].models.clear()
    balancer.targets.by_name["i-0"].ready_at["m1"] = 8.0
    refused = _wait_refusal(balancer, 4.0)
    assert refused is not None
    assert refused.retry_after_s == 7.0
    assert _wait_refusal(balancer, 9.0) is None


def test_estimates_of_a_former_lease_holder_are_ignored() -> None:
    """Guards against refusals by a member that lost the lease."""
    delays = _delays(30.0)
    assert not delays.apply(fleet.ModelDelays(fencing=4), 1.5)
    assert delays.ready_at("s", "m1", 1.5) == 31.0
    assert delays.apply(fleet.ModelDelays(fencing=6), 1.5)
    assert delays.ready_at("s", "m1", 1.5) is None
