"""Requests to holders while the direct way of a box is cut."""

from __future__ import annotations

import random
from types import SimpleNamespace

import msgspec
import pytest

from cedarchute.address import Address
from cedarchute.fleet import relayed_transport
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.holder_relay import MAX_SECONDS, HolderRelay
from cedarchute.fleet.peer_server import PeerServer
from cedarchute.fleet.relay_messages import RELAY_PATH, RelayAnswer, RelayRequest
from cedarchute.fleet.relayed_transport import (
    CUT_SECONDS,
    MAX_PEERS,
    RECENT_SECONDS,
    RelayedTransport,
)
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.metrics import Metrics
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_transport import HolderAnswer, NoAnswerError

HOLDERS = [Address("10.0.9.1", 1), Address("10.0.9.2", 1)]
PEERS = [Address(f"10.0.1.{number}", 1) for number in range(1, 9)]
TIMEOUT = AnswerTimeout(0.5, 2.0)


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    clock.monotonic = lambda: clock.now
    monkeypatch.setattr(relayed_transport, "time", clock)
    return clock


class Network:
    """Answers of addresses; those in `silent` give none, after their time."""

    def __init__(self, clock, silent=(), cut_peers=()):
        self.clock = clock
        self.silent = set(silent)
        self.cut_peers = set(cut_peers)
        self.sent = []

    def post(self, address, path, body, timeout, must_give_up=None):
        self.sent.append((address, path))
        if address in self.silent:
            self.wait(timeout, must_give_up)
            raise NoAnswerError("silent")
        if path == RELAY_PATH:
            return HolderAnswer(200, self.relay(address, body))
        return HolderAnswer(200, b"direct " + body)

    def wait(self, timeout, must_give_up):
        ends = self.clock.now + timeout.read_seconds
        while self.clock.now < ends and not (must_give_up and must_give_up()):
            self.clock.now += 0.05

    def relay(self, peer, body):
        request = msgspec.json.decode(body, type=RelayRequest)
        if peer in self.cut_peers:
            return msgspec.json.encode(RelayAnswer(0))
        return msgspec.json.encode(RelayAnswer(200, b"relayed " + request.body))


def make_transport(network, is_enabled=True):
    return RelayedTransport(
        network, lambda: PEERS, lambda: is_enabled, random.Random(1), Metrics()
    )


def post(transport, holder=HOLDERS[0]):
    return transport.post(holder, "/turns/begin", b"x", TIMEOUT).body


def test_a_box_that_is_cut_off_from_all_holders_goes_through_another(clock):
    network = Network(clock)
    transport = make_transport(network)
    assert post(transport) == b"direct x"
    network.silent = set(HOLDERS)
    started = clock.now
    assert post(transport) == b"relayed x"
    assert clock.now - started < RECENT_SECONDS + 0.2
    assert post(transport, HOLDERS[1]) == b"relayed x"
    assert network.sent[-1][0] in PEERS
    assert network.sent[-2][0] in PEERS


def test_without_it_the_same_request_gets_no_answer(clock):
    """What the test above shows is due to the other box alone."""
    network = Network(clock, silent=HOLDERS)
    with pytest.raises(NoAnswerError):
        post(make_transport(network, is_enabled=False))
    assert [address for address, _ in network.sent] == HOLDERS[:1]


def test_the_direct_way_is_taken_again_once_it_is_back(clock):
    network = Network(clock, silent=HOLDERS)
    transport = make_transport(network)
    assert post(transport) == b"relayed x"
    network.silent.clear()
    assert post(transport) == b"relayed x"
    clock.now += CUT_SECONDS + 0.1
    assert post(transport) == b"direct x"


def test_a_single_silent_holder_is_no_cut(clock):
    network = Network(clock, silent=HOLDERS[:1])
    transport = make_transport(network)
    assert post(transport, HOLDERS[1]) == b"direct x"
    transport.is_cut = lambda: False  # Others go on answering meanwhile.
    with pytest.raises(NoAnswerError):
        post(transport)
    assert not [path for _, path in network.sent if path == RELAY_PATH]


def test_boxes_that_are_cut_off_too_are_passed_over(clock):
    network = Network(clock, silent=HOLDERS, cut_peers=PEERS[:3])
    transport = make_transport(network)
    for _ in range(4):
        clock.now += CUT_SECONDS + RECENT_SECONDS
        assert post(transport) == b"relayed x"


def test_few_boxes_are_asked_when_nobody_reaches_the_holders(clock):
    network = Network(clock, silent=HOLDERS, cut_peers=PEERS)
    with pytest.raises(NoAnswerError):
        post(make_transport(network))
    asked = [path for _, path in network.sent if path == RELAY_PATH]
    assert len(asked) == MAX_PEERS


def test_a_box_alone_has_nobody_to_ask(clock):
    network = Network(clock, silent=HOLDERS)
    transport = make_transport(network)
    transport.list_peers = list
    with pytest.raises(NoAnswerError):
        post(transport)


class Holder:
    """Records how it is asked."""

    def __init__(self, fails=False):
        self.fails = fails
        self.asked = []

    def post(self, address, path, body, timeout):
        self.asked.append((str(address), path, body, timeout))
        if self.fails:
            raise NoAnswerError("silent")
        return HolderAnswer(409, b"no")


def make_server(holder):
    directory = BoxDirectory()
    directory.put(BoxEntry("holder-1", Role.HOLDER, "a", "r", "", "10.0.9.1:1"))
    relay = HolderRelay(holder, directory, Metrics())
    return PeerServer(StoreMirror({}), Metrics(), relay=relay)


def ask(server, message):
    statuses = []
    environ = {"PATH_INFO": RELAY_PATH}
    environ["wsgi.input"] = SimpleNamespace(read=lambda: msgspec.json.encode(message))
    body = server(environ, lambda status, fields: statuses.append(status))
    return statuses[0], b"".join(body)


REQUEST = RelayRequest("10.0.9.1:1", "/turns/take", b"\x00body", 0.5, 60.0)


def test_a_box_sends_on_what_another_one_asks():
    holder = Holder()
    status, body = ask(make_server(holder), REQUEST)
    assert status == "200 OK"
    assert msgspec.json.decode(body, type=RelayAnswer) == RelayAnswer(409, b"no")
    timeout = AnswerTimeout(0.5, MAX_SECONDS)
    assert holder.asked == [("10.0.9.1:1", "/turns/take", b"\x00body", timeout)]


def test_a_holder_that_gives_no_answer_is_told_as_such():
    _, body = ask(make_server(Holder(fails=True)), REQUEST)
    assert msgspec.json.decode(body, type=RelayAnswer) == RelayAnswer(0)


@pytest.mark.parametrize(
    "message",
    [
        msgspec.structs.replace(REQUEST, address="10.0.9.9:1"),
        msgspec.structs.replace(REQUEST, address="store.example:1"),
        msgspec.structs.replace(REQUEST, connect_seconds=-1.0),
        {"address": 3},
        [],
    ],
)
def test_nothing_else_is_sent_on(message):
    holder = Holder()
    assert ask(make_server(holder), message)[0] == "400 Bad Request"
    assert holder.asked == []
