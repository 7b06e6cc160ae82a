"""Whether a target that did not answer a call lives."""

from __future__ import annotations

import socket
from types import SimpleNamespace

import eventlet
import pytest

from cedarchute.address import Address
from cedarchute.crashes.life_check import LifeCheck
from cedarchute.crashes.target_life import TargetLife
from cedarchute.metrics import Metrics
from standins.raw_target import health_answer, reset


@pytest.fixture
def listener():
    with eventlet.listen(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def target(listener):
    address = Address("127.0.0.1", listener.getsockname()[1])
    return SimpleNamespace(
        id="t-1", incarnation="t-1@5", service="plain", address=address
    )


@pytest.fixture
def serve(listener):
    """Return a function that has each connection treated in one way."""
    tasks = []

    def start(treat):
        def accept_forever():
            while True:
                treat(listener.accept()[0])

        tasks.append(eventlet.spawn(accept_forever))

    yield start
    for task in tasks:
        task.kill()


def make_check(path="/healthz"):
    return LifeCheck(lambda service: path, Metrics())


def answer_with(*parts):
    def treat(connection):
        connection.recv(4096)
        connection.sendall(b"".join(parts))

    return treat


def test_a_target_that_answers_with_its_id_is_alive(serve, target):
    serve(answer_with(health_answer("t-1")))
    assert make_check().check(target) is TargetLife.ALIVE


@pytest.mark.parametrize(
    "answer",
    [
        health_answer("t-2"),
        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_a_target_in_whose_place_another_one_answers_has_ended(serve, target, answer):
    serve(answer_with(answer))
    assert make_check().check(target) is TargetLife.ENDED


def test_a_target_that_no_longer_listens_has_ended(listener, target):
    listener.close()
    assert make_check().check(target) is TargetLife.ENDED


def test_a_target_that_closes_its_listener_last_has_ended(listener, target):
    def end():
        connection, _ = listener.accept()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        reset(connection)

    eventlet.spawn(end)
    assert make_check().check(target) is TargetLife.ENDED


@pytest.mark.parametrize(
    "treat",
    [
        reset,
        lambda connection: connection.close(),
        answer_with(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
        answer_with(b"no answer at all"),
    ],
)
def test_a_target_that_shows_no_id_is_unknown(serve, target, treat):
    serve(treat)
    assert make_check().check(target) is TargetLife.UNKNOWN


def test_a_target_that_says_nothing_is_unknown(target):
    assert make_check().check(target, 0.05) is TargetLife.UNKNOWN


def test_without_a_health_check_an_open_connection_shows_life(target):
    assert make_check("").check(target) is TargetLife.ALIVE


def test_calls_that_were_on_one_target_share_a_check(serve, target):
    accepted = []

    def treat(connection):
        accepted.append(connection)
        eventlet.sleep(0.02)
        answer_with(health_answer("t-1"))(connection)

    serve(treat)
    check = make_check()
    tasks = [eventlet.spawn(check.check, target) for _ in range(9)]
    assert all(task.wait() is TargetLife.ALIVE for task in tasks)
    assert len(accepted) == 1
    assert not check.running
