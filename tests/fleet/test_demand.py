"""Tests of the demand of all gateways."""

import pytest

from monsoonhinge.fleet import demand
from monsoonhinge.protocol import fleet


def _tracker(*messages: fleet.FleetDemand) -> demand.DemandTracker:
    tracker = demand.DemandTracker()
    for message in messages:
        tracker.update(message, 0.0)
    return tracker


def test_broken_path_of_one_gateway_leaves_the_target_to_the_others() -> None:
    """Guards against one gateway that takes targets from placement for all."""
    tracker = _tracker(
        fleet.FleetDemand(gateway="cut", unreachable=["i-1", "i-2"]),
        fleet.FleetDemand(
            gateway="sound",
            uses=[fleet.TargetUse(target="i-1", model="m", running=2)],
        ),
    )
    assert tracker.unreachable_targets() == {"i-2"}


def _need(**fields: int) -> fleet.ModelNeed:
    return fleet.ModelNeed(service="s", model="m", **fields)


def _found(tracker: demand.DemandTracker, now: float) -> demand.Need:
    return tracker.needs(now)[demand.ModelKey("s", "m")]


def test_new_lease_holder_does_not_take_past_requests_for_a_burst() -> None:
    """Guards against rarely used models that count as busy after a handover.

    A new holder took all requests since the start of a gateway for arrivals of
    this moment.
    """
    first, second = demand.DemandTracker(), demand.DemandTracker()
    message = fleet.FleetDemand(
        gateway="a", needs=[_need(arrived=500, rate_per_ks=70)]
    )
    for tracker in (first, second):
        tracker.update(message, 100.0)
        assert _found(tracker, 100.0).rate == pytest.approx(0.07)
    second.update(message, 101.0)
    assert _found(second, 101.0).rate == pytest.approx(0.07)
    assert _found(second, 107.0).rate == pytest.approx(0.035)


def test_unserved_requests_outlive_the_lease_holder() -> None:
    """Guards against models whose turn is forgotten at each handover."""
    tracker = _tracker(
        fleet.FleetDemand(gateway="a", needs=[_need(unserved_milli=3000)]),
        fleet.FleetDemand(gateway="b", needs=[_need(unserved_milli=1000)]),
    )
    assert _found(tracker, 0.0).deficit == 4.0
    tracker.update(
        fleet.FleetDemand(
            gateway="a", needs=[_need(unserved_milli=3000, served_milli=1000)]
        ),
        1.0,
    )
    assert _found(tracker, 1.0).deficit == 2.0
    tracker.remove_gateway("b")
    assert _found(tracker, 1.0).deficit == 2.0


def test_restarted_gateway_replaces_what_it_said_before() -> None:
    """Guards against requests that count twice after a lost connection."""
    tracker = _tracker(
        fleet.FleetDemand(
            gateway="a", needs=[_need(arrived=7, rate_per_ks=800, waiting=1)]
        )
    )
    tracker.remove_gateway("a")
    assert _found(tracker, 0.0).waiting == 0
    assert _found(tracker, 0.0).arrived == 7
    tracker.update(
        fleet.FleetDemand(
            gateway="a", needs=[_need(arrived=1, rate_per_ks=100)]
        ),
        2.0,
    )
    need = _found(tracker, 2.0)
    assert (need.arrived, need.rate) == (1, pytest.approx(0.1))


def test_gateway_that_never_returns_is_forgotten() -> None:
    """Guards against a table that grows with the gateways of the past."""
    tracker = _tracker(
        fleet.FleetDemand(gateway="a", needs=[_need(unserved_milli=3000)])
    )
    tracker.expire(10.0)
    assert _found(tracker, 10.0).deficit == 3.0
    tracker.expire(700.0)
    assert _found(tracker, 700.0).deficit == 0.0


def test_target_that_no_gateway_reaches_is_unreachable() -> None:
    """Guards against loads on a lost target for requests that still hang."""
    tracker = _tracker(
        fleet.FleetDemand(
            gateway="a",
            unreachable=["i-1"],
            uses=[fleet.TargetUse(target="i-1", model="m", running=1)],
        ),
        fleet.FleetDemand(gateway="b"),
    )
    assert tracker.unreachable_targets() == {"i-1"}


def test_request_that_one_version_must_serve_waits_for_that_version() -> None:
    """Guards against a load at another version for a stream that goes on."""
    bound = fleet.ModelNeed(
        service="s", model="m", waiting=2, software_version="v1"
    )
    needs = [_need(waiting=1), bound]
    tracker = _tracker(
        fleet.FleetDemand(gateway="a", needs=needs),
        fleet.FleetDemand(gateway="b", needs=[bound]),
    )
    found = _found(tracker, 0.0)
    assert found.waiting == 1
    assert found.bound == {"v1": 4}
    # At engines that all run that version, it waits like any other.
    assert found.at_versions({"v1"}).waiting == 5
    assert found.at_versions({"v1", "v2"}).waiting == 1
    assert found.at_versions({"v2"}).waiting == 1
