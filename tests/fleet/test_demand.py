"""Tests of the demand of all gateways."""

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
