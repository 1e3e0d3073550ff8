"""Free ports on loopback."""

import os
import socket

# Below the range from which the system takes ports for outgoing connections,
# so that no connection can take a port before its process starts.
_FIRST = 20_000
_LAST = 32_000


class PortAllocator:
    """Hands out each free port once."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def allocate(self) -> int:
        """Returns a port that is free now.

        Raises:
            RuntimeError: No port is free.
        """
        # Other test runs start their search elsewhere.
        start = os.getpid() * 101 + id(self) // 16 + len(self._taken)
        for step in range(_LAST - _FIRST):
            port = _FIRST + (start + step) % (_LAST - _FIRST)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return port
        raise RuntimeError("no port is free")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
