"""Tests of what subscribers of a directory are sent."""

import dataclasses
import typing

from hypothesis import stateful
from hypothesis import strategies as st

from monsoonhinge.bench import synthetic
from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import target_table
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.scheduler import publisher

_TARGETS = 4
_SCHEDULERS = 2


def _structure(state: messages.TargetState) -> tuple[object, ...]:
    return state.leaving, [replica.order_id for replica in state.replicas]


class _FakeRouter:
    """Records the targets that may receive requests."""

    def __init__(self) -> None:
        self.states: dict[str, messages.TargetState] = {}

    def update(self, state: messages.TargetState, now: float) -> set[str]:
        self.states[state.target] = state
        return set()

    def remove(self, name: str) -> None:
        self.states.pop(name, None)

    def forget(self, name: str) -> None:
        """Does nothing; stands for the method of the ejections."""


class _FakeDispatcher:
    """Dispatcher that the gateway's targets report to."""

    def __init__(self) -> None:
        self.router = _FakeRouter()
        self.ejections = self.router


class Machine(stateful.RuleBasedStateMachine):
    """Two schedulers and a gateway that subscribes to both directories."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.sequence = 0
        self.latest: dict[str, tuple[messages.TargetState, float]] = {}
        self.sources = [
            target_directory.Directory() for _ in range(_SCHEDULERS)
        ]
        self.publishers = [
            publisher.Publisher(directory=source) for source in self.sources
        ]
        self.dispatcher = _FakeDispatcher()
        self.copy = target_table.TargetTable(
            dispatcher=typing.cast(dispatch.Dispatcher, self.dispatcher)
        )
        for number in range(_SCHEDULERS):
            self.reconnect(number)

    @stateful.rule(
        number=st.integers(0, _TARGETS - 1),
        replicas=st.integers(0, 3),
        leaving=st.booleans(),
        received_by=st.sampled_from([(0,), (1,), (0, 1)]),
    )
    def announce(
        self,
        number: int,
        replicas: int,
        leaving: bool,
        received_by: tuple[int, ...],
    ) -> None:
        """A target announces itself; one scheduler may miss it."""
        state = synthetic.target(number, 0, replicas=replicas)
        state.leaving = leaving
        self._announce(state, received_by)

    @stateful.rule(number=st.integers(0, _TARGETS - 1))
    def announce_again(self, number: int) -> None:
        """A target announces itself with the same structure."""
        known = self.latest.get(f"target-{number}")
        if known is not None:
            self._announce(known[0], (0, 1))

    def _announce(
        self, state: messages.TargetState, received_by: tuple[int, ...]
    ) -> None:
        self.sequence += 1
        state = dataclasses.replace(state, sequence=self.sequence)
        self.latest[state.target] = (state, self.now)
        for scheduler in received_by:
            if self.sources[scheduler].update(state, self.now):
                self.publishers[scheduler].update_target(state)

    @stateful.rule(seconds=st.floats(0.1, 2))
    def wait(self, seconds: float) -> None:
        """Advances the clock and expires targets at the schedulers."""
        self.now += seconds
        for source, published in zip(
            self.sources, self.publishers, strict=True
        ):
            published.remove_targets(source.expire(self.now))

    @stateful.rule(number=st.integers(0, _SCHEDULERS - 1))
    def reconnect(self, number: int) -> None:
        """The gateway loses a connection and subscribes again."""
        self.copy.forget_scheduler(number)
        self.publishers[number].unsubscribe("gateway")
        self.publishers[number].subscribe("gateway")
        self.publishers[number].set_interest("gateway", ["model-1"])

    @stateful.rule(number=st.integers(0, _SCHEDULERS - 1))
    def deliver(self, number: int) -> None:
        """Delivers the due updates of one scheduler to the gateway."""
        for _, due in self.publishers[number].flush(self.now):
            for message in due:
                if isinstance(message, messages.DirectoryUpdate):
                    self.copy.apply_directory_update(number, message, self.now)
                elif isinstance(message, messages.Loads):
                    self.copy.apply_heartbeat(number, message, self.now)

    @stateful.rule()
    def deliver_all(self) -> None:
        """Delivers the updates of both schedulers.

        The gateway then uses the latest state that either of them has.
        """
        self.now += publisher.LOAD_INTERVAL_S
        self.wait(0.1)
        for number in range(_SCHEDULERS):
            self.deliver(number)
        self.copy.expire(self.now)
        newest: dict[str, messages.TargetState] = {}
        for source in self.sources:
            for name, entry in source.entries.items():
                known = newest.get(name)
                if known is None or entry.state.sequence > known.sequence:
                    newest[name] = entry.state
        used = self.dispatcher.router.states
        assert {name: _structure(state) for name, state in used.items()} == {
            name: _structure(state) for name, state in newest.items()
        }

    @stateful.invariant()
    def no_work_after_expiry(self) -> None:
        """Requests go only to targets whose announcements have not expired.

        This is property P11 of the proofs page.
        """
        self.copy.expire(self.now)
        for name in self.dispatcher.router.states:
            _, announced_at = self.latest[name]
            age = self.now - announced_at
            assert age <= target_directory.EXPIRY_S + 0.002


TestPublisher = Machine.TestCase


def test_target_gets_work_again_after_a_stalled_link() -> None:
    """Guards against a live target that gets no requests after a link stalls.

    The gateway expires the target while no heartbeat arrives.
    """
    world = Machine()
    world.announce(number=0, replicas=0, leaving=False, received_by=(0, 1))
    world.deliver_all()
    world.wait(2.0)
    world.announce_again(number=0)
    world.wait(2.0)
    world.no_work_after_expiry()
    assert not world.dispatcher.router.states
    world.deliver_all()
    assert world.dispatcher.router.states


def _published_bytes(count: int, models: int, seconds: int) -> float:
    source = target_directory.Directory()
    publishing = publisher.Publisher(directory=source)
    publishing.subscribe("gateway")
    publishing.set_interest("gateway", [f"model-{n}" for n in range(models)])
    sent, now = 0, 0.0
    for tick in range(seconds * 10):
        now = 10 + tick / 10
        for number in range(tick % 10, count, 10):
            state = synthetic.target(number, tick + 1, replicas=8)
            if source.update(state, now):
                publishing.update_target(state)
        for _, due in publishing.flush(now):
            for message in due:
                size = len(
                    codec.encode(
                        codec.Envelope(id=0, reply=False, body=message)
                    )
                )
                sent += size if tick >= 20 else 0
    return sent / (seconds - 2)


def test_load_stays_within_the_byte_budget() -> None:
    """Guards against load updates that exceed 22 KB/s per gateway."""
    assert _published_bytes(count=2_600, models=400, seconds=5) < 22_000


def test_load_of_other_models_is_not_sent() -> None:
    """Guards against sending the load of all targets to every gateway."""
    assert _published_bytes(count=100, models=0, seconds=4) < 200
