"""Compression of a set of configuration objects."""

from collections.abc import Sequence
import zlib

# Limits the memory that decompressing a small message can allocate.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024


def pack(documents: Sequence[bytes]) -> bytes:
    """Compresses canonical objects, joined by line breaks.

    Canonical JSON contains no line breaks itself.
    """
    return zlib.compress(b"\n".join(documents))


def unpack(data: bytes) -> list[bytes]:
    """Decompresses the canonical objects.

    Raises:
        ValueError: The data is malformed or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed set of objects: {error}") from error
    if not decompressor.eof:
        raise ValueError("the set of objects is truncated or too large")
    return text.split(b"\n") if text else []
