"""Streams whose target breaks off, over real connections to scripted targets."""

from __future__ import annotations

import random
import threading
import time

import eventlet
import pytest
from eventlet.green import socket
from msgspec.structs import replace

from cedarchute.address import Address
from cedarchute.calls.call import Call, ProgramContext
from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.program_admission_controller import ProgramAdmissionController
from cedarchute.calls.stream_call_handler import StreamCallHandler
from cedarchute.calls.target_client import TargetClient
from cedarchute.metrics import Metrics
from cedarchute.relay.caller_request import CallerRequest
from cedarchute.relay.headers import Headers
from cedarchute.relay.reply_writer import ReplyWriter
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.relay.target_connection import TargetConnection
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry
from cedarchute.turns.turn_admission import TurnAdmission
from experiments.waiting import wait_until
from standins.raw_target import (
    LAST_CHUNK,
    RawTarget,
    answer,
    chunk,
    event,
    refusal,
    reset,
    stream_head,
)

WORDS = (b"one", b"two", b"three", b"four")
EVENTS = [event(number, word) for number, word in enumerate(WORDS)]
HALF = EVENTS[2][:9]
CALLER_HEADERS = Headers(((b"Attempt-Id", b"a1"), (b"Prefix-Hash", b"5c:800")))
ROUTE = Route(
    "r",
    "h",
    b"/",
    Repeatability.STREAM,
    (ServiceShare("s", 1.0),),
    8.0,
    0.4,
    max_targets=2,
    is_resumable=True,
)


class Pool:
    """Opens a connection for each request."""

    def take(self, address, seconds, call_id=""):
        sock = socket.create_connection((address.host, address.port))
        return TargetConnection(address, sock)

    def give_back(self, connection):
        connection.close()


class Keys:
    def revalidate(self, call):
        pass


class Quota:
    """Grants further runs, after a wait."""

    def __init__(self):
        self.asked = 0
        self.wait_seconds = 0.0

    def check(self, call):
        self.asked += 1
        eventlet.sleep(self.wait_seconds)


class Routes:
    table = None


class Quorum:
    """Holders that keep what they are told."""

    def __init__(self):
        self.seats = type("Seats", (), {"table": type("Table", (), {"version": 1})})
        self.stored = []
        self.settled = []

    def begin(self, *arguments):
        return TurnAdmission(b"", "")

    def write(self, turn, seconds):
        self.stored.append(turn)

    def settle(self, program, call_id, tokens):
        self.settled.append(tokens)


class Stage:
    """One call, and targets that each play the next script when a request comes.

    Attributes
    ----------
    runs : list
        The target and the request of each run, in order.
    sent : list of bytes
        What the caller was sent.
    """

    def __init__(self, *scripts, resumes_streams=True, targets=3):
        self.scripts = list(scripts)
        self.runs = []
        self.sent = []
        self.lock = threading.Lock()
        self.quota = Quota()
        self.quorum = Quorum()
        self.metrics = Metrics()
        self.targets = [RawTarget(self.make_script(n)) for n in range(targets)]
        registry = TargetRegistry(lambda entry: None)
        for number, target in enumerate(self.targets):
            address = Address.parse(target.address)
            registry.put(TargetEntry(f"t-{number}", "s", address, "a", True, 8))
        balancer = LoadBalancer(registry, "a", random.Random(7), lambda address: True)
        client = TargetClient(Pool(), balancer, Keys(), self.quota, self.metrics)
        gate = ProgramAdmissionController(self.quorum, Routes(), self.metrics)
        self.loads = balancer.loads
        self.handler = StreamCallHandler(
            client,
            self.quorum,
            Routes(),
            gate,
            self.metrics,
            resumes_streams=resumes_streams,
        )

    def make_script(self, number):
        def play(request, connection):
            with self.lock:
                script = self.scripts.pop(0)
                self.runs.append((number, request))
            script(self, request, connection)

        return play

    def run(self, route=ROUTE, budget=None, headers=CALLER_HEADERS, most=30):
        """Handle the call; return the error that ended it, if any."""
        request = CallerRequest(b"POST", b"/x", headers, b"ask", True, time.monotonic())
        writer = ReplyWriter(request, self.sent.append, lambda: False)
        program = "p" if budget or route.retains_turns else ""
        call = Call("a1", None, ProgramContext(program, budget, "", most))
        try:
            self.handler.run(request, writer, call, route)
        except CallRefusedError as error:
            return error
        finally:
            for target in self.targets:
                target.close()
        return None

    @property
    def received(self):
        return b"".join(self.sent)

    @property
    def body(self):
        """What the caller was sent behind the one head."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK")
        assert b"HTTP/1.1" not in body
        return body

    def count(self, name):
        return self.metrics.totals[name]

    def read_resumed_ids(self):
        return [request.header("Last-Event-Id") for _, request in self.runs]


def join(events):
    return b"".join(chunk(part) for part in events)


def send_events(*events, end=LAST_CHUNK):
    """Return a script that streams events to the end."""

    def script(stage, request, connection):
        connection.sendall(stream_head(request) + join(events) + end)

    return script


def break_off(*events, rest=b""):
    """Return a script that resets once the caller has got `events`."""

    def script(stage, request, connection):
        connection.sendall(stream_head(request) + join(events))
        if rest:
            connection.sendall(chunk(rest))
        if events:
            wait_until(lambda: events[-1] in stage.received, "the caller has it")
        reset(connection)

    return script


def answer_with(status):
    def script(stage, request, connection):
        connection.sendall(answer(request, b"busy", status))

    return script


def refuse(stage, request, connection):
    connection.sendall(refusal(request))


def drop(stage, request, connection):
    reset(connection)


def test_a_stream_that_is_reset_within_an_event_goes_on_elsewhere():
    stage = Stage(break_off(*EVENTS[:2], rest=HALF), send_events(*EVENTS[2:]))
    assert stage.run() is None
    assert stage.body == join(EVENTS) + LAST_CHUNK
    assert stage.read_resumed_ids() == [None, "1"]
    (first, asked), (second, again) = stage.runs
    assert first != second
    assert (again.line, again.body) == (asked.line, asked.body)
    assert again.header("Attempt-Id") == "a1"
    assert again.header("Prefix-Hash") == "5c:800"
    assert again.header("Expect-Instance") == f"t-{second}"
    assert int(again.header("Deadline-Ms")) <= int(asked.header("Deadline-Ms"))
    assert stage.quota.asked == 1
    assert stage.count("streams.resumed") == 1
    assert stage.count("streams.resume_failed") == 0
    assert not any(load.active for load in stage.loads.values())


def test_a_stream_that_ends_within_an_event_is_closed_before_it_goes_on():
    closed = []

    def go_on(stage, request, connection):
        closed.append(stage.runs[0][1].closed.wait(5))
        send_events(*EVENTS[2:])(stage, request, connection)

    def end_within_event(stage, request, connection):
        end = chunk(HALF) + LAST_CHUNK
        send_events(*EVENTS[:2], end=end)(stage, request, connection)
        # Held open from this side: only the box closes it.
        request.closed.wait(30)

    stage = Stage(end_within_event, go_on)
    assert stage.run() is None
    assert closed == [True]
    assert stage.body == join(EVENTS) + LAST_CHUNK


def test_a_stream_whose_events_were_all_sent_may_go_on_with_none():
    stage = Stage(break_off(*EVENTS), send_events())
    assert stage.run() is None
    assert stage.read_resumed_ids() == [None, "3"]
    assert stage.body == join(EVENTS) + LAST_CHUNK


@pytest.mark.parametrize(
    "second",
    [
        break_off(EVENTS[2]),
        drop,
        answer_with(b"500 Failed"),
        answer_with(b"404 Not Found"),
        send_events(EVENTS[2], end=chunk(EVENTS[3][:9]) + LAST_CHUNK),
    ],
)
def test_a_stream_whose_second_target_fails_too_does_not_look_complete(second):
    stage = Stage(break_off(*EVENTS[:2]), second)
    assert stage.run().status == 502
    assert stage.body in (join(EVENTS[:2]), join(EVENTS[:3]))
    assert len(stage.runs) == 2
    assert stage.count("streams.resume_failed") == 1
    assert stage.count("streams.resumed") == 0
    assert stage.count("turns.broken") == 1


@pytest.mark.parametrize(
    ("second", "resumed_ids"),
    [
        (break_off(EVENTS[2], rest=EVENTS[3][:9]), [None, "1", "2"]),
        (drop, [None, "1", "1"]),
        (answer_with(b"500 Failed"), [None, "1", "1"]),
    ],
)
def test_a_stream_goes_on_at_as_many_targets_as_its_route_allows(second, resumed_ids):
    rest = EVENTS[int(resumed_ids[-1]) + 1 :]
    stage = Stage(break_off(*EVENTS[:2]), second, send_events(*rest))
    assert stage.run(replace(ROUTE, max_targets=3)) is None
    assert stage.body == join(EVENTS) + LAST_CHUNK
    assert stage.read_resumed_ids() == resumed_ids
    assert len({number for number, _ in stage.runs}) == 3


def test_a_target_that_did_not_take_the_rest_is_no_run():
    stage = Stage(break_off(*EVENTS[:2]), refuse, send_events(*EVENTS[2:]))
    assert stage.run() is None
    assert stage.body == join(EVENTS) + LAST_CHUNK
    assert stage.read_resumed_ids() == [None, "1", "1"]


@pytest.mark.parametrize(
    "again",
    [
        EVENTS,
        EVENTS[1:],
        [EVENTS[2], EVENTS[2], EVENTS[3]],
        [EVENTS[2], EVENTS[1]],
        [b"data: no id\n\n"],
    ],
)
def test_no_event_reaches_the_caller_twice(again):
    stage = Stage(break_off(*EVENTS[:2]), send_events(*again))
    assert stage.run().status == 502
    expected = EVENTS[:3] if again[0] == EVENTS[2] else EVENTS[:2]
    assert stage.body == join(expected)
    assert len(stage.runs) == 2


def assert_ends_as_before(stage, route=ROUTE, **terms):
    """Assert that the call ends with its first target, as without this part."""
    error = stage.run(route, **terms)
    assert error.status == 502
    assert len(stage.runs) == 1
    assert stage.quota.asked == 0
    assert stage.count("streams.resume_failed") == 0


def test_with_the_setting_off_a_broken_stream_ends():
    stage = Stage(break_off(*EVENTS[:2]), resumes_streams=False)
    assert_ends_as_before(stage)
    assert stage.body == join(EVENTS[:2])


@pytest.mark.parametrize("change", [{"is_resumable": False}, {"max_targets": 1}])
def test_a_route_that_does_not_allow_it_ends_a_broken_stream(change):
    stage = Stage(break_off(*EVENTS[:2]))
    assert_ends_as_before(stage, replace(ROUTE, **change))
    assert stage.body == join(EVENTS[:2])


@pytest.mark.parametrize("first", [break_off(), break_off(rest=HALF), drop])
def test_a_stream_that_breaks_before_its_first_event_is_not_run_again(first):
    stage = Stage(first)
    assert_ends_as_before(stage)
    assert stage.received == b""


def test_a_stream_whose_ids_do_not_rise_is_passed_on_and_not_resumed():
    odd = [EVENTS[1], EVENTS[0], EVENTS[2]]
    stage = Stage(break_off(*odd))
    assert_ends_as_before(stage)
    assert stage.body == join(odd)


def test_a_stream_goes_on_at_another_target_or_not_at_all():
    stage = Stage(break_off(*EVENTS[:2]), send_events(*EVENTS[2:]), targets=1)
    assert stage.run().status == 502
    assert len(stage.runs) == 1
    assert stage.count("streams.resume_failed") == 1


def test_an_id_that_the_caller_sent_is_passed_on_and_replaced_by_a_later_one():
    headers = CALLER_HEADERS.extend((b"last-event-id", b"0"))
    stage = Stage(break_off(EVENTS[1]), send_events(*EVENTS[2:]))
    assert stage.run(headers=headers) is None
    assert stage.read_resumed_ids() == ["0", "1"]
    assert stage.runs[1][1].head.lower().count(b"last-event-id") == 1


@pytest.mark.parametrize("end", [None, ShutdownError()])
def test_nothing_is_sent_once_the_call_ended_between_two_targets(end):
    stage = Stage(break_off(*EVENTS[:2]), send_events(*EVENTS[2:]))
    stage.quota.wait_seconds = 30.0
    task = eventlet.spawn(stage.run)
    with eventlet.Timeout(10):
        while not stage.quota.asked:
            eventlet.sleep(0.01)
    if end is None:
        task.kill()
    else:
        eventlet.kill(task, end)
    eventlet.sleep(0.1)
    assert task.dead
    assert len(stage.runs) == 1
    assert stage.body == join(EVENTS[:2])
    assert not any(load.active for load in stage.loads.values())


def test_tokens_count_once_over_both_runs():
    stage = Stage(break_off(*EVENTS[:2], rest=HALF), send_events(*EVENTS[2:]))
    assert stage.run(budget=100, most=4) is None
    assert stage.quorum.settled == [4]


def test_no_more_tokens_reach_the_caller_than_were_reserved():
    stage = Stage(break_off(*EVENTS[:2]), send_events(*EVENTS[2:]))
    assert stage.run(budget=100, most=3).status == 502
    assert stage.body == join(EVENTS[:3])
    assert stage.quorum.settled == [3]


def test_a_turn_is_stored_as_its_caller_got_it():
    stage = Stage(break_off(*EVENTS[:2], rest=HALF), send_events(*EVENTS[2:]))
    assert stage.run(replace(ROUTE, retains_turns=True)) is None
    (turn,) = stage.quorum.stored
    assert turn.output == b"one\ntwo\nthree\nfour\n"
    assert turn.tokens == 4
    assert turn.target == f"t-{stage.runs[1][0]}"


def test_a_caller_cannot_have_the_place_to_go_on_from_dropped():
    """A field that Connection names is not passed on, but this one is the box's own."""
    headers = CALLER_HEADERS.extend((b"Connection", b"Last-Event-Id"))
    stage = Stage(break_off(*EVENTS[:2]), send_events(*EVENTS[2:]))
    stage.run(headers=headers)
    assert stage.read_resumed_ids() == [None, "1"]
