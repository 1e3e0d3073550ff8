"""File operations of the storage on one data directory."""

import errno
import fcntl
import os
import pathlib
import typing

from monsoonhinge.runtime import errors

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})

# Ends the names of files that are not complete yet.
TEMPORARY_SUFFIX = ".tmp"


class StorageError(errors.MonsoonhingeError):
    """The data directory cannot be used; the member must stop."""


class DiskFullError(StorageError, errors.TemporaryError):
    """The disk takes no more bytes; the same write may succeed later."""


class Files(typing.Protocol):
    """Operations on the files of one directory.

    Each operation may raise OSError. File contents are durable after ``sync``;
    creations, renames and removals are durable after ``sync_directory``.
    """

    def names(self) -> list[str]:
        """Returns the names of all files in the directory."""

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates it if it does not exist."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to ``size`` bytes."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file named ``new``."""

    def remove(self, name: str) -> None:
        """Removes a file from the directory."""

    def sync_directory(self) -> None:
        """Makes file creations, renames and removals durable."""


def storage_error(step: str, error: OSError) -> StorageError:
    """Returns the error to raise for a failed file operation."""
    kind = DiskFullError if error.errno in FULL_ERRORS else StorageError
    return kind(f"data directory: {error.strerror or error}", step=step)


def replace(files: Files, name: str, data: bytes) -> None:
    """Replaces or creates a file; a crash leaves the old or the new content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in files.names():
        files.remove(temporary)
    files.append(temporary, data)
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_directory()


class Directory:
    """Files of a directory on disk, locked by this process."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens and locks a directory; creates it if it does not exist.

        Raises:
            StorageError: Another process uses the directory, or it cannot be
                opened.
        """
        self._path = path
        self._descriptors: dict[str, int] = {}
        try:
            path.mkdir(parents=True, exist_ok=True)
            _sync_directory_at(path.parent)
            self._directory_descriptor = os.open(path, os.O_RDONLY)
            self._lock_descriptor = os.open(
                path / "lock", os.O_RDWR | os.O_CREAT, 0o600
            )
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(
                f"{path}: another process uses this data directory",
                step="lock",
            ) from error
        except OSError as error:
            raise StorageError(
                f"{path}: {error.strerror}", step="open data directory"
            ) from error

    def close(self) -> None:
        """Closes all files and releases the lock."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
        os.close(self._lock_descriptor)
        os.close(self._directory_descriptor)

    def names(self) -> list[str]:
        """Returns the names of all files in the directory."""
        return [name for name in os.listdir(self._path) if name != "lock"]

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates it if it does not exist."""
        descriptor = self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to ``size`` bytes."""
        os.ftruncate(self._open(name), size)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file named ``new``."""
        self._close(new)
        os.rename(self._path / old, self._path / new)
        if old in self._descriptors:
            self._descriptors[new] = self._descriptors.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file from the directory."""
        self._close(name)
        os.unlink(self._path / name)

    def sync_directory(self) -> None:
        """Makes file creations, renames and removals durable."""
        os.fsync(self._directory_descriptor)

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(
                self._path / name,
                os.O_WRONLY | os.O_CREAT | os.O_APPEND,
                0o600,
            )
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        if name in self._descriptors:
            os.close(self._descriptors.pop(name))


def _sync_directory_at(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
