"""Each broken promise is found, and nothing else."""

from __future__ import annotations

import pytest

from experiments.soak.contact import Touch
from experiments.soak.ending import Ending, How
from experiments.soak.promises import find_broken
from experiments.soak.records import Kind, Records, Run, Try
from experiments.soak.unanswered import Unanswered, count_unanswered

MOST = 12
PLACES = 24


def stream(*words):
    return b"".join(b"id: 0\ndata: %s\n\n" % word for word in words)


def make_records():
    """Two turns and two plain calls, all of them as they should be."""
    records = Records()
    records.add_program("p", 40)
    first, second = stream(b"a", b"b"), stream(b"c")
    records.add_run(Run("t1", "m-0", b"one", first))
    records.add_try(Try("t1", Kind.TURN, b"one", 200, first, "p", "", 6))
    records.add_run(Run("t2", "m-1", b"onea\nb\ntwo", second))
    records.add_try(Try("t2", Kind.TURN, b"two", 200, second, "p", "t1", 3))
    records.add_run(Run("o1", "s-0", b"x", b"made"))
    records.add_try(Try("o1", Kind.ONCE, b"x", 200, b"made"))
    records.passing.note_gone("g", 10.0)
    records.add_run(Run("k1", "s-0", b"x", b"made", "main", 15.1))
    early = Try("k1", Kind.ONCE, b"x", 200, b"made", key="g", sent_at=14.9)
    records.add_try(early)
    records.add_run(Run("g1", "s-0", b"y", b"first"))
    records.add_run(Run("g1", "s-1", b"y", b"second"))
    records.add_try(Try("g1", Kind.AGAIN, b"y", 200, b"second"))
    return records


def test_a_sound_run_breaks_nothing():
    assert find_broken(make_records(), MOST, PLACES) == []


@pytest.mark.parametrize(
    ("run", "tried", "word"),
    [
        (Run("x", "s-0", b"", b""), None, "UNASKED"),
        (Run("o1", "s-1", b"x", b"made"), None, "TWICE"),
        (Run("t1", "m-1", b"one", b""), None, "TWICE"),
        (Run("g1", "s-2", b"other", b""), None, "UNASKED"),
        (None, Try("o1", Kind.ONCE, b"x", 200, b"foreign"), "MIXED"),
        (None, Try("n1", Kind.ONCE, b"x", 200, b"never made"), "MIXED"),
        (None, Try("o1", Kind.ONCE, b"x", 503, b""), "REFUSED"),
        (None, Try("t2", Kind.TURN, b"two", 402, b"", "p", "t1"), "REFUSED"),
        (None, Try("t3", Kind.TURN, b"z", 404, b"", "p", "t2"), "LOST"),
        (Run("t1", "m-0", b"other", b""), None, "history"),
        (None, Try("o1", Kind.ONCE, b"x", 200, b"made", key="k"), "UNASKED"),
        (
            None,
            Try("k1", Kind.ONCE, b"x", 200, b"made", key="g", sent_at=16),
            "REVOKED",
        ),
        (None, Try("t9", Kind.TURN, b"", None, b"", "p", "t2", 44), "BUDGET"),
    ],
)
def test_a_broken_promise_is_found(run, tried, word):
    records = make_records()
    if run is not None:
        records.add_run(run)
    if tried is not None:
        records.add_try(tried)
    assert any(word in line for line in find_broken(records, MOST, PLACES))


def test_what_is_allowed_is_not_found():
    records = make_records()
    records.add_try(Try("t3", Kind.TURN, b"z", 404, b"", "p", "never"))
    records.add_try(Try("t4", Kind.TURN, b"z", 503, b"", "p", "t2"))
    records.add_try(Try("o2", Kind.ONCE, b"z", None, b""))
    records.add_try(Try("t5", Kind.TURN, b"", None, b"", "p", "t2", 40 + MOST - 9))
    assert find_broken(records, MOST, PLACES) == []


@pytest.mark.parametrize(("count", "is_broken"), [(34, False), (35, True)])
def test_a_span_with_too_many_calls_of_a_limited_workspace_is_found(count, is_broken):
    records = make_records()
    for number in range(count):
        name = f"q{number}"
        run = Run(name, "s-0", b"x", b"made", "limited", 1.0 + number / 100)
        records.add_run(run)
        records.add_try(Try(name, Kind.ONCE, b"x", 200, b"made"))
    assert bool(find_broken(records, MOST, PLACES)) is is_broken


def test_a_span_with_too_many_runs_tells_of_how_many_calls():
    records = make_records()
    for number in range(40):
        name = f"q{number // 2}"
        run = Run(name, "s-0", b"x", b"made", "limited", 1.0 + number / 100)
        records.add_run(run)
        records.add_try(Try(name, Kind.AGAIN, b"x", 200, b"made"))
    (line,) = find_broken(records, MOST, PLACES)
    assert line.startswith("QUOTA 35 runs of 18 calls")


SENT = 100.0


def add_unanswered(records, seconds, how=How.CLOSED, number=3, name="u1", **more):
    """Add a request whose connection ended some time after its last byte."""
    records.entry_names["address"] = "entry"
    ending = Ending("address", number, SENT, SENT + seconds, how, **more)
    records.add_try(Try(name, Kind.AGAIN, b"x", None, b"", ending=ending))


def run_unanswered(records, is_sound=True, name="u1"):
    records.add_run(Run(name, "s-0", b"x", b"made", is_sound=is_sound))


@pytest.mark.parametrize("how", [How.CLOSED, How.RESET])
@pytest.mark.parametrize(
    ("seconds", "number", "ran", "why"),
    [
        (0.01, 3, True, Unanswered.AFTER_RUN),
        (2.9, 3, True, Unanswered.AFTER_RUN),
        (0.21, 3, False, Unanswered.HELD),
        (0.01, 0, False, Unanswered.NEW_CONNECTION),
    ],
)
def test_a_request_that_ended_without_an_answer_is_found(
    how, seconds, number, ran, why
):
    records = make_records()
    add_unanswered(records, seconds, how, number)
    if ran:
        run_unanswered(records)
    (line,) = find_broken(records, MOST, PLACES)
    assert line.startswith("LOST u1") and str(why) in line
    assert count_unanswered(records) == {str(why): 1}


@pytest.mark.parametrize(
    ("idle_seconds", "stopped_at", "is_broken"),
    [
        (0.21, SENT - 8.9, False),
        (0.21, SENT, False),
        (0.19, SENT - 1, True),
        (0.21, SENT - 9.1, True),
        (0.21, SENT + 0.001, True),
    ],
)
def test_a_first_request_may_cross_the_close_of_an_idle_connection_in_a_stop(
    idle_seconds, stopped_at, is_broken
):
    records = make_records()
    stop = Touch("entry", stopped_at, stopped_at)
    records.contact.stops += [stop, Touch("other", SENT - 1, SENT - 1)]
    add_unanswered(records, 0.01, number=0, idle_seconds=idle_seconds)
    assert bool(find_broken(records, MOST, PLACES)) is is_broken


def test_a_first_request_that_ran_did_not_cross_a_close():
    records = make_records()
    records.contact.stops.append(Touch("entry", SENT - 1, SENT - 1))
    add_unanswered(records, 0.01, number=0, idle_seconds=3.0)
    run_unanswered(records)
    (line,) = find_broken(records, MOST, PLACES)
    assert str(Unanswered.AFTER_RUN) in line


@pytest.mark.parametrize(
    ("send_seconds", "is_broken"), [(0.0, True), (0.12, True), (0.13, False)]
)
def test_a_caller_that_stood_still_while_it_sent_took_a_timeout_for_a_cut(
    send_seconds, is_broken
):
    records = make_records()
    add_unanswered(records, 2.872, send_seconds=send_seconds)
    run_unanswered(records)
    assert bool(find_broken(records, MOST, PLACES)) is is_broken


def test_an_answer_that_broke_off_after_it_began_is_found():
    records = make_records()
    add_unanswered(records, 0.05, answer_bytes=40)
    run_unanswered(records)
    (line,) = find_broken(records, MOST, PLACES)
    assert "40 bytes of an answer" in line


@pytest.mark.parametrize(
    ("seconds", "how", "more", "why"),
    [
        (0.01, How.CLOSED, {}, Unanswered.AT_CLOSE),
        (0.01, How.RESET, {}, Unanswered.AT_CLOSE),
        (0.01, How.CLOSED, {"was_closed": True}, Unanswered.CLOSED_BEFORE),
        (0.01, How.RESET, {"number": 0, "is_direct": False}, Unanswered.AT_CLOSE),
        (0.01, How.CLOSED, {"number": 0, "was_closed": True}, Unanswered.CLOSED_BEFORE),
        (4.0, How.GIVEN_UP, {}, Unanswered.GIVEN_UP),
        (3.0, How.CLOSED, {}, Unanswered.TIMEOUT),
        (2.9, How.CLOSED, {"send_seconds": 0.11}, Unanswered.TIMEOUT),
    ],
)
def test_a_request_that_is_not_judged_is_counted(seconds, how, more, why):
    records = make_records()
    add_unanswered(records, seconds, how, **more)
    assert find_broken(records, MOST, PLACES) == []
    assert count_unanswered(records) == {str(why): 1}


def test_a_request_that_its_target_broke_off_is_counted():
    records = make_records()
    add_unanswered(records, 0.5)
    run_unanswered(records, is_sound=False)
    assert find_broken(records, MOST, PLACES) == []
    assert count_unanswered(records) == {str(Unanswered.TARGET): 1}


@pytest.mark.parametrize(
    ("began", "ended", "is_broken"),
    [
        (SENT - 9, SENT - 3.1, True),
        (SENT - 9, SENT - 2.9, False),
        (SENT + 0.1, SENT + 0.2, False),
        (SENT - 9, float("inf"), False),
        (SENT + 0.6, SENT + 9, True),
    ],
)
def test_only_requests_beside_planned_work_alone_are_judged(began, ended, is_broken):
    records = make_records()
    records.disturbances[0] = (began, ended)
    add_unanswered(records, 0.5)
    assert bool(find_broken(records, MOST, PLACES)) is is_broken
    assert bool(count_unanswered(records)[Unanswered.DISTURBED]) is not is_broken


def test_a_request_that_found_no_connection_is_none():
    records = make_records()
    records.add_try(Try("u1", Kind.AGAIN, b"x", None, b""))
    assert not count_unanswered(records)
