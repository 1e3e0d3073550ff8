"""Random schedules of replaced members, with disks lost at each moment.

Five members bear the loss of two disks. A member that is removed for good no
longer counts as lost once its successor has run for the catch-up time, or at
once if it is stopped in an orderly way after that.
"""

from collections.abc import Sequence
import contextlib
import os

import pytest

from monsoonhinge.consensus import leader as raft_leader
from monsoonhinge.consensus import membership
from monsoonhinge.consensus import types
from monsoonhinge.control import seeding
from tests.consensus import cluster

_SEEDS = int(os.environ.get("MONSOONHINGE_REPLACEMENTS", "25"))
_NAMES = ("a", "b", "c", "d", "e")
_SPARES = ("f", "g", "h")
_DESIRED_VOTERS = 5
_CATCH_UP_S = 4.0
_STEP_S = 0.1
_RECOVERY_S = 20.0


class _Deployment(cluster.Cluster):
    """A cluster in which the leader replaces lost voters, as unattended."""

    def __init__(self, seed: int, *, resign: bool = True) -> None:
        super().__init__(seed, names=_NAMES, spares=_SPARES)
        self.can_resign = resign
        self.resigning: dict[str, float] = {}
        self.resigned: set[str] = set()
        self.back_at: dict[str, float] = {}

    def advance(self, seconds: float) -> None:
        """Runs the cluster and its membership tasks."""
        end = self.now + seconds
        while self.now < end:
            self.run(min(_STEP_S, end - self.now))
            for name, at in list(self.back_at.items()):
                if self.now >= at:
                    del self.back_at[name]
                    self.lose_data_directory(name)
            self._join()
            for name in list(self.resigning):
                self._continue_resignation(name)
            self._update_membership()
            self.propose([b"x"])

    def lose_disks(self, names: Sequence[str]) -> None:
        """Kills members, which come back with empty disks."""
        for name in names:
            if name in self.nodes:
                self.crash(name)
            self.back_at[name] = self.now + self.rng.uniform(0.5, 2.0)

    def remove(self, name: str) -> None:
        """Removes a member for good, without a warning."""
        if name in self.nodes:
            self.crash(name)
        self.resigning.pop(name, None)

    def begin_stop(self, name: str) -> None:
        """Begins an orderly stop of a member that does not come back."""
        self.resigning[name] = self.now + seeding.RESIGN_TIMEOUT_S
        self.resigned.add(name)
        if self.leader() is self.nodes[name]:
            self.transfer_leadership()

    def committed_voters(self) -> list[str]:
        return [
            member.name
            for member in self.committed_configuration.members
            if member.voter
        ]

    def _lead(self) -> tuple[cluster.Node, raft_leader.Leader] | None:
        node = self.leader()
        if node is None or node.core.leadership is None:
            return None
        return node, node.core.leadership

    def _change(
        self, node: cluster.Node, wanted: types.Configuration | None
    ) -> None:
        leadership = node.core.leadership
        if wanted is None or leadership is None:
            return
        with contextlib.suppress(types.ChangeRefused):
            leadership.change_configuration(wanted, node.clock(self.now))
        self.process_output(node)

    def _join(self) -> None:
        found = self._lead()
        if found is None:
            return
        node, _ = found
        configuration = node.core.state.log.configuration
        for other in self.nodes.values():
            if other.name in self.resigned:
                continue
            if configuration.get(other.id) is None:
                member = types.Member(other.name, other.storage.identity)
                self._change(
                    node, membership.add_learner(configuration, member)
                )
                return

    def _update_membership(self) -> None:
        found = self._lead()
        if found is None:
            return
        node, leadership = found
        now = node.clock(self.now)
        live = leadership.live_voters(now)
        wanted = membership.next_automatic_configuration(
            node.core.state.log.configuration,
            is_caught_up=lambda m: leadership.can_become_voter(m, now),
            is_unresponsive=lambda m: (
                leadership.seconds_since_last_seen(m, now)
                > seeding.unresponsive_after_s(_CATCH_UP_S)
            ),
            count_live_voters=lambda c: len(live.intersection(c.voters)),
            desired_voter_count=_DESIRED_VOTERS,
        )
        self._change(node, wanted)

    def _continue_resignation(self, name: str) -> None:
        """Performs the next step, or ends the process of a member."""
        stopping = self.nodes[name]
        done = stopping.id not in self.committed_configuration.voters
        if done or self.now >= self.resigning[name] or not self.can_resign:
            self.remove(name)
            return
        found = self._lead()
        if found is None:
            return
        node, leadership = found
        now = node.clock(self.now)
        live = leadership.live_voters(now)
        with contextlib.suppress(types.ChangeRefused):
            wanted = membership.next_resignation(
                node.core.state.log.configuration,
                stopping.id,
                is_caught_up=lambda m: leadership.can_become_voter(m, now),
                count_live_voters=lambda c: len(live.intersection(c.voters)),
                desired_voter_count=_DESIRED_VOTERS,
            )
            self._change(node, wanted)


def _check_recovery(deployment: _Deployment, gone: set[str]) -> None:
    """Checks that entries are committed and all votes are held by machines."""
    deployment.advance(_RECOVERY_S)
    assert deployment.leader() is not None, "no member leads any more"
    committed = len(deployment.committed_entries)
    deployment.advance(2.0)
    assert len(deployment.committed_entries) > committed, "nothing is committed"
    voters = deployment.committed_voters()
    assert len(voters) >= _DESIRED_VOTERS
    assert not gone.intersection(voters), "a voter without a machine stays"


def _two_disks(deployment: _Deployment, gone: set[str]) -> list[str]:
    """Returns two other machines, with the leader in half of the runs."""
    names = sorted({*_NAMES, "f"} - gone)
    leader = deployment.leader()
    if (
        leader is not None
        and leader.name in names
        and deployment.rng.random() < 0.5
    ):
        names.remove(leader.name)
        return [leader.name, deployment.rng.choice(names)]
    return deployment.rng.sample(names, 2)


def _with_spare(seed: int, *, resign: bool = True) -> _Deployment:
    """Returns a deployment whose spare has run for the catch-up time."""
    deployment = _Deployment(seed, resign=resign)
    deployment.advance(3.0)
    deployment.start("f")
    deployment.advance(2 * _CATCH_UP_S)
    assert deployment.committed_voters() == list(_NAMES)
    return deployment


def _planned(seed: int, *, resign: bool = True) -> None:
    deployment = _with_spare(seed, resign=resign)
    stopped = deployment.rng.choice(_NAMES)
    deployment.begin_stop(stopped)
    # From the signal until long after the end of the process.
    deployment.advance(deployment.rng.choice([0.0, 0.05, 0.1, 0.3, 1.0, 3.0]))
    deployment.lose_disks(_two_disks(deployment, {stopped}))
    _check_recovery(deployment, {stopped})


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_planned_replacement_leaves_the_vote_with_a_member_that_is_gone(
    seed: int,
) -> None:
    """Guards against two lost disks that end the cluster after a stop."""
    _planned(seed)


def test_schedules_detect_a_stop_that_keeps_the_vote() -> None:
    """Guards against schedules that do not find the fault they are for."""
    with pytest.raises(AssertionError):
        for seed in range(_SEEDS):
            _planned(seed, resign=False)


@pytest.mark.parametrize("gap_s", [0.0, 1.0, 3.0])
@pytest.mark.parametrize("seed", range(_SEEDS))
def test_lost_member_votes_longer_than_the_catch_up_time(
    seed: int, gap_s: float
) -> None:
    """Guards against two lost disks that end the cluster after a loss."""
    deployment = _Deployment(seed)
    deployment.advance(3.0)
    leader = deployment.leader()
    assert leader is not None
    lost = deployment.rng.choice([leader.name, *_NAMES])
    deployment.remove(lost)
    deployment.advance(gap_s)
    deployment.start("f")
    deployment.advance(_CATCH_UP_S)
    deployment.lose_disks(_two_disks(deployment, {lost}))
    _check_recovery(deployment, {lost})


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_loss_of_the_leader_delays_the_replacement_beyond_its_time(
    seed: int,
) -> None:
    """Guards against silence that each new leader counts from its election."""
    deployment = _Deployment(seed)
    deployment.advance(3.0)
    leader = deployment.leader()
    assert leader is not None
    lost = deployment.rng.choice([n for n in _NAMES if n != leader.name])
    deployment.remove(lost)
    deployment.crash(leader.name)
    deployment.start("f")
    deployment.advance(1.0)
    deployment.start(leader.name)
    deployment.advance(_CATCH_UP_S)
    deployment.lose_disks(_two_disks(deployment, {lost}))
    _check_recovery(deployment, {lost})


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_replacements_in_quick_succession_end_the_cluster(seed: int) -> None:
    """Guards against three planned replacements that leave no quorum."""
    deployment = _Deployment(seed)
    deployment.advance(3.0)
    for spare in _SPARES:
        deployment.start(spare)
    deployment.advance(2 * _CATCH_UP_S)
    stopped = deployment.rng.sample(_NAMES, 3)
    for name in stopped:
        deployment.begin_stop(name)
        deployment.advance(deployment.rng.choice([0.0, 0.2, 1.3]))
    _check_recovery(deployment, set(stopped))


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_loss_of_the_successor_leaves_a_vacant_vote(seed: int) -> None:
    """Guards against promoting a member that is gone itself."""
    deployment = _with_spare(seed)
    lost = deployment.rng.choice(_NAMES)
    deployment.remove(lost)
    deployment.advance(deployment.rng.uniform(0.0, 3.0))
    deployment.lose_disks(["f"])
    _check_recovery(deployment, {lost})


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_freeze_beside_a_spare_costs_a_vote_for_good(seed: int) -> None:
    """Guards against frozen members that are replaced and never come back."""
    deployment = _with_spare(seed)
    frozen = deployment.rng.choice(_NAMES)
    deployment.paused.add(frozen)
    deployment.advance(deployment.rng.choice([0.5, 1.5, 3.0, 6.0]))
    deployment.paused.clear()
    deployment.advance(_CATCH_UP_S)
    deployment.lose_disks(_two_disks(deployment, set()))
    _check_recovery(deployment, set())
