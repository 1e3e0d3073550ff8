"""Relays that disturb links."""

from collections.abc import Iterator
import socket
import threading

import pytest

from monsoonhinge.bench import relay


@pytest.fixture
def link() -> Iterator[relay.Relay]:
    """A relay to a server that sends back what it gets."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                peer, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=[peer], daemon=True).start()

    def answer(peer: socket.socket) -> None:
        try:
            while data := peer.recv(100):
                peer.sendall(data)
        except OSError:
            pass

    threading.Thread(target=serve, daemon=True).start()
    loop = relay.RelayThread()
    yield loop.add_relay(host="127.0.0.1", port=server.getsockname()[1])
    loop.stop()
    server.close()


def connect(link: relay.Relay) -> socket.socket:
    """Connects through the relay."""
    client = socket.create_connection((link.host, link.port), timeout=5)
    client.sendall(b"one")
    assert client.recv(10) == b"one"
    return client


def test_frozen_link_delivers_later(link: relay.Relay) -> None:
    """Guards against a short partition that breaks connections."""
    client = connect(link)
    link.set_mode("frozen")
    client.sendall(b"two")
    client.settimeout(0.2)
    with pytest.raises(TimeoutError):
        client.recv(10)
    link.set_mode("pass")
    client.settimeout(5)
    assert client.recv(10) == b"two"


def test_cut_link_loses_bytes_and_resets_later(link: relay.Relay) -> None:
    """Guards against a partition that delivers bytes out of place."""
    client = connect(link)
    link.set_mode("cut", "backward")
    client.sendall(b"two")
    client.settimeout(0.2)
    with pytest.raises(TimeoutError):
        client.recv(10)
    link.set_mode("pass")
    client.settimeout(5)
    with pytest.raises(ConnectionResetError):
        client.recv(10)
    assert connect(link)
