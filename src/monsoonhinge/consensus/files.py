"""File operations of the storage, on one data directory."""

import fcntl
import os
import pathlib
import typing

from monsoonhinge.runtime import errors


class StorageError(errors.MonsoonhingeError):
    """The data directory cannot be used; the member must stop."""


class Files(typing.Protocol):
    """Operations on the files of one directory.

    Each may raise OSError. Data is durable after ``sync``, and the names are
    durable after ``sync_directory``.
    """

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if it is missing."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing ``new``."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_directory(self) -> None:
        """Makes creations, renames and removals durable."""


class Directory:
    """Files in a real directory that this process has locked."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens and locks a directory, which is created if it is missing.

        Raises:
            StorageError: Another process uses the directory, or it cannot be
                opened.
        """
        self._path = path
        self._open: dict[str, int] = {}
        try:
            path.mkdir(parents=True, exist_ok=True)
            _sync_path(path.parent)
            self._directory = os.open(path, os.O_RDONLY)
            self._lock = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
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
        for descriptor in self._open.values():
            os.close(descriptor)
        self._open.clear()
        os.close(self._lock)
        os.close(self._directory)

    def names(self) -> list[str]:
        """Returns the names of all files."""
        return [name for name in os.listdir(self._path) if name != "lock"]

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if it is missing."""
        descriptor = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file."""
        os.ftruncate(self._descriptor(name), size)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing ``new``."""
        self._close(new)
        os.rename(self._path / old, self._path / new)
        if old in self._open:
            self._open[new] = self._open.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._close(name)
        os.unlink(self._path / name)

    def sync_directory(self) -> None:
        """Makes creations, renames and removals durable."""
        os.fsync(self._directory)

    def _descriptor(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(
                self._path / name,
                os.O_WRONLY | os.O_CREAT | os.O_APPEND,
                0o600,
            )
        return self._open[name]

    def _close(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))


def _sync_path(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
