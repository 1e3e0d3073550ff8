"""Tests of the registry of targets."""

from monsoonhinge.fleet import registry
from tests.fleet import world

_SILENT_S = 3.0


def _registry() -> registry.Registry:
    return registry.Registry(silent_after_s=_SILENT_S)


def test_delayed_announcement_is_ignored() -> None:
    """Guards against a delayed announcement that replaces a later one."""
    targets = _registry()
    targets.record_announcement(
        world.registration(sequence=2, state="draining"), 0.0
    )
    assert (
        targets.record_announcement(world.registration(sequence=1), 1.0) == []
    )
    assert not targets.ready_registrations()


def test_announcement_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against requests to a target that crashed and was replaced."""
    targets = _registry()
    targets.record_announcement(world.registration("new", incarnation=9), 0.0)
    late = world.registration("old", incarnation=5, sequence=99)
    assert targets.record_announcement(late, 1.0) == []
    assert [item.target for item in targets.ready_registrations()] == ["new"]


def test_new_incarnation_at_an_address_replaces_the_old_target() -> None:
    """Guards against two registered targets with the same address."""
    targets = _registry()
    targets.record_announcement(world.registration("old", incarnation=1), 0.0)
    changed = targets.record_announcement(
        world.registration("new", incarnation=2), 1.0
    )
    assert {item.target: item.state for item in changed} == {
        "old": registry.GONE,
        "new": registry.READY,
    }


def test_restart_with_the_same_id_resets_the_sequence() -> None:
    """Guards against sequence numbers that are kept across a restart."""
    targets = _registry()
    targets.record_announcement(
        world.registration(incarnation=1, sequence=50), 0.0
    )
    changed = targets.record_announcement(
        world.registration(incarnation=2, sequence=1, models=("m1",)), 1.0
    )
    assert changed[0].incarnation == 2


def test_deregistered_target_stays_gone_while_late_messages_arrive() -> None:
    """Guards against new work for a target that has deregistered."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=1), 0.0)
    assert targets.deregister("t1", 1.0)[0].state == registry.GONE
    assert (
        targets.record_announcement(world.registration(sequence=2), 1.5) == []
    )
    assert not targets.ready_registrations()
    assert targets.record_announcement(world.registration(sequence=9), 20.0)


def test_deregistration_overrides_later_announcements() -> None:
    """Guards against a deregistration that is dropped as outdated.

    During a network partition of the control members, the target announced
    itself to one side and deregistered with the other. The first side had the
    higher sequence number and kept publishing the target as ready.
    """
    targets = _registry()
    targets.record_announcement(world.registration(sequence=17), 0.0)
    gone = world.registration(sequence=14, state=registry.GONE)
    (changed,) = targets.merge(gone, 1.0)
    assert (changed.state, changed.sequence) == (registry.GONE, 17)
    assert targets.merge(world.registration(sequence=17), 20.0) == []
    assert targets.record_announcement(world.registration(sequence=24), 21.0)
    # A lagging member repeats the superseded deregistration.
    assert targets.merge(gone, 22.0) == []
    assert targets.ready_registrations()
    assert targets.deregister("t1", 23.0)


def test_silent_target_is_reported_once_and_returns() -> None:
    """Guards against a crashed target that stays registered as ready."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=1), 0.0)
    assert targets.expire(2.0) == []
    assert targets.expire(4.0)[0].state == registry.SILENT
    assert targets.expire(5.0) == []
    assert targets.record_announcement(world.registration(sequence=2), 6.0)
    assert targets.ready_registrations()


def test_target_announced_to_another_member_is_not_silent_here() -> None:
    """Guards against a silent mark by a member that a target no longer uses."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=1), 0.0)
    targets.merge(world.registration(sequence=2), 1.0)
    assert targets.expire(100.0) == []


def test_first_announcement_here_is_published_without_a_change() -> None:
    """Guards against two members that both check a target for silence."""
    targets = _registry()
    targets.merge(world.registration(sequence=1), 0.0)
    assert targets.record_announcement(world.registration(sequence=2), 1.0)
    assert (
        targets.record_announcement(world.registration(sequence=3), 2.0) == []
    )


def test_outdated_silent_state_of_another_member_is_ignored() -> None:
    """Guards against a silent mark that is older than an announcement."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=5), 0.0)
    assert (
        targets.merge(world.registration(sequence=3, state="silent"), 1.0) == []
    )
    assert targets.ready_registrations()


def test_draining_target_that_falls_silent_is_gone() -> None:
    """Guards against new requests to a target that left without a word.

    Gateways use a silent target as a last resort, since a ready one may only
    be cut off from the control members.
    """
    targets = _registry()
    targets.record_announcement(world.registration(state="draining"), 0.0)
    (changed,) = targets.expire(_SILENT_S + 0.1)
    assert changed.state == registry.GONE


def test_leaving_target_gets_no_models() -> None:
    """Guards against loading models on a target that is about to go."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=1), 0.0)
    (changed,) = targets.record_leaving("t1", 1.0)
    assert changed.leaving
    assert not targets.ready_registrations()
    targets.record_announcement(world.registration(sequence=2), 2.0)
    assert not targets.ready_registrations()
    assert targets.record_leaving("t1", 3.0) == []


def test_outdated_registration_still_tells_that_its_target_is_leaving() -> None:
    """Guards against evidence that is dropped with an older announcement."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=5), 0.0)
    leaving = world.registration(sequence=3)
    leaving.leaving = True
    (changed,) = targets.merge(leaving, 1.0)
    assert (changed.leaving, changed.sequence) == (True, 5)
    # The member to which the target announces itself still checks it, and a
    # target that was leaving has left once it is silent.
    (changed,) = targets.expire(_SILENT_S + 0.1)
    assert changed.state == registry.GONE


def test_new_incarnation_of_a_leaving_target_is_ready() -> None:
    """Guards against blaming a target for what its predecessor said."""
    targets = _registry()
    targets.record_announcement(world.registration(incarnation=1), 0.0)
    targets.record_leaving("t1", 1.0)
    targets.record_announcement(world.registration(incarnation=2), 2.0)
    assert targets.ready_registrations()
    late = world.registration(incarnation=1)
    late.leaving = True
    assert targets.merge(late, 3.0) == []
    assert targets.ready_registrations()


def test_silent_target_is_gone_before_it_is_forgotten() -> None:
    """Guards against gateways that keep targets which no member knows."""
    targets = _registry()
    targets.record_announcement(world.registration(sequence=1), 0.0)
    targets.expire(4.0)
    (changed,) = targets.expire(100.0)
    assert changed.state == registry.GONE
    assert targets.expire(200.0) == []
    assert not targets.entries
