"""Tests of the registry of targets."""

from monsoonhinge.fleet import registry
from tests.fleet import world

_SILENT_S = 3.0


def _registry() -> registry.Registry:
    return registry.Registry(silent_after_s=_SILENT_S)


def test_late_announcement_changes_nothing() -> None:
    """Guards against a delayed message that undoes a later one."""
    known = _registry()
    known.record_announcement(
        world.registration(sequence=2, state="draining"), 0.0
    )
    assert known.record_announcement(world.registration(sequence=1), 1.0) == []
    assert not known.ready_registrations()


def test_ghost_of_an_earlier_start_is_ignored() -> None:
    """Guards against requests sent to a target that crashed."""
    known = _registry()
    known.record_announcement(world.registration("new", incarnation=9), 0.0)
    late = world.registration("old", incarnation=5, sequence=99)
    assert known.record_announcement(late, 1.0) == []
    assert [item.target for item in known.ready_registrations()] == ["new"]


def test_new_start_at_an_address_ends_the_old_target() -> None:
    """Guards against two targets that share an address."""
    known = _registry()
    known.record_announcement(world.registration("old", incarnation=1), 0.0)
    changed = known.record_announcement(
        world.registration("new", incarnation=2), 1.0
    )
    assert {item.target: item.state for item in changed} == {
        "old": registry.GONE,
        "new": registry.READY,
    }


def test_restart_under_the_same_id_starts_anew() -> None:
    """Guards against sequence numbers that outlive a start."""
    known = _registry()
    known.record_announcement(
        world.registration(incarnation=1, sequence=50), 0.0
    )
    changed = known.record_announcement(
        world.registration(incarnation=2, sequence=1, models=("m1",)), 1.0
    )
    assert changed[0].incarnation == 2


def test_deregistered_target_stays_gone_while_late_messages_arrive() -> None:
    """Guards against work for a target that has said goodbye."""
    known = _registry()
    known.record_announcement(world.registration(sequence=1), 0.0)
    assert known.deregister("t1", 1.0)[0].state == registry.GONE
    assert known.record_announcement(world.registration(sequence=2), 1.5) == []
    assert not known.ready_registrations()
    assert known.record_announcement(world.registration(sequence=9), 20.0)


def test_departure_counts_beside_later_announcements() -> None:
    """Guards against a departure taken by a member that heard less.

    The other half of a core that was cut in two had heard later announcements
    and went on publishing the target as ready.
    """
    known = _registry()
    known.record_announcement(world.registration(sequence=17), 0.0)
    gone = world.registration(sequence=14, state=registry.GONE)
    (changed,) = known.merge(gone, 1.0)
    assert (changed.state, changed.sequence) == (registry.GONE, 17)
    assert known.merge(world.registration(sequence=17), 20.0) == []
    assert known.record_announcement(world.registration(sequence=24), 21.0)
    # A member behind repeats the departure that was undone.
    assert known.merge(gone, 22.0) == []
    assert known.ready_registrations()
    assert known.deregister("t1", 23.0)


def test_silent_target_is_reported_once_and_returns() -> None:
    """Guards against a crash that nobody notices."""
    known = _registry()
    known.record_announcement(world.registration(sequence=1), 0.0)
    assert known.expire(2.0) == []
    assert known.expire(4.0)[0].state == registry.SILENT
    assert known.expire(5.0) == []
    assert known.record_announcement(world.registration(sequence=2), 6.0)
    assert known.ready_registrations()


def test_target_heard_by_another_member_is_not_silent_here() -> None:
    """Guards against silence declared by a member that a target left."""
    known = _registry()
    known.record_announcement(world.registration(sequence=1), 0.0)
    known.merge(world.registration(sequence=2), 1.0)
    assert known.expire(100.0) == []


def test_first_announcement_here_is_published_even_without_news() -> None:
    """Guards against two members that both wait for one target."""
    known = _registry()
    known.merge(world.registration(sequence=1), 0.0)
    assert known.record_announcement(world.registration(sequence=2), 1.0)
    assert known.record_announcement(world.registration(sequence=3), 2.0) == []


def test_silence_seen_elsewhere_yields_to_a_later_announcement() -> None:
    """Guards against an outdated verdict of silence."""
    known = _registry()
    known.record_announcement(world.registration(sequence=5), 0.0)
    assert (
        known.merge(world.registration(sequence=3, state="silent"), 1.0) == []
    )
    assert known.ready_registrations()
