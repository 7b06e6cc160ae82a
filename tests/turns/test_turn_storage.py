from __future__ import annotations

import os

import eventlet
import pytest

from cedarchute.metrics import Metrics
from cedarchute.turns import turn_journal
from cedarchute.turns.group_commit_writer import GroupCommitWriter
from cedarchute.turns.program_state import ProgramState
from cedarchute.turns.records import Reserved, Settled, Turn
from cedarchute.turns.turn_journal import TurnJournal
from cedarchute.turns.turn_storage import TurnStorage


def make_storage(folder):
    return TurnStorage(GroupCommitWriter(TurnJournal(folder), Metrics()))


def make_turn(name, previous="", program="p", tokens=3):
    text = name.encode()
    return Turn(
        program, name, previous, b"in-" + text, b"out-" + text, tokens, "t", 60.0
    )


def test_a_chain_is_told_oldest_first(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a"), make_turn("b", "a"), make_turn("c", "b")])
    chain, missing = storage.collect_chain("c")
    assert [turn.turn for turn in chain] == ["a", "b", "c"]
    assert missing == ""


def test_a_chain_goes_on_across_programs(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a", program="old"), make_turn("b", "a", program="new")])
    chain, missing = storage.collect_chain("b")
    assert [turn.program for turn in chain] == ["old", "new"]
    assert missing == ""


def test_a_chain_with_a_gap_tells_what_lacks(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("c", "b")])
    chain, missing = storage.collect_chain("c")
    assert [turn.turn for turn in chain] == ["c"]
    assert missing == "b"


def test_an_unknown_turn_is_no_fault_whatever_programs_there_are(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([Reserved("", "x", 1)])
    assert storage.collect_chain("unknown") == ([], "unknown")


def test_what_was_taken_is_there_after_a_restart(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a"), Reserved("p", "b", 10), Reserved("p", "c", 10)])
    storage.write([Settled("p", "c", 4)])
    again = make_storage(tmp_path)
    again.load()
    assert again.get_or_create("p").open == {"b": 10}
    assert again.get_or_create("p").settled == {"a": 3, "c": 4}
    assert again.collect_chain("a")[0][0].input == b"in-a"


def test_a_torn_tail_loses_only_itself(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a")])
    storage.write([make_turn("b", "a")])
    segment = next(tmp_path.glob("*.journal"))
    data = segment.read_bytes()
    first = data.index(b"\n") + 1
    segment.write_bytes(data[:first] + b"\0" * 20 + data[first + 20 :] + b"0123")
    again = make_storage(tmp_path)
    again.load()
    assert list(again.get_or_create("p").completed) == ["a"]
    again.write([make_turn("c", "a")])
    third = make_storage(tmp_path)
    third.load()
    assert list(third.get_or_create("p").completed) == ["a", "c"]


def test_a_late_reservation_does_not_open_a_settled_turn(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([Settled("p", "a", 2)])
    storage.write([Reserved("p", "a", 50)])
    assert storage.get_or_create("p").spent == 2


def test_compaction_keeps_what_is_alive(tmp_path):
    storage = make_storage(tmp_path)
    for number in range(20):
        storage.write([make_turn(f"t{number}", f"t{number - 1}" if number else "")])
    before = sum(path.stat().st_size for path in tmp_path.glob("*.journal"))
    storage.write([Reserved("over", "x", 1)] * 200)
    del storage.programs["over"]
    storage.compact()
    after = sum(path.stat().st_size for path in tmp_path.glob("*.journal"))
    assert after <= before
    again = make_storage(tmp_path)
    again.load()
    assert len(again.collect_chain("t19")[0]) == 20


def test_the_smallest_budget_named_outlasts_compaction(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([Reserved("p", "a", 10, 900), Reserved("p", "b", 10, 50)])
    storage.write(
        [Settled("p", "a", 3), Settled("p", "b", 3), Reserved("p", "c", 1, 70)]
    )
    again = ProgramState()
    for record in storage.get_or_create("p").list_records("p"):
        again.apply(record)
    assert again.budget == 50
    assert again.spent == storage.get_or_create("p").spent == 7
    storage.write([Settled("p", "c", 1)])
    settled = ProgramState()
    for record in reversed(storage.get_or_create("p").list_records("p")):
        settled.apply(record)
    assert settled.budget == 50
    assert settled.spent == 7


def test_a_write_that_fails_midway_spoils_no_later_record(tmp_path, monkeypatch):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a")])
    file = storage.writer.journal.file
    write = os.write

    def write_half(descriptor, data):
        if descriptor != file:
            return write(descriptor, data)
        if len(data) < 50:
            raise OSError("no room")
        return write(descriptor, data[: len(data) // 2])

    with monkeypatch.context() as patch:
        patch.setattr(turn_journal.os, "write", write_half)
        with pytest.raises(OSError, match="no room"):
            storage.write([make_turn("b", "a")])
    storage.write([make_turn("c", "a")])
    again = make_storage(tmp_path)
    again.load()
    assert list(again.get_or_create("p").completed) == ["a", "c"]


def test_a_segment_that_cannot_be_opened_closes_no_other_file(tmp_path, monkeypatch):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a")])
    storage.writer.journal.written = turn_journal.SEGMENT_BYTES + 1
    file = storage.writer.journal.file

    def fail(*arguments):
        raise OSError("no room")

    with monkeypatch.context() as patch:
        patch.setattr(turn_journal.os, "open", fail)
        with pytest.raises(OSError, match="no room"):
            storage.write([make_turn("b", "a")])
    with (tmp_path / "other").open("wb") as other:
        assert other.fileno() == file
        storage.write([make_turn("c", "a")])
        other.write(b"still open")
    assert (tmp_path / "other").read_bytes() == b"still open"


@pytest.mark.parametrize("in_new_segment", [False, True])
def test_no_record_is_acknowledged_in_a_segment_whose_name_was_not_synced(
    tmp_path, monkeypatch, in_new_segment
):
    journal = turn_journal.TurnJournal(tmp_path)
    synced = []

    def fail_once(folder):
        synced.append(journal.sequence)
        if len(synced) == 1:
            raise OSError("no room")

    monkeypatch.setattr(turn_journal, "sync_folder", fail_once)
    with pytest.raises(OSError, match="no room"):
        journal.write(b"a", in_new_segment)
    journal.write(b"b")
    assert synced[1:] == [journal.sequence]


class GreenJournal(turn_journal.TurnJournal):
    """Yields to other green threads while a segment is being opened."""

    def append(self, lines, *arguments):
        self.write(b"".join(lines), *arguments)
        return self.sequence

    def open_segment(self):
        super().open_segment()
        eventlet.sleep(0.01)
        self.written = 0


def test_compaction_beside_a_full_segment_keeps_every_record(tmp_path):
    storage = TurnStorage(GroupCommitWriter(GreenJournal(tmp_path), Metrics()))
    storage.write([make_turn("a")])
    storage.writer.journal.written = turn_journal.SEGMENT_BYTES + 1
    writing = eventlet.spawn(storage.write, [make_turn("b", "a")])
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert storage.writer.journal.sequence == 2
    storage.compact()
    writing.wait()
    again = make_storage(tmp_path)
    again.load()
    assert list(again.get_or_create("p").completed) == ["a", "b"]
