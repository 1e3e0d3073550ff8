"""Digest of a set of objects."""

from collections.abc import Iterable
import hashlib


def digest(documents: Iterable[bytes]) -> bytes:
    """Returns the SHA-256 over canonical objects, in any order."""
    total = hashlib.sha256()
    for data in sorted(documents):
        total.update(len(data).to_bytes(8, "big"))
        total.update(data)
    return total.digest()
