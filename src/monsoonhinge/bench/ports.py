"""Allocates free TCP ports on loopback."""

import os
import socket

# This range is below the ephemeral ports of the system, so that no outgoing
# connection can take a port before the process that listens on it starts.
_FIRST_PORT = 20_000
_END_PORT = 32_000


class PortAllocator:
    """Allocates each free port at most once."""

    def __init__(self) -> None:
        self._allocated: set[int] = set()

    def allocate(self) -> int:
        """Returns a port that is currently free.

        Raises:
            RuntimeError: No port is free.
        """
        # Concurrent test runs start their searches at different ports.
        start = os.getpid() * 101 + id(self) // 16 + len(self._allocated)
        for step in range(_END_PORT - _FIRST_PORT):
            port = _FIRST_PORT + (start + step) % (_END_PORT - _FIRST_PORT)
            if port not in self._allocated and _is_free(port):
                self._allocated.add(port)
                return port
        raise RuntimeError(
            f"no free port from {_FIRST_PORT} to {_END_PORT - 1}"
        )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
