"""Tests of the internal protocol's codec and frames."""

import contextlib
import typing

from hypothesis import given
from hypothesis import strategies as st
import pytest

from monsoonhinge.protocol import codec
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import frames
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_TAG_KEY = b"k" * 32


@pytest.mark.parametrize("cls", typing.get_args(messages.Message))
def test_every_message_survives_encoding(cls: type) -> None:
    """Guards against a field that is missing in the schema."""
    envelope = codec.Envelope(id=7, reply=True, body=cls())
    assert codec.decode(codec.encode(envelope)) == envelope


@pytest.mark.parametrize("cls", typing.get_args(commands.Command))
def test_every_command_survives_encoding(cls: type) -> None:
    """Guards against a command that members cannot decode from the log."""
    command = cls()
    assert codec.decode_command(codec.encode_command(command)) == command


@given(st.binary(max_size=400))
def test_malformed_bytes_raise_a_protocol_error(data: bytes) -> None:
    """Guards against malformed bytes that crash the process."""
    with contextlib.suppress(errors.ProtocolError):
        codec.decode(data)


@given(st.lists(st.binary(max_size=60), max_size=8), st.data())
def test_frames_are_decoded_from_any_chunks(
    payloads: list[bytes], data: st.DataObject
) -> None:
    """Guards against frames lost when TCP delivers them in several chunks."""
    stream = b"".join(frames.encode_frame(payload) for payload in payloads)
    decoder = frames.FrameDecoder(peer="")
    received = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        received += decoder.feed(stream[:size])
        stream = stream[size:]
    assert received == payloads


def test_oversized_frame_is_rejected() -> None:
    """Guards against a peer that makes the process buffer unlimited data."""
    with pytest.raises(errors.ProtocolError):
        frames.FrameDecoder(peer="p").feed(b"\xff\xff\xff\xff")


def test_reordered_frame_is_rejected() -> None:
    """Guards against a reordered frame that passes authentication."""
    sender = frames.FrameAuthenticator(key=_TAG_KEY, direction=b"client")
    receiver = frames.FrameAuthenticator(key=_TAG_KEY, direction=b"client")
    sender.sign(b"first")
    with pytest.raises(errors.ProtocolError):
        receiver.verify(sender.sign(b"second"), peer="p")
