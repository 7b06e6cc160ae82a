"""Turns of several programs with the same id: callers choose the ids."""

from __future__ import annotations

import pytest
from test_catch_up import DirectClient, make_catch_up
from test_holder import begin, make_holder
from test_seat_changes import site
from test_turn_storage import make_storage, make_turn

from cedarchute.metrics import Metrics
from cedarchute.turns.copy_messages import ProgramIndex, RecordIndex, TurnsRead
from cedarchute.turns.disk_location import DiskLocation
from cedarchute.turns.program_key import make_program_key
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.turn_index import TurnIndex

__all__ = ["DirectClient", "make_catch_up", "site"]

PAIRS = 12
BOXES = ("a", "b", "c", "d")


def keep_pairs(site):
    """Keep pairs of turns with one id, each in two programs with other seats."""
    kept = [
        site.keep(make_turn(f"t{n}", "", f"{half}-{n}"))
        for n in range(PAIRS)
        for half in ("one", "two")
    ]
    seats = {t.program: tuple(site.table.find_seats(t.program)) for t in kept}
    assert any(seats[f"one-{n}"] != seats[f"two-{n}"] for n in range(PAIRS))
    return kept


# A disk that was lost never served again: its copy failed at a turn whose id two
# programs had used.
def test_every_disk_that_is_lost_is_complete_again_after_ids_were_reused(site):
    site.form(*BOXES)
    kept = keep_pairs(site)
    for name in BOXES:
        site.kill(name)
        site.wipe(name)
        site.start(name)
        site.settle()
        assert site.boxes[name].holder.caught_up
    assert [site.read(turn) for turn in kept] == [t.input + t.output for t in kept]


def test_a_disk_that_missed_writes_gets_every_turn_of_a_reused_id(site):
    site.form(*BOXES)
    kept = keep_pairs(site)
    for _ in range(8):
        for box in site.boxes.values():
            box.exchange.step()
    for turn in kept:
        stored = [
            box.storage.find_turn_of(turn.program, turn.turn) == turn
            for box in site.boxes.values()
        ]
        assert stored.count(True) >= len(site.table.find_seats(turn.program))


# A turn was answered 404 once another program with a turn of its id had expired.
@pytest.mark.parametrize("dropped", ["one", "two"])
def test_a_turn_outlives_another_of_its_id_that_expires(tmp_path, dropped):
    storage = make_storage(tmp_path)
    storage.write([make_turn("t", "", "one"), make_turn("t", "", "two")])
    storage.drop(dropped)
    chain, missing = storage.collect_chain("t")
    assert [turn.program for turn in chain] == [{"one": "two", "two": "one"}[dropped]]
    assert not missing
    storage.drop({"one": "two", "two": "one"}[dropped])
    assert storage.held_bytes == 0


@pytest.mark.parametrize("program", ["one", "two"])
def test_a_program_continues_its_own_turn(tmp_path, program):
    storage = make_storage(tmp_path)
    storage.write([make_turn("t", "", "one"), make_turn("t", "", "two")])
    storage.write([make_turn("u", "t", "two"), make_turn("u", "t", "one")])
    chain, _ = storage.collect_chain("u", program)
    assert [turn.program for turn in chain] == [program, program]


# Another workspace with a turn of the same id made the next turn get 404.
def test_the_turn_of_another_workspace_hides_none(site):
    site.form(*BOXES)
    own, foreign = (make_program_key(name, "p") for name in ("own", "foreign"))
    for program in (foreign, own):
        site.keep(make_turn("t", "", program))
    for program in (own, foreign):
        for holder in site.boxes.values():
            chain, _ = holder.storage.collect_chain("t", program)
            assert {turn.program for turn in chain} <= {program}
        begun = site.quorum().begin(program, "u", 10, "t", None)
        assert begun.programs == (program,)


def test_a_chain_never_goes_on_in_another_workspace(tmp_path):
    holder = make_holder(tmp_path)
    own, foreign = (make_program_key(name, "p") for name in ("own", "foreign"))
    holder.storage.write([make_turn("t", "", foreign), make_turn("u", "t", own)])
    chain, missing = holder.storage.collect_chain("u", own)
    assert [turn.program for turn in chain] == [own]
    assert missing == "t"
    # The program of this turn has no workspace.
    begun = begin(holder, "v", "u")
    assert (begun.text, begun.missing) == (b"", "u")


def test_programs_of_one_workspace_continue_their_own_turns(site):
    site.form(*BOXES)
    programs = {f"p{n}" for n in range(6)}
    for program in sorted(programs):
        site.keep(make_turn("t", "", program))
    quorum = site.quorum()
    begun = [quorum.begin(p, f"next-{p}", 10, "t", None).programs for p in programs]
    assert begun == [(program,) for program in programs]


class OlderSource:
    """A holder of an earlier version, which finds turns by their ids alone."""

    def ask(self, address, path, message, answer):
        if path == "/turns/read":
            return TurnsRead((make_turn("t", "", "other"),), 1)
        index = ProgramIndex("p", 0.0, None, {}, {}, ("t",))
        return RecordIndex((index,), "process", 1, is_last=True, is_complete=True)


def test_a_turn_of_another_program_from_an_earlier_version_is_left_out(site, tmp_path):
    site.form("a", "b", "c")
    (tmp_path / "copy").mkdir()
    storage = make_storage(tmp_path / "copy")
    source = DiskLocation("a", "127.0.0.1:1", "disk-a")
    assert RecordPuller(OlderSource(), storage, Metrics()).pull(source, site.table, 0)
    assert storage.programs == {}


def test_the_index_keeps_every_program_of_an_id():
    index = TurnIndex()
    for program in ("one", "two", "three", "two"):
        index.add("t", program)
    assert len(index) == 3
    index.remove("t", "one")
    assert index.find("t") == "two"
    assert index.find("t", "three") == "three"
    index.remove("t", "three")
    index.remove("t", "none")
    assert (index.find("t"), index.further) == ("two", {})
    index.remove("t", "two")
    assert (index.find("t"), len(index)) == (None, 0)
