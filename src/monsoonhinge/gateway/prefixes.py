"""Prompt prefixes and which targets hold them in their cache.

A prompt is cut into blocks of ``BLOCK_BYTES``. Prefix k is named by the first
63 bits of BLAKE2b over the model name and the first k blocks; targets use the
same names in their cache events.
"""

from collections.abc import Iterable, Sequence
import hashlib

from monsoonhinge.protocol import messages

BLOCK_BYTES = 512
_MAX_BLOCKS = 32
_MAX_PREFIXES = 65_536


def prefixes(model: str, prompt: bytes) -> list[int]:
    """Returns the names of the prompt's prefixes, the shortest first."""
    names = []
    state = hashlib.blake2b(model.encode() + b"\0", digest_size=8)
    end = min(len(prompt) // BLOCK_BYTES, _MAX_BLOCKS) * BLOCK_BYTES
    for start in range(0, end, BLOCK_BYTES):
        state.update(prompt[start : start + BLOCK_BYTES])
        names.append(int.from_bytes(state.copy().digest(), "big") >> 1)
    return names


class Cache:
    """Prefixes that one target is known to hold."""

    def __init__(self) -> None:
        self._batch: int | None = None
        self._known: dict[int, None] = {}

    def update(self, batch: int, events: Iterable[messages.CacheEvent]) -> None:
        """Applies a batch of events; forgets all after a gap."""
        if batch == self._batch:
            return
        if self._batch is None or batch != self._batch + 1:
            self._known.clear()
        self._batch = batch
        for event in events:
            if event.stored:
                self._known[event.prefix] = None
            else:
                self._known.pop(event.prefix, None)
        while len(self._known) > _MAX_PREFIXES:
            del self._known[next(iter(self._known))]

    def matched(self, names: Sequence[int]) -> float:
        """Returns which part of a prompt's blocks is cached, from 0 to 1."""
        for length in range(len(names), 0, -1):
            if names[length - 1] in self._known:
                return length / len(names)
        return 0.0
