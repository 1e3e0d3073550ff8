"""Recent changes of the configuration, for subscribers that lag behind."""

import collections
import dataclasses
import functools

from monsoonhinge.config import delta

# Bounds the memory of the changes. A subscriber that lacks more of them than
# this is sent the whole configuration.
MAX_HISTORY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Change from one version to the next.

    Attributes:
        base: Version before the change.
        version: Version after the change.
        delta: The changed objects.
    """

    base: int
    version: int
    delta: delta.Delta


class ConfigHistory:
    """Consecutive changes up to the version in effect, oldest first."""

    def __init__(self, *, max_bytes: int = MAX_HISTORY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._changes: collections.deque[_Change] = collections.deque()

    def append(self, base: int, version: int, change: delta.Delta) -> None:
        """Adds the newest change.

        Args:
            base: Version before the change. If it is not the version after the
                change before, earlier changes are dropped.
            version: Version after the change.
            change: The changed objects.
        """
        if self._changes and self._changes[-1].version != base:
            self.clear()
        self._changes.append(_Change(base, version, change))
        self._size_bytes += change.size_bytes
        while self._size_bytes > self._max_bytes:
            self._size_bytes -= self._changes.popleft().delta.size_bytes

    def clear(self) -> None:
        """Drops all changes."""
        self._changes.clear()
        self._size_bytes = 0

    def since(self, version: int) -> delta.Delta | None:
        """Returns the change from a version to the newest one.

        Returns:
            One change that has the effect of all later ones, or None if they
            are not all known.
        """
        lacking: list[delta.Delta] = []
        for change in reversed(self._changes):
            lacking.append(change.delta)
            if change.base == version:
                return functools.reduce(
                    delta.Delta.followed_by, reversed(lacking)
                )
        return None
