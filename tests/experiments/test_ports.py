"""Ports of a run stay its own while the processes that use them are down.

Two runs of the tests side by side took the same port: one had let go of it between its
choice and the start of the box that was to listen there, or while that box was killed.
The box ended with ``127.0.0.1:15662 in use by another process``, and its run then asked
the other run's box and waited in vain for what had gone to the other run's store.
"""

from __future__ import annotations

import importlib.util
import itertools
import socket

import pytest

from experiments import ports

HOST = "127.0.0.1"


@pytest.fixture
def other_run(monkeypatch):
    """The module as another process has it, drawing the ports of this one again."""
    spec = importlib.util.find_spec("experiments.ports")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)

    def draw_from(first):
        numbers = itertools.count(first)
        monkeypatch.setattr(
            module,
            "_random",
            type("Draws", (), {"randrange": lambda *_: next(numbers)}),
        )
        return module

    return draw_from


def test_another_run_does_not_take_a_port_that_nothing_listens_on_yet(other_run):
    port = ports.find_free_port()
    assert other_run(port).find_free_port() != port


def test_a_process_listens_on_its_port_again_after_it_was_killed(other_run):
    port = ports.find_free_port()
    for _ in range(2):
        with socket.create_server((HOST, port)):
            assert other_run(port).find_free_port() != port
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, port))
