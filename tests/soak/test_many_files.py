"""Callers and back ends in a process that has many files open."""

from __future__ import annotations

import os
import resource
import socket
import threading

import pytest

from experiments.raw_caller import build_request
from experiments.soak.counting_caller import CountingCaller
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, answer

# `select` takes no file numbers from this one on.
FILES = 1024


@pytest.fixture(autouse=True)
def _many_files():
    """Every file that is opened from now on has a high number."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, 4 * FILES), hard), hard))
    files = [os.open(os.devnull, os.O_RDONLY) for _ in range(FILES)]
    yield
    for file in files:
        os.close(file)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_callers_with_many_files_open_ended_in_the_middle_of_a_soak():
    with socket.create_server(("127.0.0.1", 0)) as server:
        caller = CountingCaller(f"127.0.0.1:{server.getsockname()[1]}", 20)
        connection, _ = server.accept()
    assert not caller.is_closed
    connection.sendall(b"x")
    assert caller.receive() == b"x"
    assert not caller.is_closed
    connection.close()
    wait_until(lambda: caller.is_closed, "the close has arrived")
    caller.sock.close()


def test_a_target_with_many_files_open_took_its_callers_for_gone():
    gone, noticed = [], threading.Event()

    def work(request, connection):
        # Longer than the target waits between two looks at its caller.
        gone.append(request.closed.wait(0.2))
        connection.sendall(answer(request))
        request.closed.wait(20)
        noticed.set()

    target = RawTarget(work)
    with CountingCaller(target.address, 20) as caller:
        caller.send(build_request(b"/x", b"1"))
        assert caller.read_answer()[0] == 200
    assert noticed.wait(20)
    assert gone == [False]
    target.close()
