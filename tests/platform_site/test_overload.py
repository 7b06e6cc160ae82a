"""A box whose engines are slow refuses new programs, and no others."""

from __future__ import annotations

import threading

from turn_callers import say, take_turn, turn_headers

from cedarchute.decisions.usual_pace import WINDOW_FIRST_EVENTS
from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, chunk, event, stream_head

AIM = b"Program-Deadline-Ms: 2000\r\n"


def ask(address, name, program):
    headers = turn_headers(program, budget=9000) + AIM
    return call(address, b"/stream/x", name.encode(), b"a", headers=headers)


def teach_usual_pace(entry):
    """Let the box see streams of calm engines, enough for a window."""
    for number in range(WINDOW_FIRST_EVENTS + 6):
        assert ask(entry, f"oc{number}", f"oc{number}")[0] == 200


def test_slow_engines_get_no_new_programs_but_those_under_way(serve, entry):
    release = threading.Event()
    slow_now = threading.Event()
    quick = say(*[b"x"] * 10)

    def answer(request, connection):
        if not slow_now.is_set():
            quick(request, connection)
            return
        connection.sendall(stream_head(request))
        # Programs that are let in by mistake end soon, so that more can be asked for.
        events = 5 if request.header("Attempt-Id").startswith("on") else 400
        for number in range(events):
            connection.sendall(chunk(event(number, b"x")))
            if release.wait(0.1) or request.closed.is_set():
                break
        connection.sendall(LAST_CHUNK)

    target = serve("model", answer)
    teach_usual_pace(entry)
    assert take_turn(entry, "ou1", b"a", "ou", budget=9000)[0] == 200
    slow_now.set()
    callers = [RawCaller(entry) for _ in range(6)]
    for number, caller in enumerate(callers):
        headers = turn_headers(f"os{number}", budget=9000) + AIM
        caller.send(
            build_request(b"/stream/x", b"os%d" % number, b"a", headers=headers)
        )
    for caller in callers:
        caller.read_until(b"id: 3")
    refused = []

    def is_refused():
        name = f"on{len(refused)}"
        status, headers, _ = ask(entry, name, name)
        refused.append((status, headers))
        return status == 503

    try:
        wait_until(is_refused, "a new program is refused")
        assert "retry-after" in refused[-1][1]
        names = [request.header("Attempt-Id") for request in target.requests]
        assert f"on{len(refused) - 1}" not in names
        # A program under way goes on, also by a call that names no turn before it.
        sent = len(target.requests)
        with RawCaller(entry) as other:
            headers = turn_headers("ou", budget=9000) + AIM
            other.send(build_request(b"/stream/x", b"ou2", b"a", headers=headers))
            wait_until(lambda: len(target.requests) > sent, "the program goes on")
    finally:
        release.set()
        for caller in callers:
            caller.sock.close()
