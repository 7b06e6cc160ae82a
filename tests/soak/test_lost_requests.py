"""Requests that entries in touch lose while something else is disturbed."""

from __future__ import annotations

import pytest

from experiments.soak.contact import EVERYTHING, Touch
from experiments.soak.cut_requests import CUT, check_cut, count_cut
from experiments.soak.ending import Ending, How
from experiments.soak.records import Kind, Records, Run, Try
from experiments.soak.unserved_turns import check_turns

SENT = 100.0
PLACES = 24


def make_records(*touches):
    """Another box is disturbed all the time."""
    records = Records()
    records.entry_names["address"] = "entry"
    records.disturbances[0] = (0.0, float("inf"))
    records.contact.touches += [Touch("holder", 0.0, float("inf")), *touches]
    return records


def add_cut(records, count, how=How.CLOSED, is_sound=True, ran=True, seconds=0.1):
    for number in range(count):
        ending = Ending("address", 1, SENT, SENT + seconds, how)
        name = f"u{number}"
        records.add_try(Try(name, Kind.AGAIN, b"", None, b"", ending=ending))
        if ran:
            records.add_run(Run(name, "plain-0", b"", b"", is_sound=is_sound))


@pytest.mark.parametrize("how", [How.CLOSED, How.RESET])
def test_more_than_three_requests_cut_by_an_entry_in_touch_are_found(how):
    records = make_records()
    add_cut(records, 4, how)
    (line,) = check_cut(records)
    assert line.startswith("LOST 4 requests") and "u3 by entry" in line
    assert count_cut(records) == {CUT: 4}


@pytest.mark.parametrize(
    ("touches", "more"),
    [
        ((), {"count": 3}),
        ((), {"count": 4, "ran": False}),
        ((), {"count": 4, "is_sound": False}),
        ((), {"count": 4, "seconds": 3.0}),
        ((), {"count": 4, "how": How.GIVEN_UP}),
        ((Touch("entry", SENT - 9, SENT - 2.8),), {"count": 4}),
        ((Touch("plain-0", SENT - 9, SENT - 2.8),), {"count": 4}),
        ((Touch(EVERYTHING, SENT, SENT),), {"count": 4}),
    ],
)
def test_requests_cut_out_of_touch_or_by_their_target_are_not_found(touches, more):
    records = make_records(*touches)
    add_cut(records, **more)
    assert list(check_cut(records)) == []


def test_requests_cut_just_before_their_timeout_are_found():
    records = make_records()
    add_cut(records, 4, seconds=2.99)
    assert list(check_cut(records))


def test_an_entry_is_in_touch_again_after_a_while():
    records = make_records(Touch("entry", SENT - 9, SENT - 3))
    add_cut(records, 4)
    assert list(check_cut(records))


def add_turns(records, count, first_served=10, first_unserved=1, ran=False):
    """Add the tries of one turn on a kept one, and first turns beside it."""
    records.disturbances.clear()
    records.add_try(Try("t0", Kind.TURN, b"", 200, b"", "p"))
    for number in range(count):
        sent = SENT + number / 10
        ending = Ending("address", 1, sent, sent + 0.05, How.ANSWERED)
        tried = Try(
            f"t1-{number}",
            Kind.TURN,
            b"",
            503,
            b"",
            "p",
            "t0",
            0,
            "",
            sent,
            ending,
            "t1",
        )
        records.add_try(tried)
    if ran:
        records.add_run(Run(f"t1-{count - 1}", "model-0", b"", b"", is_turn=True))
    for number in range(first_served + first_unserved):
        name = f"f{number}"
        ending = Ending("address", 1, SENT, SENT + 0.05, How.ANSWERED)
        tried = Try(name, Kind.TURN, b"", 200, b"", name, "", 0, "", SENT, ending, name)
        records.add_try(tried)
        if number < first_served:
            records.add_run(Run(name, "model-0", b"", b"", "", SENT, is_turn=True))
            records.run_ends[name, "model-0"] = SENT + 0.05


def test_a_kept_turn_that_reaches_no_target_in_five_tries_is_found():
    records = make_records()
    add_turns(records, 5)
    (line,) = check_turns(records, PLACES)
    assert line.startswith("LOST turn t1 of the kept t0")


@pytest.mark.parametrize(
    ("touches", "more"),
    [
        ((), {"count": 4}),
        ((), {"count": 6, "ran": True}),
        ((), {"count": 5, "first_unserved": 2}),
        ((Touch("entry", SENT - 9, SENT - 2.9),), {"count": 5}),
        ((Touch("entry", SENT + 0.43, SENT + 9),), {"count": 5}),
    ],
)
def test_turns_that_are_served_or_not_owed_are_not_found(touches, more):
    records = make_records(*touches)
    add_turns(records, **more)
    assert list(check_turns(records, PLACES)) == []


def test_a_try_while_targets_are_half_full_is_not_counted():
    records = make_records()
    add_turns(records, 5)
    assert list(check_turns(records, 21))
    assert list(check_turns(records, 20)) == []


def test_turns_that_a_stopping_entry_turns_away_are_not_found():
    records = make_records()
    add_turns(records, 5)
    records.contact.stops.append(Touch("other", SENT - 4, SENT - 4))
    assert list(check_turns(records, PLACES))
    records.contact.stops.append(Touch("entry", SENT - 4, SENT - 4))
    assert list(check_turns(records, PLACES)) == []


def test_turns_beside_an_unplanned_fault_are_not_found():
    records = make_records()
    add_turns(records, 5)
    records.disturbances[0] = (SENT - 9, SENT - 2.6)
    assert list(check_turns(records, PLACES)) == []
