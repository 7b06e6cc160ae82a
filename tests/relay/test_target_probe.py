"""Whether a target that broke off a request is gone."""

from __future__ import annotations

import socket

import eventlet
import pytest

from cedarchute.address import Address
from cedarchute.relay import target_probe
from cedarchute.relay.target_probe import TargetProbe
from standins.raw_target import reset


@pytest.fixture
def listener():
    with eventlet.listen(("127.0.0.1", 0)) as sock:
        yield sock


def find_address(listener):
    return Address("127.0.0.1", listener.getsockname()[1])


def reset_forever(listener):
    while True:
        reset(listener.accept()[0])


def test_a_target_that_no_longer_listens_has_ended(listener):
    address = find_address(listener)
    listener.close()
    assert TargetProbe().has_ended(address)


def test_a_target_that_listens_has_not_ended(listener):
    assert not TargetProbe().has_ended(find_address(listener))


def test_a_target_that_resets_connections_has_not_ended(listener):
    task = eventlet.spawn(reset_forever, listener)
    assert not TargetProbe().has_ended(find_address(listener))
    task.kill()


def test_a_target_that_closes_its_listener_last_has_ended(listener):
    def end():
        connection, _ = listener.accept()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        reset(connection)

    eventlet.spawn(end)
    assert TargetProbe().has_ended(find_address(listener))


def test_a_silent_way_says_nothing_of_its_target(monkeypatch):
    def connect(_):
        eventlet.sleep(60)

    monkeypatch.setattr(target_probe.socket, "create_connection", connect)
    assert not TargetProbe().has_ended(Address("127.0.0.1", 1))


def test_calls_that_were_on_one_target_share_a_probe(monkeypatch):
    connects = []

    def refuse(address):
        connects.append(address)
        eventlet.sleep(0.01)
        raise ConnectionRefusedError

    monkeypatch.setattr(target_probe.socket, "create_connection", refuse)
    probe = TargetProbe()
    tasks = [eventlet.spawn(probe.has_ended, Address("127.0.0.1", 1)) for _ in range(9)]
    assert all(task.wait() for task in tasks)
    assert len(connects) == 1
    assert not probe.running
