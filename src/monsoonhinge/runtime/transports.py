"""Ends of connections to callers."""

import asyncio
import socket
import struct

# Lingers for no time, so that the connection is reset when it is closed.
_RESET = struct.pack("ii", 1, 0)


def break_off(transport: asyncio.Transport, *, ends_with_close: bool) -> None:
    """Closes a connection on which a response is incomplete.

    Args:
        transport: Transport of the connection.
        ends_with_close: Whether the response has neither a length nor chunks,
            so that its caller takes an orderly close for its end.
    """
    connection = transport.get_extra_info("socket")
    if ends_with_close and connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()
