"""Detection of peers that no longer respond, by the kernel."""

import socket

# The kernel closes a connection when data or keepalive probes stay
# unacknowledged for this time.
_TCP_USER_TIMEOUT_MS = 1_500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def enable(tcp_socket: socket.socket | None) -> None:
    """Makes the kernel close a TCP connection whose peer does not respond."""
    if tcp_socket is None or tcp_socket.family == socket.AF_UNIX:
        return
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
