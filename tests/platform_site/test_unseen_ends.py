"""Requests under which targets end in ways that a refused connection doesn't show."""

from __future__ import annotations

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest_nodes import make_route
from fatal_site import (
    ENDS_ALLOWED,
    FATAL,
    add_targets,
    count_late_sends,
    count_sends,
    end_starts,
    send_and_leave,
    send_attempts,
    start_entries,
)
from turn_callers import say, take_turn

from experiments.raw_caller import call
from standins.ending import Ending
from standins.raw_target import chunk, event, stream_head

# How long a caller of a target that may be silent waits.
PATIENCE_MS = 1500
RUNS_ON_SECONDS = 0.4
LEAVES_AFTER_SECONDS = 0.3


@pytest.fixture
def site(tmp_path):
    with start_entries(tmp_path / "nodes") as site:
        yield site


@pytest.mark.parametrize("ending", Ending)
def test_a_request_is_sent_to_no_fourth_target_however_three_ended(site, ending):
    targets = add_targets(site, 10, ending=ending)
    statuses = send_attempts(site, FATAL, 4, patience=PATIENCE_MS)
    assert not {200, 404} & set(statuses)
    assert count_sends(targets) == ENDS_ALLOWED


@pytest.mark.parametrize("ending", Ending)
def test_a_turn_is_sent_to_no_fourth_target_however_three_ended(own_nodes, ending):
    end_starts(own_nodes)
    targets = add_targets(own_nodes, 8, "model", ending=ending)
    entries = itertools.cycle(own_nodes.callers.values())
    for number in range(6):
        turn = f"t-{number}"
        status = take_turn(next(entries), turn, FATAL, "p", patience=PATIENCE_MS)[0]
        assert status >= 500
    assert count_sends(targets) == ENDS_ALLOWED


def begin_stream(request, connection):
    connection.sendall(stream_head(request) + chunk(event(0, b"word")))
    time.sleep(0.02)


@pytest.mark.parametrize("ending", Ending)
def test_a_turn_whose_streams_broke_off_is_sent_to_no_fourth_target(own_nodes, ending):
    end_starts(own_nodes)
    targets = add_targets(own_nodes, 8, "model", say(b"word"), ending=ending)
    for target in targets:
        target.before_end = begin_stream
    entries = itertools.cycle(own_nodes.callers.values())
    for number in range(6):
        try:
            take_turn(next(entries), f"t-{number}", FATAL, "p", patience=PATIENCE_MS)
        except (AssertionError, OSError):
            continue  # Cut within the stream.
    assert count_sends(targets) == ENDS_ALLOWED


@pytest.mark.parametrize("max_attempts", [2, 3])
def test_attempts_side_by_side_send_nothing_after_the_third_end(tmp_path, max_attempts):
    route = make_route("/again/", "idempotent", "plain", MaxAttempts=max_attempts)
    with start_entries(tmp_path / "nodes", [route]) as site:
        targets = add_targets(site, 12)
        for round_ in range(3):
            with ThreadPoolExecutor(3) as pool:
                tasks = [
                    pool.submit(
                        call, entry, b"/again/x", f"{name}-{round_}".encode(), FATAL
                    )
                    for name, entry in list(site.callers.items())[:3]
                ]
                assert all(task.result()[0] >= 500 for task in tasks)
        assert count_late_sends(targets) == 0


@pytest.mark.parametrize(
    "ending", [Ending.LISTENER_FIRST, Ending.ORDERLY, Ending.REBORN, Ending.DARK]
)
def test_a_request_whose_caller_left_before_each_end_is_not_sent_on(site, ending):
    targets = add_targets(site, 10, ending=ending)
    for target in targets:
        target.before_end = lambda request, connection: time.sleep(RUNS_ON_SECONDS)
    entries = itertools.cycle(site.callers.values())
    for number in range(6):
        call_id = f"left-{number}".encode()
        send_and_leave(next(entries), b"/again/x", call_id, FATAL, LEAVES_AFTER_SECONDS)
    time.sleep(RUNS_ON_SECONDS)
    assert count_late_sends(targets) == 0
