"""The last fault of a run, and how the time after it is judged."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from experiments.soak import final_player
from experiments.soak.ending import Ending, How
from experiments.soak.final_caller import KeptTurn, list_kept_turns
from experiments.soak.final_check import check_final
from experiments.soak.final_fault import Loss, Trigger, draw_final_fault
from experiments.soak.final_player import FinalPlayer
from experiments.soak.records import Kind, Records, Run, Try

FAILED, BACK = 100.0, 101.0
RECOVERED = BACK + 12
KEPT = [KeptTurn("t1", "p", 40)]


def add_tries(records, kind, sent_at, statuses, previous=""):
    for number, status in enumerate(statuses):
        name = f"{kind}-{sent_at}-{previous}-{number}"
        records.add_try(
            Try(name, kind, b"", status, b"", "p", previous, sent_at=sent_at)
        )
        if status == 200:
            records.add_run(Run(name, "model-0", b"", b"", at=sent_at + 0.1))


def make_records(after=(200, 200), turn=(200,), turn_at=BACK + 7, before=(200,)):
    """Calls before the fault, calls and other turns after it, and one kept turn."""
    records = Records()
    add_tries(records, Kind.AGAIN, FAILED - 1, before)
    add_tries(records, Kind.AGAIN, RECOVERED + 1, after)
    add_tries(records, Kind.TURN, RECOVERED + 1, after)
    add_tries(records, Kind.TURN, turn_at, turn, "t1")
    return records


def find(records):
    return list(check_final(records, KEPT, FAILED, BACK))


def test_a_seed_draws_the_same_last_fault_again_and_all_are_drawn():
    assert draw_final_fault(3) == draw_final_fault(3)
    drawn = [draw_final_fault(seed) for seed in range(100)]
    assert {fault.trigger for fault in drawn} == set(Trigger)
    assert {fault.loss for fault in drawn} == set(Loss)
    assert all(0.005 <= fault.delay_seconds <= 0.4 for fault in drawn)
    assert all(0 <= fault.down_seconds <= 1 for fault in drawn)


def test_a_site_that_recovers_breaks_nothing():
    assert find(make_records()) == []


@pytest.mark.parametrize("after", [(), (503, 503, 503, 503, None), (None,)])
def test_a_site_that_serves_less_than_a_quarter_is_found(after):
    (line,) = find(make_records(after=after))
    assert line.startswith("RECOVER")


@pytest.mark.parametrize(
    "more",
    [{"after": (200, 503, 503, 503)}, {"after": (503,), "before": (200, *[503] * 4)}],
)
def test_a_site_that_serves_a_quarter_or_did_not_before_is_not_found(more):
    assert find(make_records(**more)) == []


@pytest.mark.parametrize("turn", [(503, 503), (None,), (404,)])
def test_a_kept_turn_that_reaches_no_target_is_found(turn):
    (line,) = find(make_records(turn=turn))
    assert line.startswith("LOST kept turn t1")


@pytest.mark.parametrize(
    "more",
    [
        {"turn": (503, 200)},
        {"turn": (402,)},
        {"turn": (503,), "turn_at": RECOVERED + 3.1},
        {"turn": (503,), "turn_at": RECOVERED - 6.1},
        {"turn": (503,), "after": (200, 200, 200, 503)},
        {"turn": ()},
    ],
)
def test_a_kept_turn_that_is_served_or_not_owed_is_not_found(more):
    assert find(make_records(**more)) == []


def test_a_kept_turn_that_is_tried_at_the_end_only_is_found():
    (line,) = find(make_records(turn=(404,), turn_at=RECOVERED + 1))
    assert line.startswith("LOST kept turn t1")
    assert find(make_records(turn_at=RECOVERED + 1)) == []


def test_a_kept_turn_that_reaches_a_target_too_late_is_found():
    records = make_records(turn=(503,))
    add_tries(records, Kind.TURN, RECOVERED - 0.05, (200,), "t1")
    (line,) = find(records)
    assert line.startswith("LOST kept turn t1")


def test_the_last_whole_turn_of_each_program_is_kept():
    records = Records()
    records.add_program("p", 40)
    for number, (status, ended) in enumerate([(200, 1), (200, 2), (503, 3), (200, 9)]):
        ending = Ending("entry", 0, ended, ended, How.ANSWERED)
        records.add_try(
            Try(f"t{number}", Kind.TURN, b"", status, b"", "p", ending=ending)
        )
    assert list_kept_turns(records, 5.0) == [KeptTurn("t1", "p", 40)]


@pytest.mark.parametrize(
    ("statuses", "is_served"),
    [([200], True), ([None, 502, 200], True), ([404, 200], False), ([502, 404], False)],
)
def test_a_look_at_the_configuration_that_its_target_broke_off_tells_nothing(
    statuses, is_served, monkeypatch
):
    answers = iter(statuses)
    monkeypatch.setattr(final_player, "ask_newest_route", lambda *_: next(answers))
    site = SimpleNamespace(entries=["entry"], holders=[], configure=None)
    player = FinalPlayer(site, draw_final_fault(1), 1)
    assert player.serves_newest_route("entry") is is_served
