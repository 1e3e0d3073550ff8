"""Tests of the storage on disks that lose, tear or reject writes."""

import pathlib
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import storage
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages
from tests.consensus import cluster

_LOG_FILE = "log-0000000001"


def _write_of(
    entries: list[messages.Entry],
    *,
    term: int = 1,
    snapshot: types.Snapshot | None = None,
) -> types.Write:
    return types.Write(term, "v/1", entries, snapshot, [], 0, 0)


def _disk_with_entries(count: int) -> tuple[cluster.FakeDisk, int]:
    """Returns a disk with one entry per record, and the last one's offset."""
    disk = cluster.FakeDisk()
    store = storage.Storage(disk)
    size = 0
    for index in range(1, count + 1):
        size = len(disk.read(_LOG_FILE))
        store.write(_write_of([cluster.entry(index)]))
    return disk, size


@hypothesis.given(st.integers(0, 2**32), st.integers(0, 12))
def test_power_failure_keeps_what_was_written(
    seed: int, operations_until_failure: int
) -> None:
    """Guards against lost or partial writes after a power failure."""
    rng = random.Random(seed)
    disk = cluster.FakeDisk()
    store = storage.Storage(disk)
    index = 0
    for _ in range(rng.randint(1, 8)):
        entries = [cluster.entry(index + n + 1) for n in range(3)]
        index += 3
        snapshot = None
        if rng.random() < 0.3:
            snapshot = types.Snapshot(last_index=index, last_term=1)
        store.write(_write_of(entries, snapshot=snapshot))
    disk.operations_until_failure = operations_until_failure
    attempted = _write_of(
        [cluster.entry(index + 1, term=2), cluster.entry(index + 2, term=2)],
        term=2,
    )
    try:
        store.write(attempted)
        expected = {index + 2}
    except storage_files.StorageError:
        expected = {index, index + 2}
        with pytest.raises(storage_files.StorageError):
            store.write(attempted)
    disk.power_off(rng)
    reopened = storage.Storage(disk)
    assert reopened.identity == store.identity
    assert reopened.entries[-1].index in expected
    assert reopened.term == (2 if reopened.entries[-1].index > index else 1)


@hypothesis.given(
    st.integers(0, 2**32), st.integers(0, 8), st.booleans(), st.booleans()
)
def test_write_on_a_full_disk_is_made_durable_once_there_is_room(
    seed: int, operations_until_full: int, snapshots: bool, loses_power: bool
) -> None:
    """Guards against a member that ends, or loses entries, on a full disk."""
    rng = random.Random(seed)
    disk = cluster.FakeDisk()
    store = storage.Storage(disk)
    store.write(_write_of([cluster.entry(1), cluster.entry(2)]))
    snapshot = types.Snapshot(last_index=2, last_term=1) if snapshots else None
    attempted = _write_of([cluster.entry(3, term=2)], term=2, snapshot=snapshot)
    disk.operations_until_full = operations_until_full
    is_full = False
    for _ in range(3):
        try:
            store.write(attempted)
        except storage_files.DiskFullError:
            is_full = True
            disk.operations_until_full = rng.randint(0, 2)
    if is_full and loses_power:
        disk.operations_until_full = -1
        disk.power_off(rng)
        reopened = storage.Storage(disk)
        assert reopened.term in (1, 2)
        assert reopened.entries[-1].index >= 2
        return
    disk.operations_until_full = -1
    if is_full:
        store.write(attempted)
    store.write(_write_of([cluster.entry(4, term=2)], term=2))
    disk.power_off(rng)
    reopened = storage.Storage(disk)
    assert reopened.term == 2
    assert [entry.index for entry in reopened.entries][-2:] == [3, 4]
    assert reopened.snapshot.last_index == (2 if snapshots else 0)


def test_torn_tail_is_truncated() -> None:
    """Guards against a member that cannot start after a torn write."""
    disk, size = _disk_with_entries(5)
    disk.truncate(_LOG_FILE, len(disk.read(_LOG_FILE)) - 3)
    assert [e.index for e in storage.Storage(disk).entries] == [1, 2, 3, 4]
    assert len(disk.read(_LOG_FILE)) == size


def test_corruption_in_the_middle_is_an_error() -> None:
    """Guards against silently dropping acknowledged entries."""
    disk, size = _disk_with_entries(5)
    disk.corrupt(_LOG_FILE, size - 1)
    with pytest.raises(storage_files.StorageError, match="corrupt"):
        storage.Storage(disk)


def test_corrupt_snapshot_is_an_error() -> None:
    """Guards against starting from a damaged snapshot."""
    disk, _ = _disk_with_entries(2)
    snapshot = types.Snapshot(last_index=2, last_term=1, data=b"state")
    storage.Storage(disk).write(_write_of([], snapshot=snapshot))
    assert storage.Storage(disk).snapshot == snapshot
    disk.corrupt("snapshot", len(disk.read("snapshot")) - 1)
    with pytest.raises(storage_files.StorageError, match="snapshot"):
        storage.Storage(disk)


def test_replaced_entries_stay_replaced() -> None:
    """Guards against replaced entries that reappear after a restart."""
    disk, _ = _disk_with_entries(5)
    replacement = [cluster.entry(3, term=2)]
    storage.Storage(disk).write(_write_of(replacement, term=2))
    terms = [entry.term for entry in storage.Storage(disk).entries]
    assert terms == [1, 1, 2]


def test_lost_identity_is_an_error() -> None:
    """Guards against a second vote by a member that lost part of its data."""
    disk, _ = _disk_with_entries(1)
    disk.remove("identity")
    with pytest.raises(storage_files.StorageError, match="identity"):
        storage.Storage(disk)


def test_directory_is_locked(tmp_path: pathlib.Path) -> None:
    """Guards against two processes that write to the same log."""
    first = storage_files.Directory(tmp_path / "data")
    with pytest.raises(storage_files.StorageError, match="another process"):
        storage_files.Directory(tmp_path / "data")
    first.close()
    reopened = storage.Storage(storage_files.Directory(tmp_path / "data"))
    reopened.write(_write_of([cluster.entry(1)]))
