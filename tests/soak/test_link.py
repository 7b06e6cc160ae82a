"""What a harmed link lets through."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from experiments.soak.link import Harm, Link


@pytest.fixture
def link():
    """A link to a server that sends back what it gets."""
    server = socket.create_server(("127.0.0.1", 0))

    def echo(connection):
        with contextlib.suppress(ConnectionResetError), connection:
            while data := connection.recv(100):
                connection.sendall(data)

    def accept():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    link = Link(f"127.0.0.1:{server.getsockname()[1]}")
    yield link
    link.close()
    server.close()


def connect(link):
    host, _, port = link.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def test_a_sound_link_passes_bytes_and_ends_on(link):
    with connect(link) as near:
        near.sendall(b"one")
        assert near.recv(100) == b"one"
        near.shutdown(socket.SHUT_WR)
        assert near.recv(100) == b""


@pytest.mark.parametrize("harm", [Harm.SILENCE, Harm.ONE_WAY])
def test_what_a_cut_link_held_comes_once_it_is_sound(link, harm):
    with connect(link) as near:
        near.sendall(b"one")
        assert near.recv(100) == b"one"
        link.harm = harm
        near.sendall(b"two")
        near.settimeout(0.2)
        with pytest.raises(TimeoutError):
            near.recv(100)
        near.settimeout(10)
        link.harm = Harm.NONE
        assert near.recv(100) == b"two"


def test_connections_are_reset_and_refused_as_resets(link):
    with connect(link) as near:
        near.sendall(b"one")
        assert near.recv(100) == b"one"
        link.reset_all()
        with pytest.raises(ConnectionResetError):
            near.recv(100)
    link.harm = Harm.REFUSE
    with pytest.raises(ConnectionResetError), connect(link) as near:
        near.recv(100)


def test_a_reset_is_never_seen_as_an_orderly_end(link):
    with connect(link) as near:
        near.sendall(b"one")
        assert near.recv(100) == b"one"
        far_end = next(end for end in link.ends if end.getpeername() == link.to)
        link.forget(far_end)
        with pytest.raises(ConnectionResetError):
            near.recv(100)
