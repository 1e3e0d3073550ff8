"""Length-prefixed, authenticated frames.

A frame is a 4-byte big-endian length and a payload of that many bytes: a capnp
message and, once the session key is known, a 16-byte authentication tag. The
tag is a truncated HMAC-SHA256 over direction, sequence number and message, so
that forged, replayed, reordered and reflected frames are rejected.
"""

import hashlib
import hmac
import struct

from monsoonhinge.runtime import errors

MAX_FRAME_BYTES = 8 * 1024 * 1024
TAG_BYTES = 16
NONCE_BYTES = 16

_LENGTH = struct.Struct(">I")
_SEQUENCE = struct.Struct(">Q")


class FrameDecoder:
    """Extracts frames from a byte stream.

    Attributes:
        peer: Address of the other side, used in errors.
    """

    def __init__(self, *, peer: str) -> None:
        self.peer = peer
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the payloads of complete frames.

        Raises:
            errors.ProtocolError: The length of a frame exceeds
                MAX_FRAME_BYTES.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds the limit of "
                    f"{MAX_FRAME_BYTES} bytes",
                    step="read frame",
                    peer=self.peer,
                )
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            frames.append(bytes(buffer[start + _LENGTH.size : end]))
            start = end
        if start:
            del buffer[:start]
        return frames


def encode_frame(payload: bytes) -> bytes:
    """Prefixes a payload with its length.

    Raises:
        errors.MessageTooLarge: The payload exceeds MAX_FRAME_BYTES.
    """
    check_size(len(payload), step="write frame")
    return _LENGTH.pack(len(payload)) + payload


def check_size(size_bytes: int, *, step: str, peer: str = "") -> None:
    """Checks the size of the payload of a frame to be sent.

    Raises:
        errors.MessageTooLarge: It exceeds MAX_FRAME_BYTES.
    """
    if size_bytes > MAX_FRAME_BYTES:
        raise errors.MessageTooLarge(
            f"frame of {size_bytes} bytes exceeds the limit of "
            f"{MAX_FRAME_BYTES} bytes",
            step=step,
            peer=peer,
        )


class FrameAuthenticator:
    """Signs or verifies the frames of one direction of a connection.

    Both sides count the frames; the count is part of each tag.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._base = hmac.new(key, direction, hashlib.sha256)
        self._sequence = 0

    def sign(self, payload: bytes) -> bytes:
        """Returns the payload of the next frame with its tag appended."""
        return payload + self._next_tag(payload)

    def verify(self, signed: bytes, *, peer: str) -> bytes:
        """Verifies the tag of the next frame and returns its payload.

        Raises:
            errors.ProtocolError: The tag does not match.
        """
        payload, tag = signed[:-TAG_BYTES], signed[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(payload)):
            raise errors.ProtocolError(
                "authentication tag does not match; is the cluster secret "
                "the same on both sides?",
                step="authenticate",
                peer=peer,
            )
        return payload

    def _next_tag(self, payload: bytes) -> bytes:
        mac = self._base.copy()
        mac.update(_SEQUENCE.pack(self._sequence))
        mac.update(payload)
        self._sequence += 1
        return mac.digest()[:TAG_BYTES]


def derive_session_key(
    *, secret: bytes, client_hello: bytes, server_hello: bytes
) -> bytes:
    """Derives the session key from the cluster secret and both hellos.

    Each hello contains a random nonce, so that every connection has its own
    key.
    """
    transcript = (
        hashlib.sha256(client_hello).digest()
        + hashlib.sha256(server_hello).digest()
    )
    return hmac.new(secret, transcript, hashlib.sha256).digest()
