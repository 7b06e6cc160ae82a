"""Streams whose turn the holders cannot store at once."""

from __future__ import annotations

import random
import time
from collections import deque

import pytest

from cedarchute.address import Address
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.program_admission_controller import ProgramAdmissionController
from cedarchute.calls.stream_call_handler import StreamCallHandler, make_terms
from cedarchute.calls.target_client import TargetClient
from cedarchute.metrics import Metrics
from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.answer_limits import DEFAULT_LIMITS, AnswerLimits
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.reply_writer import ReplyWriter
from cedarchute.relay.target_answer import TargetAnswer
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.turn_admission import TurnAdmission
from cedarchute.turns.turn_quorum import FINISH_SECONDS

TIMEOUT_SECONDS = 20.0
EVENT = b"data: one\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class Connection:
    """A connection to a target that answers with one body at once."""

    discarded = 0

    def __init__(self, body):
        self.body = body

    def send(self, data, seconds):
        pass

    def read_answer(self, request_id, header_name, deadline, expects_body):
        answer = TargetAnswer()
        answer.status = 200
        answer.is_complete = True
        answer.parts = deque([self.body])
        return answer

    def finish(self, answer):
        pass

    def close(self):
        pass


class Pool:
    def __init__(self, body):
        self.body = body

    def take(self, address, seconds, call_id=""):
        return Connection(self.body)

    def give_back(self, connection):
        pass


class Keys:
    def revalidate(self, call):
        pass


class Routes:
    table = None


class SlowQuorum:
    """Holders that store a turn only after `needed_seconds`."""

    def __init__(self, needed_seconds):
        self.needed_seconds = needed_seconds
        self.seats = type("Seats", (), {"table": type("Table", (), {"version": 1})})

    def begin(self, *arguments):
        return TurnAdmission(b"", "")

    def write(self, record, min_seconds=0.0):
        if min_seconds < self.needed_seconds:
            raise NoQuorumError("only 1 holders answer")

    def settle(self, *arguments):
        pass


def relay(quorum, body, held=UNBOUNDED, limits=DEFAULT_LIMITS):
    """Relay one turn; return what the caller received."""
    registry = TargetRegistry(lambda entry: None)
    registry.put(TargetEntry("t", "s", Address("10.0.0.1", 1), "a", True, 8))
    balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
    metrics = Metrics()
    client = TargetClient(
        Pool(body), balancer, Keys(), None, metrics, held, limits=limits
    )
    gate = ProgramAdmissionController(quorum, Routes(), metrics)
    handler = StreamCallHandler(client, quorum, Routes(), gate, metrics)
    request = CallerRequest(b"POST", b"/", Headers(), b"a", True, time.monotonic())
    received = []
    writer = ReplyWriter(request, received.append, lambda: False)
    call = Call("t1", None, ProgramContext("p", None, "t0", 1))
    route = Route(
        "r",
        "h",
        b"/",
        Repeatability.STREAM,
        (ServiceShare("s", 1.0),),
        TIMEOUT_SECONDS,
        1.0,
        retains_turns=True,
    )
    try:
        handler.run(request, writer, call, route)
    except CallRefusedError as error:
        return error, b"".join(received)
    return None, b"".join(received)


def test_a_finished_stream_is_not_broken_off_while_its_call_has_time():
    error, received = relay(SlowQuorum(TIMEOUT_SECONDS / 2), EVENT)
    assert error is None
    assert received.endswith(LAST_CHUNK)


@pytest.mark.parametrize("body", [b"", EVENT])
def test_a_turn_that_was_not_stored_looks_neither_complete_nor_unrun(body):
    error, received = relay(SlowQuorum(TIMEOUT_SECONDS * 2), body)
    assert error.status == 502
    assert not received.endswith(LAST_CHUNK)
    assert bool(received) == bool(body)


class TermsQuorum(SlowQuorum):
    """Holders that note what they are told of a turn."""

    def begin(self, *arguments):
        self.terms = arguments[-1]
        return super().begin()


# Holders forgot a program while a turn of it took longer than its retention.
def test_holders_are_told_how_long_a_turn_may_take():
    quorum = TermsQuorum(0)
    relay(quorum, EVENT)
    longest = TIMEOUT_SECONDS + FINISH_SECONDS
    assert FINISH_SECONDS < quorum.terms.open_seconds <= longest


# A burst of long turns ended holders, which were told of no text before it came.
@pytest.mark.parametrize("retains_turns", [True, False])
def test_holders_are_told_of_the_text_that_a_turn_brings(retains_turns):
    request = CallerRequest(b"POST", b"/", Headers(), b"text", True, time.monotonic())
    call = Call("t1", None, ProgramContext("p", None, "t0", 1))
    shares = (ServiceShare("s", 1.0),)
    route = Route(
        "r",
        "h",
        b"/",
        Repeatability.STREAM,
        shares,
        TIMEOUT_SECONDS,
        1.0,
        retains_turns=retains_turns,
        retention_seconds=90.0,
    )
    terms = make_terms(request, call, route)
    assert terms.input_bytes == (4 if retains_turns else 0)
    assert terms.keep_seconds == 90.0


class CountingQuorum(SlowQuorum):
    """Holders that note how much is held while they store a turn."""

    def __init__(self, needed_seconds, held):
        super().__init__(needed_seconds)
        self.held = held
        self.kept_bytes = 0

    def write(self, record, min_seconds=0.0):
        self.kept_bytes = self.held.counts[HeldCause.KEPT_EVENTS]
        super().write(record, min_seconds)


@pytest.mark.parametrize("is_stored", [True, False])
def test_the_events_of_a_turn_are_counted_until_it_is_stored(is_stored):
    held = HeldByteAccount(1_000_000, Metrics())
    quorum = CountingQuorum(TIMEOUT_SECONDS * (0.5 if is_stored else 2), held)
    error, _ = relay(quorum, 3 * EVENT, held)
    assert (error is None) == is_stored
    assert quorum.kept_bytes == 3 * len(b"one\n")
    assert held.total == 0


def test_a_turn_without_end_is_broken_off_and_nothing_of_it_is_kept():
    held = HeldByteAccount(1_000_000, Metrics())
    quorum = CountingQuorum(0.0, held)
    error, received = relay(quorum, 50_000 * EVENT, held, AnswerLimits(total_bytes=1))
    assert error.status == 502
    assert received
    assert not received.endswith(LAST_CHUNK)
    assert quorum.kept_bytes == 0
    assert held.total == 0
