"""Tests of the feed that sends the configuration to its watchers."""

import asyncio
from collections.abc import Callable
import random
import typing

from hypothesis import given
from hypothesis import strategies as st
import pytest

from monsoonhinge.config import delta
from monsoonhinge.config import schema
from monsoonhinge.control import config_feed
from monsoonhinge.control import config_history
from monsoonhinge.control import mirror
from monsoonhinge.control import state_machine
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import connection
from monsoonhinge.protocol import frames
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# What one message may add to the bytes that a watcher has not read yet.
_MAX_MESSAGE_BYTES = 256 * 1024


def _teams(count: int, *, burst: int = 1) -> dict[str, bytes]:
    items = [
        schema.Team(name=f"t{n}", tokens_per_s=1.0, burst_tokens=burst)
        for n in range(count)
    ]
    return {f"team/{item.name}": schema.canonical(item) for item in items}


class _Link:
    """A watcher that reads the messages sent to it only when it is told to."""

    def __init__(self) -> None:
        self.peer = "10.0.0.1:80"
        self.peer_hello = messages.Hello(node="gateway")
        self.sent: list[messages.Message] = []
        self.largest_bytes = 0
        self.mirror = mirror.Mirror()
        self.mirrored = 0
        self._read = asyncio.Event()

    def notify(self, message: messages.Message) -> None:
        size = len(
            codec.encode(codec.Envelope(id=0, reply=False, body=message))
        )
        frames.check_size(size, step="notify")
        self.largest_bytes = max(self.largest_bytes, size)
        self.sent.append(message)

    async def drain(self) -> None:
        await self._read.wait()

    def read_everything(self) -> None:
        self._read.set()


def _watch(
    feed: config_feed.ConfigFeed,
    link: _Link,
    version: int,
    *,
    reads_packed_parts: bool = True,
) -> connection.Connection:
    watching = typing.cast(connection.Connection, link)
    subscription = messages.Watch(
        version=version, reads_packed_parts=reads_packed_parts
    )
    feed.watch(watching, subscription)
    return watching


def _change(
    state: state_machine.StateMachine,
    feed: config_feed.ConfigFeed,
    objects: dict[str, bytes],
) -> None:
    old_version, old_objects = state.version, state.objects
    state.configuration.install_version(objects, b"", "test")
    feed.push_change(old_version, old_objects)


def _snapshots(link: _Link) -> int:
    """Returns the number of snapshots that were begun."""
    return sum(
        isinstance(message, messages.ConfigSnapshot) and message.part == 0
        for message in link.sent
    )


def _sent_bytes(link: _Link) -> int:
    return sum(
        len(codec.encode(codec.Envelope(id=0, reply=False, body=message)))
        for message in link.sent
    )


class _ChangingLink(_Link):
    """A slow watcher: the configuration changes while it reads a message."""

    def __init__(self, change: Callable[[], None]) -> None:
        super().__init__()
        self._change = change

    async def drain(self) -> None:
        self._change()
        await asyncio.sleep(0)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while True:
            if condition():
                return
            await asyncio.sleep(0)


def _mirrored(link: _Link) -> mirror.Mirror:
    """Returns what a subscriber has that received all messages so far."""
    for message in link.sent[link.mirrored :]:
        assert isinstance(
            message, messages.ConfigSnapshot | messages.ConfigDelta
        )
        link.mirror.receive(message)
    link.mirrored = len(link.sent)
    return link.mirror


def test_large_change_is_sent_in_bounded_messages() -> None:
    """Guards against a change that exceeds a message and cannot be sent."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        link = _Link()
        link.read_everything()
        _watch(feed, link, 0)
        _change(state, feed, _teams(20_000))
        _change(state, feed, _teams(20_000, burst=2))
        await _until(lambda: _mirrored(link).view.version == 2)
        assert len(_mirrored(link).view.objects) == 20_000
        assert link.largest_bytes <= _MAX_MESSAGE_BYTES

    asyncio.run(run())


def test_slow_watcher_holds_no_memory_of_the_member() -> None:
    """Guards against snapshots that pile up for watchers with slow links."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        link = _Link()
        _watch(feed, link, 0)
        for version in range(1, 5):
            _change(state, feed, _teams(5_000, burst=version))
            await asyncio.sleep(0)
        assert len(link.sent) == 1
        link.read_everything()
        await _until(lambda: _mirrored(link).view.version == 4)

    asyncio.run(run())


def test_small_change_is_sent_as_a_delta() -> None:
    """Guards against a whole configuration that is sent for each change."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        state.configuration.install_version(_teams(100), b"", "test")
        link = _Link()
        _watch(feed, link, 1)
        _change(state, feed, _teams(101))
        (message,) = link.sent
        assert isinstance(message, messages.ConfigDelta)
        assert len(message.upserts) == 1

    asyncio.run(run())


@pytest.mark.parametrize("reads_packed_parts", [False, True])
def test_object_beyond_a_message_is_reported(
    reads_packed_parts: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an object of an earlier build that ends the member."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        link = _Link()
        watching = _watch(feed, link, 0, reads_packed_parts=reads_packed_parts)
        # Bytes that cannot be compressed.
        data = random.Random(1).randbytes(frames.MAX_FRAME_BYTES)
        _change(state, feed, {"team/t": data})
        await _until(lambda: feed.watchers[watching].task is None)
        assert "cannot be sent to gateway" in caplog.text
        _change(state, feed, _teams(1))
        await _until(lambda: len(link.sent) == 1)

    asyncio.run(run())


def test_watcher_that_left_gets_nothing() -> None:
    """Guards against a task for each watcher that has ever left."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        _change(state, feed, _teams(5_000))
        link = _Link()
        watching = _watch(feed, link, 0)
        await asyncio.sleep(0)
        task = feed.watchers[watching].task
        assert task is not None
        feed.unwatch(watching)
        link.read_everything()
        await asyncio.wait([task])
        assert task.cancelled()
        assert len(link.sent) == 1

    asyncio.run(run())


def test_lost_connection_ends_the_snapshot() -> None:
    """Guards against a failed send that is taken for a failed command."""

    class _Lost(_Link):
        def notify(self, message: messages.Message) -> None:
            raise errors.ConnectionLost("lost", step="notify")

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        watching = _watch(feed, _Lost(), 0)
        _change(state, feed, _teams(1))
        await _until(lambda: feed.watchers[watching].task is None)

    asyncio.run(run())


@pytest.mark.parametrize("reads_packed_parts", [False, True])
def test_changes_during_a_snapshot_cause_no_other_snapshot(
    reads_packed_parts: bool,
) -> None:
    """Guards against a watcher that stays behind while changes go on."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        objects = _teams(5_000)
        state.configuration.install_version(objects, b"", "test")
        last_version = 60

        def change() -> None:
            if state.version < last_version:
                changed = _teams(1, burst=state.version + 1)
                _change(state, feed, state.objects | changed)

        link = _ChangingLink(change)
        _watch(feed, link, 0, reads_packed_parts=reads_packed_parts)
        await _until(lambda: _mirrored(link).view.version == state.version)
        while state.version < last_version:
            change()
        assert _mirrored(link).view.version == last_version
        assert _snapshots(link) == 1

    asyncio.run(run())


def test_growth_of_a_large_configuration_is_sent_once() -> None:
    """Guards against a whole configuration that is sent for a large change."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        state.configuration.install_version(_teams(20_000), b"", "test")
        link = _Link()
        link.read_everything()
        _watch(feed, link, 0)
        await _until(lambda: _mirrored(link).view.version == 1)
        snapshot_bytes = _sent_bytes(link)
        _change(state, feed, _teams(24_000))
        await _until(lambda: _mirrored(link).view.version == 2)
        assert len(_mirrored(link).view.objects) == 24_000
        assert _snapshots(link) == 1
        assert link.largest_bytes <= _MAX_MESSAGE_BYTES
        # A fifth more objects, compressed alike.
        assert _sent_bytes(link) < 1.5 * snapshot_bytes

    asyncio.run(run())


def test_watcher_that_returns_is_sent_what_it_lacks() -> None:
    """Guards against a whole configuration after each lost connection."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        state.configuration.install_version(_teams(5_000), b"", "test")
        link = _Link()
        link.read_everything()
        _watch(feed, link, 0)
        await _until(lambda: _mirrored(link).view.version == 1)
        feed.unwatch(typing.cast(connection.Connection, link))
        for burst in (2, 3, 4):
            _change(state, feed, state.objects | _teams(1, burst=burst))
        _watch(feed, link, 1)
        assert _mirrored(link).view.version == 4
        assert _snapshots(link) == 1

    asyncio.run(run())


def test_watcher_that_lacks_too_much_is_sent_a_snapshot() -> None:
    """Guards against a history that grows without bound."""
    history = config_history.ConfigHistory(max_bytes=1_000)
    objects: dict[str, bytes] = {}
    for version in range(1, 100):
        changed = objects | _teams(1, burst=version)
        history.append(
            version - 1, version, delta.Delta.between(objects, changed)
        )
        objects = changed
    assert history.since(98) is not None
    assert history.since(1) is None


def test_history_does_not_span_a_replaced_state() -> None:
    """Guards against a delta that omits what a restored state changed."""
    history = config_history.ConfigHistory()
    change = delta.Delta(upserts=_teams(1), deletes=[])
    history.append(1, 2, change)
    history.append(7, 8, change)
    assert history.since(1) is None
    assert history.since(7) == change


def test_watcher_of_an_older_build_gets_whole_messages() -> None:
    """Guards against a mixed roll-out in which gateways read no update."""

    async def run() -> None:
        state = state_machine.StateMachine()
        feed = config_feed.ConfigFeed(state)
        link = _Link()
        link.read_everything()
        _watch(feed, link, 0, reads_packed_parts=False)
        _change(state, feed, _teams(5_000))
        await _until(lambda: _mirrored(link).view.version == 1)
        _change(state, feed, _teams(9_000))
        await _until(lambda: _mirrored(link).view.version == 2)
        for message in link.sent:
            assert isinstance(
                message, messages.ConfigSnapshot | messages.ConfigDelta
            )
            assert not message.packed
            if isinstance(message, messages.ConfigDelta):
                assert not message.parts

    asyncio.run(run())


_OBJECTS = st.dictionaries(
    st.sampled_from(["a/1", "a/2", "a/3", "a/4"]), st.binary(max_size=2)
)


@given(_OBJECTS, _OBJECTS, _OBJECTS)
def test_joined_changes_have_the_effect_of_both(
    first: dict[str, bytes], second: dict[str, bytes], third: dict[str, bytes]
) -> None:
    """Guards against a joined change that loses or restores an object."""
    change = delta.Delta.between(first, second)
    joined = change.followed_by(delta.Delta.between(second, third))
    assert joined.apply(first) == third
