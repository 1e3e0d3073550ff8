"""Persistent term, vote, log and snapshot of one member.

The data directory contains ``identity``, ``snapshot`` and log files ``log-N``.
Each snapshot starts a new log file, which begins with the retained entries;
older log files are then removed.
"""

import secrets
import struct
import zlib

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import records
from monsoonhinge.consensus import types
from monsoonhinge.protocol import messages

_IDENTITY_FILE = "identity"
_SNAPSHOT_FILE = "snapshot"
_LOG_PREFIX = "log-"
_IDENTITY_BYTES = 8

# Magic bytes, last index, last term, and CRC-32 over both and the payload.
_SNAPSHOT_HEADER = struct.Struct(">4sQQI")
_SNAPSHOT_MAGIC = b"MhS1"
_SNAPSHOT_POSITION = struct.Struct(">QQ")


class Storage:
    """Persistent storage of one member.

    Attributes:
        identity: Random identity, created with the data directory.
        term: Durable term.
        vote: Id of the member voted for in that term, or ""; durable.
        snapshot: Latest snapshot.
        entries: Log entries read when the storage was opened.
    """

    def __init__(self, files: storage_files.Files) -> None:
        """Reads the data directory.

        Raises:
            storage_files.StorageError: The directory is corrupt or cannot be
                read or written.
        """
        self.identity = ""
        self.term = 0
        self.vote = ""
        self.snapshot = types.Snapshot()
        self.entries: list[messages.Entry] = []
        self._files = files
        self._log_number = 0
        self._log_size = 0
        self._write_failed = False
        self._has_partial_write = False
        try:
            self._open()
        except OSError as error:
            raise storage_files.storage_error("open", error) from error

    def write(self, write: types.Write) -> None:
        """Makes a write durable.

        Raises:
            storage_files.DiskFullError: There is no room. Only the same write
                may follow.
            storage_files.StorageError: The write may or may not be durable.
                Later writes fail as well, because the kernel may have dropped
                data after a failed fsync without reporting it in a later one.
        """
        if self._write_failed:
            raise storage_files.StorageError(
                "an earlier write failed", step="write"
            )
        record = records.Record(
            term=write.term, vote=write.vote, entries=write.entries
        )
        try:
            self._discard_partial_write()
            if write.snapshot is not None:
                storage_files.replace(
                    self._files,
                    _SNAPSHOT_FILE,
                    _encode_snapshot(write.snapshot),
                )
                self._start_log(record)
            elif (record.term, record.vote) != (
                self.term,
                self.vote,
            ) or record.entries:
                data = records.encode(record, offset=self._log_size)
                self._files.append(self._log_name, data)
                self._files.sync(self._log_name)
                self._log_size += len(data)
        except OSError as error:
            self._has_partial_write = True
            self._write_failed = error.errno not in storage_files.FULL_ERRORS
            raise storage_files.storage_error("write", error) from error
        self.term, self.vote = write.term, write.vote

    @property
    def _log_name(self) -> str:
        return _log_name(self._log_number)

    def _discard_partial_write(self) -> None:
        """Removes what an unsuccessful write has left behind."""
        if not self._has_partial_write:
            return
        self._remove_temporary_files()
        if self._log_name in self._files.names():
            self._files.truncate(self._log_name, self._log_size)
        self._has_partial_write = False

    def _remove_temporary_files(self) -> None:
        for name in self._files.names():
            if name.endswith(storage_files.TEMPORARY_SUFFIX):
                self._files.remove(name)

    def _open(self) -> None:
        self._remove_temporary_files()
        names = sorted(self._files.names())
        logs = [name for name in names if name.startswith(_LOG_PREFIX)]
        if _IDENTITY_FILE not in names:
            if logs or _SNAPSHOT_FILE in names:
                raise storage_files.StorageError(
                    "the identity file is missing", step="open"
                )
            storage_files.replace(
                self._files,
                _IDENTITY_FILE,
                secrets.token_hex(_IDENTITY_BYTES).encode(),
            )
        self.identity = self._files.read(_IDENTITY_FILE).decode()
        if _SNAPSHOT_FILE in names:
            self.snapshot = _decode_snapshot(self._files.read(_SNAPSHOT_FILE))
        for name in logs:
            self._replay_log_file(name, last=name == logs[-1])
        if logs:
            self._log_number = int(logs[-1].removeprefix(_LOG_PREFIX))
        if not logs or not self._matches_snapshot():
            self.entries = []
            self._start_log(records.Record(self.term, self.vote, []))

    def _replay_log_file(self, name: str, *, last: bool) -> None:
        data = self._files.read(name)
        try:
            log_records, size = records.decode_all(data)
        except records.Corruption as error:
            raise storage_files.StorageError(
                f"{name} is corrupt: {error}", step="read log"
            ) from error
        if size < len(data):
            if not last:
                raise storage_files.StorageError(
                    f"{name} is corrupt: record at offset {size} is damaged, "
                    "but a later log file exists",
                    step="read log",
                )
            self._files.truncate(name, size)
            self._files.sync(name)
        # The first record of a log file contains all entries retained so far.
        self.entries = []
        for record in log_records:
            self.term, self.vote = record.term, record.vote
            for entry in record.entries:
                self._replay_entry(name, entry)
        self._log_size = size

    def _replay_entry(self, name: str, entry: messages.Entry) -> None:
        if self.entries:
            position = entry.index - self.entries[0].index
            if not 0 <= position <= len(self.entries):
                raise storage_files.StorageError(
                    f"{name} is corrupt: entry {entry.index} follows "
                    f"{self.entries[-1].index}",
                    step="read log",
                )
            del self.entries[position:]
        self.entries.append(entry)

    def _matches_snapshot(self) -> bool:
        """Returns whether the log entries are consistent with the snapshot.

        After a crash between writing a snapshot and starting its log file, the
        log may end before the snapshot's last index or conflict with it.
        """
        if not self.entries:
            return True
        first, last = self.entries[0].index, self.snapshot.last_index
        if first > last + 1:
            raise storage_files.StorageError(
                f"entries {last + 1} to {first - 1} are missing",
                step="read log",
            )
        position = last - first
        return position == -1 or (
            position < len(self.entries)
            and self.entries[position].term == self.snapshot.last_term
        )

    def _start_log(self, record: records.Record) -> None:
        old_names = [
            name for name in self._files.names() if name.startswith(_LOG_PREFIX)
        ]
        data = records.encode(record, offset=0)
        storage_files.replace(
            self._files, _log_name(self._log_number + 1), data
        )
        self._log_number += 1
        self._log_size = len(data)
        for name in old_names:
            if name != self._log_name:
                self._files.remove(name)


def _log_name(number: int) -> str:
    return f"{_LOG_PREFIX}{number:010}"


def _snapshot_checksum(last_index: int, last_term: int, payload: bytes) -> int:
    position = _SNAPSHOT_POSITION.pack(last_index, last_term)
    return zlib.crc32(payload, zlib.crc32(position))


def _encode_snapshot(snapshot: types.Snapshot) -> bytes:
    payload = snapshot.payload()
    last_index, last_term = snapshot.last_index, snapshot.last_term
    checksum = _snapshot_checksum(last_index, last_term, payload)
    return (
        _SNAPSHOT_HEADER.pack(_SNAPSHOT_MAGIC, last_index, last_term, checksum)
        + payload
    )


def _decode_snapshot(data: bytes) -> types.Snapshot:
    payload = data[_SNAPSHOT_HEADER.size :]
    if len(data) >= _SNAPSHOT_HEADER.size:
        magic, last_index, last_term, checksum = _SNAPSHOT_HEADER.unpack_from(
            data
        )
        if magic == _SNAPSHOT_MAGIC and checksum == _snapshot_checksum(
            last_index, last_term, payload
        ):
            return types.Snapshot.from_payload(
                last_index=last_index, last_term=last_term, payload=payload
            )
    raise storage_files.StorageError(
        "the snapshot is corrupt", step="read snapshot"
    )
