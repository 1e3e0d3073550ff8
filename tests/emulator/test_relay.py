"""Tests of the TCP relay that simulates network partitions."""

from collections.abc import Iterator
import socket
import threading

import pytest

from monsoonhinge.bench import relay


@pytest.fixture
def link() -> Iterator[relay.Relay]:
    """A relay to a server that echoes the data it receives."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(
                target=echo, args=[connection], daemon=True
            ).start()

    def echo(connection: socket.socket) -> None:
        try:
            while data := connection.recv(100):
                connection.sendall(data)
        except OSError:
            pass

    threading.Thread(target=serve, daemon=True).start()
    loop = relay.RelayThread()
    yield loop.add_relay(host="127.0.0.1", port=server.getsockname()[1])
    loop.stop()
    server.close()


def connect(link: relay.Relay) -> socket.socket:
    """Connects through the relay and checks that data passes."""
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
    """Guards against a connection that goes on after lost bytes."""
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
