"""What a journal brings back, and how large it is, after many restarts."""

from __future__ import annotations

import pytest
from test_turn_storage import make_storage, make_turn

from cedarchute.turns.records import Reserved, Turn

TEXT_BYTES = 10_000
BATCH = 20
LIVES = 6


def restart(folder):
    storage = make_storage(folder)
    storage.load()
    return storage


def write_batch(storage, life):
    programs = [f"p-{life}-{number}" for number in range(BATCH)]
    text = b"z" * TEXT_BYTES
    storage.write([Turn(p, f"t-{p}", "", text, b"", 3, "t", 60.0) for p in programs])
    return programs


def drop_all(storage, programs):
    for program in programs:
        storage.drop(program)
    storage.sync()


def measure(folder):
    return sum(path.stat().st_size for path in folder.glob("*.journal"))


# Restarted holders refused all turns: what had expired long ago filled their memory.
def test_programs_that_were_dropped_stay_so_after_restarts(tmp_path):
    for life in range(LIVES):
        storage = restart(tmp_path)
        assert storage.programs == {}
        assert storage.held_bytes == 0
        drop_all(storage, write_batch(storage, life))


def test_a_program_that_is_used_again_after_it_was_dropped_is_kept(tmp_path):
    storage = make_storage(tmp_path)
    storage.write([make_turn("a"), Reserved("p", "b", 10)])
    drop_all(storage, ["p"])
    storage.write([make_turn("c")])
    again = restart(tmp_path)
    assert list(again.programs["p"].completed) == ["c"]
    assert again.programs["p"].open == {}
    assert again.held_bytes == storage.held_bytes


@pytest.mark.parametrize("is_dropped", [True, False])
def test_programs_dropped_during_a_compaction_stay_so(tmp_path, is_dropped):
    storage = make_storage(tmp_path)
    programs = write_batch(storage, 0)
    write = storage.writer.write

    def drop_meanwhile(records):
        write(records)
        if is_dropped and programs[0] in storage.programs:
            drop_all(storage, programs[::2])

    storage.writer.write = drop_meanwhile
    storage.compact()
    kept = set(programs[1::2] if is_dropped else programs)
    assert set(restart(tmp_path).programs) == kept


# The journal grew with each restart: only what one process had appended was counted.
def test_what_earlier_processes_left_counts_as_waste(tmp_path):
    for life in range(LIVES):
        storage = restart(tmp_path)
        drop_all(storage, write_batch(storage, life))
    storage = restart(tmp_path)
    live = write_batch(storage, LIVES)
    assert storage.wasted_bytes > LIVES * BATCH * TEXT_BYTES
    before = measure(tmp_path)
    assert storage.writer.journal.stored_bytes == before
    storage.compact()
    assert storage.wasted_bytes == 0
    assert storage.writer.journal.stored_bytes == measure(tmp_path) < before / LIVES * 2
    assert set(restart(tmp_path).programs) == set(live)


def test_what_is_alive_is_no_waste(tmp_path):
    storage = make_storage(tmp_path)
    for life in range(LIVES):
        write_batch(storage, life)
    storage.compact()
    assert storage.wasted_bytes == 0
    again = restart(tmp_path)
    assert abs(again.wasted_bytes) < 0.1 * again.writer.journal.stored_bytes
    write_batch(again, LIVES)
    assert again.wasted_bytes > BATCH * TEXT_BYTES


def test_a_state_without_records_leaves_nothing_in_the_journal(tmp_path):
    storage = make_storage(tmp_path)
    storage.get_or_create("p").mark_asked()
    drop_all(storage, ["p"])
    assert measure(tmp_path) == 0
