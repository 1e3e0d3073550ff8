"""Tests of the leader's wait for enough voters, with simulated time."""

import asyncio
import types as python_types
from typing import Any

import pytest

from monsoonhinge.consensus import types
from monsoonhinge.control import seeding
from monsoonhinge.runtime import settings

_HOSTS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
_WAIT_S = seeding._WAIT_FOR_VOTERS_S


class _Leadership:
    """Leader to which all members have replied lately."""

    def can_become_voter(self, member: str, now: float) -> bool:
        return False

    def seconds_since_last_seen(self, member: str, now: float) -> float:
        return 0.0

    def live_voters(self, now: float) -> set[str]:
        return {types.Member(host, "1").id for host in _HOSTS}


class _Driver:
    """Driver of a member that leads three voters, of five that are desired."""

    def __init__(self) -> None:
        self.raft: Any = python_types.SimpleNamespace(
            leadership=None, state=python_types.SimpleNamespace(term=0)
        )
        self.configuration = types.Configuration(
            tuple(types.Member(host, "1") for host in _HOSTS)
        )

    @property
    def is_leader(self) -> bool:
        return self.raft.leadership is not None

    def lead(self, term: int) -> None:
        self.raft.state.term = term
        self.raft.leadership = _Leadership()

    def follow(self) -> None:
        self.raft.leadership = None


def _manager(driver: Any) -> seeding.SeededMembershipManager:
    config = settings.Control.model_validate(
        {
            "node": _HOSTS[0],
            "availability_zone": "a",
            "operations": f"{_HOSTS[0]}:1",
            "cluster_secret": "test-cluster-secret",
            "listen": f"{_HOSTS[0]}:2",
            "data_dir": "unused",
            "seeds": [f"{host}:2" for host in _HOSTS],
            "tolerated_losses": 2,
        }
    )
    unused: Any = None
    return seeding.SeededMembershipManager(
        config=config,
        identity="1",
        driver=driver,
        transport=unused,
        connect_as=unused,
        acceptor=None,
    )


def test_leader_waits_for_voters_once_from_each_election(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against changes refused for as long again as there is a leader.

    Nor may the time of an earlier leadership count.
    """

    async def run() -> None:
        now = 0.0
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now)
        driver = _Driver()
        manager = _manager(driver)
        assert not manager.has_enough_voters()
        driver.lead(term=1)
        await manager.update_membership()
        now = _WAIT_S + 1.0
        assert manager.has_enough_voters()
        driver.follow()
        assert not manager.has_enough_voters()
        driver.lead(term=3)
        await manager.update_membership()
        assert not manager.has_enough_voters()
        now += _WAIT_S - 1.0
        assert not manager.has_enough_voters()
        now += 2.0
        assert manager.has_enough_voters()

    asyncio.run(run())


def test_time_of_an_earlier_leadership_does_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change that too few voters confirm."""

    async def run() -> None:
        now = 0.0
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now)
        driver = _Driver()
        manager = _manager(driver)
        driver.lead(term=1)
        assert not manager.has_enough_voters()
        driver.follow()
        now = _WAIT_S + 1.0
        driver.lead(term=3)
        assert not manager.has_enough_voters()

    asyncio.run(run())
