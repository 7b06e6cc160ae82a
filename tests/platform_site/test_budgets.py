"""Budgets of programs whose calls keep no turns, and bad input about budgets."""

from __future__ import annotations

import itertools
import time

import pytest
from turn_callers import say, take_turn, turn_headers

from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import RawTarget, chunk, event, reset, stream_head

# Each event of the site's model carries this many tokens.
EVENT_TOKENS = 3


def ask(address, name, program, **terms):
    """Take one call of a route that keeps no turns; return its status."""
    headers = turn_headers(program, **terms)
    return call(address, b"/stream/x", name.encode(), b"a", headers=headers)[0]


def test_a_budget_holds_where_no_turns_are_kept(serve, entry):
    target = serve("model", say(*[b"x"] * 10))
    statuses = [ask(entry, f"ba{n}", "ba", budget=75) for n in range(4)]
    assert statuses == [200, 200, 402, 402]
    assert len(target.requests) == 2


def test_such_a_budget_is_one_over_all_boxes(serve, nodes):
    target = serve("model", say(*[b"x"] * 10))
    boxes = list(nodes.callers.values())
    statuses = [ask(boxes[n % 2], f"bb{n}", "bb", budget=75) for n in range(4)]
    assert statuses == [200, 200, 402, 402]
    assert len(target.requests) == 2


def test_what_a_broken_call_handed_out_counts(serve, entry):
    def cut(request, connection):
        connection.sendall(stream_head(request))
        for number in range(10):
            connection.sendall(chunk(event(number, b"x")))
        time.sleep(0.05)
        reset(connection)

    target = serve("model", cut)
    for number in range(3):
        with RawCaller(entry) as caller:
            headers = turn_headers("bc", budget=60)
            caller.send(
                build_request(b"/stream/x", b"bc%d" % number, b"a", headers=headers)
            )
            caller.read_to_close()
    assert len(target.requests) == 2


def test_what_an_abandoned_call_handed_out_counts(serve, entry):
    def endless(request, connection):
        connection.sendall(stream_head(request))
        for number in range(10_000):
            connection.sendall(chunk(event(number, b"x")))
            if request.closed.wait(0.02):
                return

    target = serve("model", endless)
    with RawCaller(entry) as caller:
        headers = turn_headers("bd", budget=30)
        caller.send(build_request(b"/stream/x", b"bd1", b"a", headers=headers))
        caller.read_until(b"data: x")
    assert target.requests[0].closed.wait(10)
    assert ask(entry, "bd2", "bd", budget=30) == 402
    assert len(target.requests) == 1


def test_a_call_refused_by_its_target_costs_no_budget(serve, entry):
    def refuse(request, connection):
        attempt = request.header("Attempt-Id").encode()
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % attempt
        )

    serve("model", refuse)
    assert ask(entry, "be1", "be", budget=30) == 503
    serve("model", say(b"one"))
    wait_until(
        lambda: ask(entry, "be2", "be", budget=30) == 200,
        "the reservation is given back",
    )


def test_a_budget_holds_over_restarts_a_lost_disk_and_a_store_away(own_nodes):
    target = RawTarget(say(*[b"x"] * 10))
    own_nodes.add_target("t", "model", target.address)
    entry = own_nodes.callers["entry-1"]
    # Each try has a name of its own, as callers' tries do.
    names = (f"bf{number}" for number in itertools.count())

    def serves():
        return ask(entry, next(names), "bf", budget=75) == 200

    wait_until(serves, "the target is known")
    own_nodes.kill("holder-1")
    for path in (own_nodes.folder / "holder-1-data").iterdir():
        path.unlink()
    for name in ("entry-1", "holder-2", "holder-3"):
        own_nodes.kill(name)
    for name in ("entry-1", "holder-1", "holder-2", "holder-3"):
        own_nodes.restart(name)
    own_nodes.wait_ready()
    wait_until(serves, "a quorum answers")
    own_nodes.switch_store(down=True)
    assert ask(entry, next(names), "bf", budget=75) == 402
    other = own_nodes.callers["entry-2"]
    assert ask(other, next(names), "bf", budget=75) == 402
    target.close()


def test_a_call_of_a_kept_turn_and_one_of_another_route_share_the_budget(serve, entry):
    serve("model", say(*[b"x"] * 10))
    assert take_turn(entry, "bg1", b"a", "bg", budget=75)[0] == 200
    assert ask(entry, "bg2", "bg", budget=75) == 200
    assert take_turn(entry, "bg3", b"a", "bg", budget=75)[0] == 402


def test_a_program_that_names_a_larger_budget_later_keeps_the_smaller(serve, nodes):
    serve("model", say(*[b"x"] * 10))
    first, second = nodes.callers["entry-1"], nodes.callers["entry-2"]
    assert ask(first, "bh1", "bh", budget=45) == 200
    assert ask(second, "bh2", "bh", budget=9000) == 402


@pytest.mark.parametrize(
    "lines",
    [
        b"Token-Budget: many\r\n",
        b"Token-Budget: -1\r\n",
        b"Token-Budget: \xb2\r\n",
        b"Token-Budget: 9223372036854775808\r\n",
        b"Token-Budget: 100\r\nToken-Count: 100\r\n",
        b"Token-Budget: 100\r\nToken-Count: 100,-4\r\n",
        b"Token-Budget: 100\r\nToken-Count: 100,9223372036854775808\r\n",
    ],
)
def test_a_budget_that_is_none_is_bad_input(serve, entry, lines):
    target = serve("model", say(b"one"))
    headers = b"Program-Id: bi\r\n" + lines
    assert call(entry, b"/stream/x", b"bi1", b"a", headers=headers)[0] == 400
    assert call(entry, b"/turn/x", b"bi2", b"a", headers=headers)[0] == 400
    assert target.requests == []


def test_a_budget_of_nobody_is_bad_input(serve, entry):
    target = serve("model", say(b"one"))
    headers = b"Token-Budget: 100\r\nToken-Count: 100,3\r\n"
    assert call(entry, b"/stream/x", b"bj1", b"a", headers=headers)[0] == 400
    assert target.requests == []
