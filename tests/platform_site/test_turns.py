"""Turns of programs: chains, budgets, streams, across lost boxes."""

from __future__ import annotations

import threading
import time

import pytest
from conftest_nodes import wait_known

from experiments.raw_caller import RawCaller, build_request, call
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, chunk, event, reset, stream_head

EVENT_TOKENS = 3


def say(*words):
    """Return a script that answers with one event for each word."""

    def script(request, connection):
        connection.sendall(stream_head(request))
        for number, word in enumerate(words):
            connection.sendall(chunk(event(number, word)))
        connection.sendall(LAST_CHUNK)

    return script


def turn_headers(program, previous="", budget=1000, most=30):
    lines = [f"Program-Id: {program}", f"Token-Count: 100,{most}"]
    if budget is not None:
        lines.append(f"Token-Budget: {budget}")
    if previous:
        lines.append(f"Previous-Turn: {previous}")
    return "".join(line + "\r\n" for line in lines).encode()


def take_turn(address, turn, body, program, **terms):
    headers = turn_headers(program, **terms)
    return call(address, b"/turn/x", turn.encode(), body, headers=headers)


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


@pytest.fixture
def turn_nodes(own_nodes):
    """Boxes that a test may break, before a target that says one word."""
    own_nodes.target = RawTarget(say(b"one"))
    own_nodes.target.id = "t-own"
    own_nodes.add_target("t-own", "model", own_nodes.target.address)
    wait_known(own_nodes, [own_nodes.target])
    return own_nodes


def count_caught_up(process):
    return process.read_log().count('"Caught up."')


def wait_served(site, turn, previous, program="p", **terms):
    """Take a turn until it is served; every refusal on the way is a 503."""
    address = site.callers["entry-1"]
    tries = []

    def take():
        name = f"{turn}-{len(tries)}"
        status = take_turn(address, name, b"b", program, previous=previous, **terms)[0]
        tries.append(status)
        assert status in (200, 503), tries
        return name if status == 200 else None

    return wait_until(take, f"{turn} is served", 40)


def test_turns_go_on_while_one_holder_is_lost(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    for name in ("holder-1", "holder-2", "holder-3"):
        site.kill(name)
        wait_served(site, f"without-{name}", "a")
        site.restart(name)
        wait_until(lambda n=name: site.answers(site.peers[n], "/metrics"), "it is back")
    assert site.target.requests[-1].body == b"aone\nb"


def test_turns_outlast_the_loss_of_every_process(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p", budget=9)[0] == 402
    assert take_turn(site.callers["entry-1"], "b", b"a", "p", budget=30)[0] == 200
    names = [*site.peers]
    for name in names:
        site.kill(name)
    for name in names:
        site.restart(name)
    site.wait_ready()
    wait_served(site, "c", "b", budget=36)
    assert take_turn(site.callers["entry-2"], "d", b"a", "p", budget=33)[0] == 402


def test_a_disk_that_was_lost_is_filled_again_before_another_goes(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    for name in ("holder-1", "holder-2", "holder-3"):
        site.kill(name)
        for path in (site.folder / f"{name}-data").iterdir():
            path.unlink()
        site.restart(name)
        log = site.processes[name]
        # The first line is of its first start, when all disks were empty.
        wait_until(lambda g=log: count_caught_up(g) == 2, f"{name} caught up")
        wait_served(site, f"after-{name}", "a")
    assert site.target.requests[-1].body == b"aone\nb"


def test_a_holder_at_another_address_takes_the_seat_of_one_that_is_gone(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.kill("holder-2")
    site.start_holder("holder-4", "b")
    log = site.processes["holder-4"]
    wait_until(lambda: "Caught up." in log.read_log(), "holder-4 caught up", 60)
    site.kill("holder-1")
    wait_served(site, "b", "a")
    assert site.target.requests[-1].body == b"aone\nb"


def test_a_holder_to_be_emptied_hands_over_what_it_has(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.write("op/retire/holder-1", {"DurationS": 10})
    wait_until(
        lambda: "completed" in (site.read("status/retire/holder-1") or ""),
        "holder-1 is empty",
    )
    site.kill("holder-1")
    wait_served(site, "b", "a")


def test_turns_go_on_while_the_store_is_away(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.switch_store(down=True)
    wait_until(
        lambda: "Store lost." in site.processes["entry-1"].read_log(), "it is noticed"
    )
    site.kill("holder-3")
    wait_served(site, "b", "a")
    site.restart("holder-3")
    wait_served(site, "c", "a")
