"""Turns of programs: chains, budgets, streams."""

from __future__ import annotations

import threading
import time

from turn_callers import say, take_turn, turn_headers

from experiments.raw_caller import RawCaller, build_request
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, chunk, event, reset, stream_head


def test_a_turn_is_completed_from_its_chain(serve, nodes):
    target = serve("model", say(b"one", b"two"))
    first, second = nodes.callers["entry-1"], nodes.callers["entry-2"]
    assert take_turn(first, "ta1", b"Hello.", "pa")[0] == 200
    assert take_turn(second, "ta2", b"More.", "pa", previous="ta1")[0] == 200
    assert take_turn(first, "ta3", b"End.", "pa", previous="ta2")[0] == 200
    assert [request.body for request in target.requests] == [
        b"Hello.",
        b"Hello.one\ntwo\nMore.",
        b"Hello.one\ntwo\nMore.one\ntwo\nEnd.",
    ]


def test_several_turns_go_on_from_the_same(serve, nodes, entry):
    target = serve("model", say(b"one"))
    assert take_turn(entry, "tb1", b"a", "pb")[0] == 200
    for name in ("tb2", "tb3"):
        other = nodes.callers["entry-2"]
        assert take_turn(other, name, b"b", "pb", previous="tb1")[0] == 200
    assert [r.body for r in target.requests[1:]] == [b"aone\nb"] * 2


def test_a_turn_of_another_program_may_be_gone_on_from(serve, entry):
    target = serve("model", say(b"one"))
    assert take_turn(entry, "tc1", b"a", "pc")[0] == 200
    assert take_turn(entry, "tc2", b"b", "pc-new", previous="tc1")[0] == 200
    assert take_turn(entry, "tc3", b"c", "pc-new", previous="tc2")[0] == 200
    assert target.requests[2].body == b"aone\nbone\nc"


def test_a_turn_that_never_was_is_told_so_and_runs_nowhere(serve, entry):
    target = serve("model", say(b"one"))
    assert take_turn(entry, "td1", b"a", "pd", previous="never")[0] == 404
    assert target.requests == []


def test_a_turn_that_was_cut_is_no_turn(serve, entry):
    def cut(request, connection):
        connection.sendall(stream_head(request) + chunk(event(0, b"one")))
        time.sleep(0.05)
        reset(connection)

    serve("model", cut)
    with RawCaller(entry) as caller:
        headers = turn_headers("pe")
        caller.send(build_request(b"/turn/x", b"te1", b"a", headers=headers))
        received = caller.read_to_close()
    assert b"data: one" in received
    assert not received.endswith(LAST_CHUNK)
    assert take_turn(entry, "te2", b"b", "pe", previous="te1")[0] == 404


def test_an_event_cut_in_the_middle_is_not_passed_on(serve, entry):
    def cut(request, connection):
        connection.sendall(stream_head(request) + chunk(event(0, b"one")))
        connection.sendall(chunk(b"id: 1\ndata: tw"))
        connection.sendall(LAST_CHUNK)

    serve("model", cut)
    with RawCaller(entry) as caller:
        headers = turn_headers("pf")
        caller.send(build_request(b"/turn/x", b"tf1", b"a", headers=headers))
        received = caller.read_to_close()
    assert b"data: one" in received
    assert b"tw" not in received
    assert not received.endswith(LAST_CHUNK)


def test_events_pass_as_they_come(serve, entry):
    go_on = threading.Event()

    def slow(request, connection):
        connection.sendall(stream_head(request) + chunk(event(0, b"one")))
        go_on.wait(20)
        connection.sendall(chunk(event(1, b"two")) + LAST_CHUNK)

    serve("model", slow)
    with RawCaller(entry) as caller:
        caller.send(build_request(b"/stream/x", b"tg1"))
        assert b"data: one" in caller.read_until(b"one\n\n")
        go_on.set()
        assert b"data: two" in caller.read_until(b"0\r\n\r\n")


def test_when_a_caller_leaves_its_stream_is_ended(serve, entry):
    def endless(request, connection):
        connection.sendall(stream_head(request))
        for number in range(10_000):
            connection.sendall(chunk(event(number, b"x")))
            if request.closed.wait(0.02):
                return

    target = serve("model", endless)
    with RawCaller(entry) as caller:
        headers = turn_headers("ph")
        caller.send(build_request(b"/turn/x", b"th1", headers=headers))
        caller.read_until(b"data: x")
    assert target.requests[0].closed.wait(10)


def test_a_budget_holds_over_turns_and_what_is_left_can_be_used(serve, entry):
    target = serve("model", say(b"1", b"2", b"3", b"4", b"5"))
    for number in range(4):
        status, _, _ = take_turn(entry, f"ti{number}", b"a", "pi", budget=75, most=30)
        assert status == 200
    # 60 of 75 are spent: no turn of up to 30 fits, one of up to 15 does.
    assert take_turn(entry, "ti5", b"a", "pi", budget=75, most=30)[0] == 402
    assert take_turn(entry, "ti6", b"a", "pi", budget=75, most=15)[0] == 200
    assert take_turn(entry, "ti7", b"a", "pi", budget=75, most=1)[0] == 402
    assert len(target.requests) == 5


def test_a_budget_holds_over_turns_side_by_side_on_several_boxes(serve, nodes):
    release = threading.Event()

    def hold(request, connection):
        release.wait(20)
        say(*[b"x"] * 10)(request, connection)

    target = serve("model", hold)
    statuses = []
    addresses = list(nodes.callers.values())

    def take(number):
        address = addresses[number % len(addresses)]
        answer = take_turn(address, f"tj{number}", b"a", "pj", budget=100, most=30)
        statuses.append(answer[0])

    threads = [threading.Thread(target=take, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(statuses) + len(target.requests) >= 12, "all are decided")
    assert len(target.requests) <= 3
    release.set()
    for thread in threads:
        thread.join()
    assert set(statuses) <= {200, 402}
    assert statuses.count(200) == len(target.requests)


def test_a_turn_refused_by_its_target_costs_nothing(serve, entry):
    def refuse(request, connection):
        attempt = request.header("Attempt-Id").encode()
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % attempt
        )

    serve("model", refuse)
    assert take_turn(entry, "tk1", b"a", "pk", budget=30, most=30)[0] == 503
    serve("model", say(b"one"))
    wait_until(
        lambda: take_turn(entry, "tk2", b"a", "pk", budget=30, most=30)[0] == 200,
        "the reservation is given back",
    )
