"""Tests of what subscribers of a directory are sent."""

from hypothesis import stateful
from hypothesis import strategies as st

from monsoonhinge.bench import sample
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory as target_directory
from monsoonhinge.targets import publisher

_TARGETS = 5


def _key(state: messages.TargetState) -> tuple[object, ...]:
    return (
        state.target,
        state.leaving,
        [replica.order_id for replica in state.replicas],
    )


def _sorted(
    directory: target_directory.Directory,
) -> list[target_directory.Entry]:
    return [entry for _, entry in sorted(directory.entries.items())]


class Machine(stateful.RuleBasedStateMachine):
    """A scheduler's directory and a gateway's copy of it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.sequence = 0
        self.source = target_directory.Directory()
        self.copy = target_directory.Directory()
        self.publisher = publisher.Publisher(directory=self.source)
        self.publisher.subscribe("gateway")
        self.publisher.set_interest("gateway", ["model-1"])

    @stateful.rule(
        number=st.integers(0, _TARGETS - 1),
        replicas=st.integers(0, 3),
        leaving=st.booleans(),
    )
    def announce(self, number: int, replicas: int, leaving: bool) -> None:
        """A target announces itself."""
        self.sequence += 1
        state = sample.target(number, self.sequence, replicas=replicas)
        state.leaving = leaving
        if self.source.update(state, self.now):
            self.publisher.announced(state)

    @stateful.rule(seconds=st.floats(0.1, 2))
    def wait(self, seconds: float) -> None:
        """Time passes on both sides."""
        self.now += seconds
        self.publisher.removed(self.source.expire(self.now))

    @stateful.rule()
    def reconnect(self) -> None:
        """The gateway loses the connection and subscribes again."""
        self.publisher.unsubscribe("gateway")
        self.publisher.subscribe("gateway")
        self.publisher.set_interest("gateway", ["model-1"])

    @stateful.rule()
    def deliver(self) -> None:
        """Everything due reaches the gateway, which then agrees."""
        for _, due in self.publisher.flush(self.now):
            for message in due:
                self._apply(message)
        mine = {
            name: _key(entry.state)
            for name, entry in self.source.entries.items()
        }
        theirs = {
            name: _key(entry.state) for name, entry in self.copy.entries.items()
        }
        assert mine.items() <= theirs.items()

    @stateful.invariant()
    def no_target_outlives_its_announcement(self) -> None:
        """A copied entry is never younger than LATE_MS makes it."""
        for name, entry in self.copy.entries.items():
            heard = self.source.entries.get(name)
            if heard is not None:
                slack = publisher.LATE_MS / 1000
                assert entry.heard_at <= heard.heard_at + slack + 1e-6

    def _apply(self, message: messages.Message) -> None:
        match message:
            case messages.DirectoryUpdate():
                if message.full:
                    self.copy.entries.clear()
                for state in message.targets:
                    self.copy.update(state, self.now)
                for target in message.removed:
                    self.copy.entries.pop(target, None)
            case messages.Loads():
                publisher.apply_loads(self.copy, message, self.now)


TestPublisher = Machine.TestCase


def _published_bytes(targets: int, models: int, seconds: int) -> float:
    source = target_directory.Directory()
    publishing = publisher.Publisher(directory=source)
    publishing.subscribe("gateway")
    publishing.set_interest("gateway", [f"model-{n}" for n in range(models)])
    sent, now = 0, 0.0
    for tick in range(seconds * 10):
        now = 10 + tick / 10
        for number in range(tick % 10, targets, 10):
            state = sample.target(number, tick + 1, replicas=8)
            if source.update(state, now):
                publishing.announced(state)
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
    """Guards against a fleet whose load reports exceed 22 KB/s a gateway."""
    assert _published_bytes(targets=2_600, models=400, seconds=5) < 22_000


def test_load_of_other_models_is_not_sent() -> None:
    """Guards against sending every load report to every gateway."""
    assert _published_bytes(targets=100, models=0, seconds=4) < 200
