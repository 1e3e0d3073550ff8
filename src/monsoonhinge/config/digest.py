"""Digest of a set of configuration objects."""

from collections.abc import Iterable
import hashlib


def digest(documents: Iterable[bytes]) -> bytes:
    """Returns a SHA-256 of canonical objects that ignores their order."""
    sha256 = hashlib.sha256()
    for data in sorted(documents):
        sha256.update(len(data).to_bytes(8, "big"))
        sha256.update(data)
    return sha256.digest()
