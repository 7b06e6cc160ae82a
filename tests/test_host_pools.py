from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from cedarchute.address import Address
from cedarchute.host_pools import HostPools

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilencedServer:
    """Answers on its connections until they are silenced; newer ones work."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.silenced = 0
        self.opened = 0
        self.together = threading.Barrier(3)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.opened += 1
            number = self.opened
            threading.Thread(
                target=self.answer, args=(sock, number), daemon=True
            ).start()

    def answer(self, sock, number):
        with sock:
            while data := sock.recv(65536):
                if b"/together" in data:
                    self.together.wait(10)
                if number > self.silenced:
                    sock.sendall(ANSWER)


@pytest.fixture
def server():
    server = SilencedServer()
    yield server
    server.listener.close()


def ask(pools, server, path="/x", timeout=10.0):
    return pools.request("GET", server.address, path, timeout=timeout).status


def ask_together(pools, server):
    """Send three requests that are all under way at once."""
    pools.find_pool(server.address)
    with ThreadPoolExecutor(3) as threads:
        sent = [threads.submit(ask, pools, server, "/together", 3.0) for _ in range(3)]
        return [f.result() if not f.exception() else 0 for f in sent]


def test_connections_are_kept(server):
    pools = HostPools(4, hosts=2)
    assert [ask(pools, server) for _ in range(3)] == [200] * 3
    assert server.opened == 1


def test_after_one_silent_connection_the_idle_ones_are_not_tried(server):
    pools = HostPools(4, hosts=2)
    assert ask_together(pools, server) == [200] * 3
    assert server.opened == 3
    server.silenced = 3
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        ask(pools, server, timeout=0.3)
    assert ask_together(pools, server) == [200] * 3
    assert server.opened == 6


def test_other_addresses_keep_their_connections(server):
    other = SilencedServer()
    pools = HostPools(4, hosts=2)
    assert ask(pools, server) == 200
    assert ask(pools, other) == 200
    other.silenced = 1
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        ask(pools, other, timeout=0.3)
    assert ask(pools, server) == 200
    assert server.opened == 1
    other.listener.close()
