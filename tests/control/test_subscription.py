"""Tests of the subscription with lost, duplicate and reordered messages."""

import json
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from monsoonhinge.config import delta
from monsoonhinge.config import pack
from monsoonhinge.config import schema
from monsoonhinge.control import leader_discovery
from monsoonhinge.control import mirror
from monsoonhinge.control import subscription
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_NAMES = ("a", "b", "c")


def _object(name: int, version: int) -> bytes:
    team = schema.Team(
        name=str(name), tokens_per_s=1.0, burst_tokens=version + 1
    )
    return schema.canonical(team)


def _content(version: int) -> dict[str, bytes]:
    """Returns the objects of a version; each changes or deletes one object."""
    changed_in = {change % 5: change for change in range(1, version + 1)}
    return {
        f"team/{name}": _object(name, change)
        for name, change in changed_in.items()
        if change % 4
    }


class Member:
    """A control member that may lag, and its channel to the subscriber."""

    def __init__(self) -> None:
        self.version = 3
        self.has_watcher = False
        self.is_unresponsive = False
        self.channel: list[mirror.ConfigUpdate] = []

    def watch(self, version: int) -> None:
        self.has_watcher = True
        if version == self.version:
            return
        parts = [[item] for item in _content(self.version).values()] or [[]]
        for number, part in enumerate(parts):
            self.channel.append(
                messages.ConfigSnapshot(
                    version=self.version,
                    part=number,
                    parts=len(parts),
                    objects=part,
                )
            )

    def apply(self, version: int) -> None:
        while self.version < version:
            change = delta.Delta.between(
                _content(self.version), _content(self.version + 1)
            )
            self.version += 1
            if self.has_watcher:
                self.channel.append(
                    messages.ConfigDelta(
                        base=self.version - 1,
                        version=self.version,
                        upserts=list(change.upserts.values()),
                        deletes=change.deletes,
                    )
                )


class Simulation:
    """Simulated members, a subscriber and the time."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.committed = 3
        self.commit_times = [-1.0] * 4
        self.members = {name: Member() for name in _NAMES}
        self.connected = set(_NAMES)
        self.replies: list[tuple[float, int]] = []
        self.subject = subscription.Subscription(
            members=_NAMES, rng=random.Random(seed)
        )

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for action in self.subject.tick(self.now, self.connected):
            member = self.members[action.member]
            match action:
                case subscription.Disconnect():
                    member.has_watcher = False
                    member.channel.clear()
                case subscription.Subscribe() if not member.is_unresponsive:
                    member.watch(self.subject.mirror.view.version)
                case subscription.Probe() if not member.is_unresponsive:
                    self.replies.append((action.sent_at, self.committed))

    def commit(self) -> None:
        self.committed += 1
        self.commit_times.append(self.now)

    def deliver(self, name: str, fault: str) -> None:
        channel = self.members[name].channel
        if not channel:
            return
        message = channel.pop(0)
        if fault == "lose":
            return
        if fault == "duplicate":
            channel.insert(0, message)
        if fault == "reorder" and channel:
            channel.insert(1, message)
            message = channel.pop(0)
        before = self.subject.mirror.view.version
        try:
            installed = self.subject.receive(name, message)
        except errors.ProtocolError:
            installed = False
        assert installed == (self.subject.mirror.view.version > before)
        self.check(before)

    def deliver_probe_reply(self) -> None:
        if self.replies:
            self.subject.handle_probe_reply(*self.replies.pop(0))
            self.check(self.subject.mirror.view.version)

    def check(self, before: int) -> None:
        view = self.subject.mirror.view
        assert view.version >= before
        assert {
            key: schema.canonical(item) for key, item in view.objects.items()
        } == _content(view.version)
        # An index that versions share must not contain older objects.
        assert view.teams == {item.name: item for item in view.objects.values()}
        fresh_at = self.subject.fresh_at
        if fresh_at is not None:
            committed = sum(when < fresh_at for when in self.commit_times[1:])
            assert view.version >= committed


_EVENT = st.one_of(
    st.tuples(st.just("tick"), st.sampled_from([0.05, 0.5, 2.0])),
    st.tuples(st.just("commit"), st.sampled_from(["", "a", "abc", "abc"])),
    st.tuples(
        st.just("deliver"),
        st.sampled_from(["", "", "", "", "lose", "duplicate", "reorder"]),
    ),
    st.tuples(st.just("probe_reply"), st.none()),
    st.tuples(st.just("toggle_unresponsive"), st.sampled_from(_NAMES)),
    st.tuples(st.just("disconnect"), st.sampled_from(_NAMES)),
)


@given(st.integers(0, 5), st.lists(_EVENT, max_size=60))
@settings(max_examples=300)
def test_mirror_is_consistent_and_catches_up(
    seed: int, events: list[tuple[str, object]]
) -> None:
    """Guards against mixed or older versions and false freshness."""
    simulation = Simulation(seed)
    simulation.tick(0.05)
    for kind, value in events:
        match kind, value:
            case "tick", float(seconds):
                simulation.tick(seconds)
            case "commit", str(names):
                simulation.commit()
                for name in names:
                    simulation.members[name].apply(simulation.committed)
            case "deliver", str(fault):
                for name in _NAMES:
                    simulation.deliver(name, fault)
            case "probe_reply", _:
                simulation.deliver_probe_reply()
            case "toggle_unresponsive", str(name):
                simulation.members[name].is_unresponsive ^= True
            case "disconnect", str(name):
                simulation.connected ^= {name}
                simulation.members[name].has_watcher = False
                simulation.members[name].channel.clear()
    # One member works again; the others stay in their state.
    working = simulation.members["a"]
    working.is_unresponsive = False
    simulation.connected.add("a")
    working.apply(simulation.committed)
    for _ in range(400):
        simulation.tick(0.05)
        while simulation.replies:
            simulation.deliver_probe_reply()
        for name in _NAMES:
            while simulation.members[name].channel:
                simulation.deliver(name, "")
    assert simulation.subject.mirror.view.version == simulation.committed
    # Probes are sent twice a second to a member that responds and is current.
    assert (
        simulation.subject.staleness(simulation.now)
        < subscription.SWITCH_MEMBER_AFTER_S
    )


def test_unresponsive_member_is_replaced_in_time() -> None:
    """Guards against a subscriber that stays with a partitioned member."""
    simulation = Simulation(0)
    simulation.tick(0.05)
    first = simulation.subject.watched_member
    while simulation.members[first].channel:
        simulation.deliver(first, "")
    simulation.deliver_probe_reply()
    simulation.members[first].is_unresponsive = True
    while simulation.subject.watched_member == first:
        simulation.tick(0.05)
        assert simulation.now < subscription.SWITCH_MEMBER_AFTER_S + 0.3
    second = simulation.subject.watched_member
    while simulation.members[second].channel:
        simulation.deliver(second, "")
    simulation.tick(0.05)
    simulation.deliver_probe_reply()
    assert simulation.subject.staleness(simulation.now) < 0.2
    # When the second one fails too, the third is chosen instead of the first.
    simulation.members[second].is_unresponsive = True
    while simulation.subject.watched_member == second:
        simulation.tick(0.05)
    assert simulation.subject.watched_member not in (first, second)


def test_member_that_sends_a_long_snapshot_is_kept() -> None:
    """Guards against a large configuration that never arrives.

    A snapshot that takes longer than the time after which a silent member is
    replaced would begin anew at each member.
    """
    subject = subscription.Subscription(members=_NAMES, rng=random.Random(1))
    subject.tick(0.0, _NAMES)
    member, now, parts = subject.watched_member, 0.0, 8
    for number in range(parts - 1):
        subject.receive(member, _part(3, number, parts))
        now += subscription.SWITCH_MEMBER_AFTER_S / 2
        subject.tick(now, _NAMES)
        assert subject.watched_member == member
    # A member that stops in the middle is replaced.
    while subject.watched_member == member:
        now += 0.05
        subject.tick(now, _NAMES)
    assert now < (parts / 2 + 1.0) * subscription.SWITCH_MEMBER_AFTER_S


def test_invalid_object_changes_nothing() -> None:
    """Guards against a configuration that is applied partially."""
    subject = mirror.Mirror()
    subject.receive(
        messages.ConfigSnapshot(
            version=1, parts=1, objects=[_object(0, 1), _object(1, 1)]
        )
    )
    before = subject.view
    objects = dict(before.objects)
    bad = json.dumps({"kind": "team", "name": "x"}).encode()
    with pytest.raises(errors.ProtocolError):
        subject.receive(
            messages.ConfigDelta(
                base=1, version=2, upserts=[_object(2, 2), bad]
            )
        )
    assert subject.view is before
    assert subject.view.objects == objects


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["redirect", "fail"]),
            st.sampled_from([*_NAMES, "", "elsewhere"]),
        ),
        max_size=20,
    )
)
def test_leader_tracker_tries_every_member(
    history: list[tuple[str, str]],
) -> None:
    """Guards against a request that is sent to the same followers forever."""
    tracker = leader_discovery.LeaderTracker(
        members=_NAMES, rng=random.Random(1)
    )
    for kind, name in history:
        chosen = tracker.choose_member(_NAMES)
        if kind == "redirect":
            tracker.handle_redirect(chosen, name)
        else:
            tracker.handle_failure(chosen)
    chosen = []
    for _ in range(len(_NAMES) + 1):
        chosen.append(tracker.choose_member(_NAMES))
        tracker.handle_failure(chosen[-1])
    assert set(chosen) == set(_NAMES)


def test_redirects_between_two_members_are_delayed() -> None:
    """Guards against a busy loop when two members redirect to each other."""
    backoff = leader_discovery.Backoff(random.Random(1))
    delays = [backoff.after_redirect() for _ in range(10)]
    assert delays[:2] == [0, 0]
    assert sum(delays) > 0.3


def _part(version: int, part: int, parts: int) -> messages.ConfigSnapshot:
    objects = list(_content(version).values())
    return messages.ConfigSnapshot(
        version=version, part=part, parts=parts, objects=objects[part::parts]
    )


def _delta(
    base: int, version: int, part: int = 0, parts: int = 1
) -> messages.ConfigDelta:
    change = delta.Delta.between(_content(base), _content(version))
    upserts = list(change.upserts.values())[part::parts]
    return messages.ConfigDelta(
        base=base,
        version=version,
        part=part,
        parts=parts,
        upserts=upserts if parts == 1 else [],
        packed=b"" if parts == 1 else pack.pack(upserts),
        deletes=change.deletes[part::parts],
    )


@pytest.mark.parametrize(
    ("received", "version"),
    [
        ([_part(7, 0, 1), _part(3, 0, 1)], 7),  # member lags
        ([_part(7, 0, 3), _part(7, 2, 3), _part(7, 1, 3)], 0),  # reordered
        ([_part(7, 0, 3), _part(7, 2, 3), _part(7, 2, 3)], 0),  # lost part
        ([_part(7, 0, 2), _part(6, 1, 2)], 0),  # parts of different versions
        # A delta between the parts.
        ([_part(7, 0, 2), _delta(7, 9), _part(7, 1, 2)], 9),
        ([_part(7, 0, 2), _delta(6, 7), _part(7, 1, 2)], 7),
        ([_part(7, 0, 1), _delta(8, 9)], 7),  # lost delta
        # A delta in several parts.
        ([_part(7, 0, 1), _delta(7, 9, 0, 2), _delta(7, 9, 1, 2)], 9),
        ([_part(7, 0, 1), _delta(7, 9, 0, 2)], 7),
        ([_part(7, 0, 1), _delta(7, 9, 1, 2), _delta(7, 9, 0, 2)], 7),
        ([_part(7, 0, 1), _delta(7, 9, 0, 3), _delta(7, 9, 2, 3)], 7),
        ([_part(7, 0, 1), _delta(7, 9, 0, 2), _delta(7, 8, 1, 2)], 7),
        ([_part(7, 0, 1), _delta(6, 9, 0, 2), _delta(6, 9, 1, 2)], 7),
        ([_part(9, 0, 1), _delta(7, 8, 0, 2), _delta(7, 8, 1, 2)], 9),
        ([_part(7, 0, 1), _delta(7, 9), _delta(7, 8)], 9),
    ],
)
def test_parts_and_deltas_are_applied_in_order(
    received: list[mirror.ConfigUpdate], version: int
) -> None:
    """Guards against an older version or one of the wrong parts."""
    simulation = Simulation(0)
    simulation.tick(0.05)
    name = simulation.subject.watched_member
    other = next(other for other in _NAMES if other != name)
    simulation.members[other].channel = [_part(9, 0, 1)]
    simulation.deliver(other, "")
    simulation.members[name].channel = received
    while received:
        simulation.deliver(name, "")
    assert simulation.subject.mirror.view.version == version


def test_withdrawn_key_is_removed_from_the_index() -> None:
    """Guards against a withdrawn key that the index still contains."""
    key = schema.Key(name="k", team="0", hash="0" * 64)
    subject = mirror.Mirror()
    objects = [_object(0, 1), schema.canonical(key)]
    subject.receive(
        messages.ConfigSnapshot(version=1, parts=1, objects=objects)
    )
    assert key.hash in subject.view.keys_by_hash
    teams = subject.view.teams
    subject.receive(messages.ConfigDelta(base=1, version=2, deletes=["key/k"]))
    assert not subject.view.keys_by_hash
    assert subject.view.teams is teams


def test_lost_delta_leads_to_a_new_subscription() -> None:
    """Guards against a subscriber that stays behind after a lost delta."""
    simulation = Simulation(0)
    simulation.tick(0.05)
    name = simulation.subject.watched_member
    simulation.members[name].channel = [_part(3, 0, 1), _delta(4, 5)]
    simulation.members[name].version = 5
    simulation.deliver(name, "")
    simulation.deliver(name, "")
    simulation.tick(1.0)
    while simulation.members[name].channel:
        simulation.deliver(name, "")
    assert simulation.subject.mirror.view.version == 5
