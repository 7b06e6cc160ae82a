"""Chains that lead back into themselves, since a caller reused the id of a turn."""

from __future__ import annotations

from itertools import permutations

import pytest
from test_seat_changes import site
from test_turn_storage import make_storage, make_turn

from cedarchute.metrics import Metrics
from cedarchute.pressure.held_byte_account import HeldByteAccount
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.turns.chain_reader import ChainLoopError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.records import Turn
from cedarchute.turns.turn_quorum import READ_COPIES, SMALL_HISTORY_BYTES

__all__ = ["site"]

BOXES = ("a", "b", "c", "d", "e", "f")
LARGE = b"z" * SMALL_HISTORY_BYTES


@pytest.fixture
def formed(site):
    site.form(*BOXES)
    return site


def find_programs(site, apart):
    """Return two programs that have no seat in common, or only such seats."""
    seats = {f"p{n}": frozenset(site.table.find_seats(f"p{n}")) for n in range(200)}
    return next(
        (one, two)
        for one, two in permutations(seats, 2)
        if (not seats[one] & seats[two] if apart else seats[one] == seats[two])
    )


def keep_loop(site, apart):
    one, two = find_programs(site, apart)
    site.keep(make_turn("first", "", one))
    site.keep(make_turn("second", "first", two))
    return one, two


# A box that was asked for such a turn read its chain until its memory was used up.
@pytest.mark.parametrize("apart", [True, False])
@pytest.mark.parametrize("previous", ["first", "second"])
def test_a_turn_after_a_loop_of_turns_is_refused(formed, apart, previous):
    one, two = keep_loop(formed, apart)
    formed.keep(make_turn("first", "second", one))
    for program in (one, two, "another"):
        with pytest.raises(ChainLoopError):
            formed.quorum().begin(program, "next", 10, previous, None)


@pytest.mark.parametrize("apart", [True, False])
def test_a_turn_that_would_close_a_loop_does_not_run(formed, apart):
    one, two = keep_loop(formed, apart)
    for previous in ("first", "second"):
        with pytest.raises(ChainLoopError):
            formed.quorum().begin(one, "first", 10, previous, None)
    admission = formed.quorum().begin(two, "third", 10, "second", None)
    assert admission.text == b"in-firstout-firstin-secondout-second"


def test_a_turn_is_tried_again_under_its_id(formed):
    one, two = keep_loop(formed, apart=True)
    admission = formed.quorum().begin(two, "second", 10, "first", None)
    assert admission.text == b"in-firstout-first"
    assert formed.quorum().begin(one, "first", 10, "", None).text == b""


def test_a_turn_of_the_same_id_in_another_program_is_no_loop_of_its_own(formed):
    one, two = find_programs(formed, apart=True)
    for program in (one, two):
        formed.keep(make_turn("first", "", program))
        formed.keep(make_turn("second", "first", program))
    for program in (one, two):
        begun = formed.quorum().begin(program, "third", 10, "second", None)
        assert begun.programs == (program,)


def test_a_chain_stops_at_a_turn_that_it_has_passed(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a", "c"), make_turn("b", "a"), make_turn("c", "b")])
    chain, missing = storage.collect_chain("c")
    assert [turn.turn for turn in chain] == ["a", "b", "c"]
    assert missing == "c"


# The parts of a text that lie at several holders were counted nowhere.
def test_a_text_in_parts_is_read_only_while_there_is_room(formed):
    names = [find_programs(formed, apart=True)[n % 2] for n in range(4)]
    for number, program in enumerate(names):
        previous = f"t{number - 1}" if number else ""
        turn = Turn(program, f"t{number}", previous, LARGE, b"", 1, "target", 60.0)
        formed.keep(turn)
    quorum = formed.quorum()
    quorum.held = HeldByteAccount(20 * READ_COPIES * len(LARGE), Metrics())
    assert quorum.begin("other", "u", 10, "t3", None).text == LARGE * len(names)
    assert quorum.held.total == 0
    with (
        quorum.held.holding(HeldCause.REQUEST_BODY, 18 * READ_COPIES * len(LARGE)),
        pytest.raises(NoQuorumError, match="no room"),
    ):
        quorum.begin("other", "v", 10, "t3", None)
