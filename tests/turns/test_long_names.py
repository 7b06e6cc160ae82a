"""What holders keep and send where callers choose long names."""

from __future__ import annotations

import gc
import tracemalloc

import msgspec
import pytest
from test_expiry import RETENTION_SECONDS, clock, expire
from test_expiry import site as expiring
from test_holder import make_holder
from test_seat_changes import site
from test_turn_storage import make_storage, make_turn

from cedarchute.turns import expiry, record_puller, record_source
from cedarchute.turns.holder import HolderError
from cedarchute.turns.messages import AskStanding, TakeRecords
from cedarchute.turns.records import Record, Reserved, Settled

__all__ = ["clock", "expiring", "site"]

NAME_BYTES = 15_000
PROGRAMS = 400


def make_name(number, size=NAME_BYTES):
    return f"{number:012d}".ljust(size, "n")


def make_records(number, kind, size):
    """Return records as they arrive: each with names of its own."""
    program, turn = make_name(number, size), f"{kind}-{number}"
    records = {
        "open": [Reserved(program, turn, 10)],
        "settled": [Reserved(program, turn, 10), Settled(program, turn, 0)],
        "completed": [Reserved(program, turn, 10), make_turn(turn, "", program)],
        "tried": [Settled(make_name(0, size), f"{turn}-{program}", 0)],
        "continuing": [make_turn(turn, make_name(number + 1, size), program)],
    }[kind]
    decode = msgspec.json.Decoder(Record).decode
    return [decode(msgspec.json.encode(record)) for record in records]


# Long names of programs ended holders by memory, since a program counted as 1 KB.
@pytest.mark.parametrize(
    "kind", ["open", "settled", "completed", "tried", "continuing"]
)
@pytest.mark.parametrize("size", [12, NAME_BYTES])
def test_no_more_memory_is_used_than_is_counted(tmp_path, kind, size):
    storage = make_storage(tmp_path)
    gc.collect()
    tracemalloc.start()
    for number in range(PROGRAMS):
        for record in make_records(number, kind, size):
            storage.apply(record)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert PROGRAMS * size < used <= storage.held_bytes
    for program in list(storage.programs):
        storage.drop(program)
    assert storage.held_bytes == 0


def take(holder, *records):
    message = TakeRecords(table_version=3, disk="disk-1", records=records)
    holder.take_records(message)


def test_a_full_holder_keeps_nothing_of_turns_that_it_refused(tmp_path):
    holder = make_holder(tmp_path)
    take(holder, Reserved("p", "open", 10))
    holder.max_stored_bytes = holder.storage.held_bytes
    take(holder, Settled("p", "refused", 0), Settled("other", "refused", 0))
    assert set(holder.storage.programs) == {"p"}
    assert holder.storage.programs["p"].settled == {}
    take(holder, Settled("p", "open", 0), Settled("used", "some", 3))
    assert holder.storage.programs["p"].settled == {"open": 0}
    assert holder.storage.programs["used"].spent == 3


def test_a_full_holder_opens_no_state_for_a_question(tmp_path):
    holder = make_holder(tmp_path)
    take(holder, Reserved("p", "open", 10))
    holder.max_stored_bytes = holder.storage.held_bytes
    known = AskStanding(table_version=3, disk="disk-1", program="p")
    assert holder.read_standing(known).spent == 10
    with pytest.raises(HolderError) as refused:
        holder.read_standing(AskStanding(table_version=3, disk="disk-1", program="new"))
    assert refused.value.is_full
    assert set(holder.storage.programs) == {"p"}


def test_records_with_long_names_are_copied_in_small_messages(site, monkeypatch):
    limit = 4 * NAME_BYTES
    monkeypatch.setattr(record_source, "PAGE_NAME_BYTES", limit)
    monkeypatch.setattr(record_puller, "NAME_BYTES_PER_REQUEST", limit)
    site.form(*"abc")
    kept = [site.keep(make_turn(f"t{n}", "", make_name(n))) for n in range(20)]
    sizes = []

    def measure(path, message):
        if path == "/turns/read":
            sizes.append(sum(map(len, message.programs)))

    ask = site.ask

    def ask_and_measure(address, path, message, answer, timeout=None):
        answered = ask(address, path, message, answer, timeout)
        if path == "/turns/index":
            sizes.append(sum(len(index.program) for index in answered.programs))
        return answered

    site.kill("a")
    site.wipe("a")
    site.watch = measure
    monkeypatch.setattr(site, "ask", ask_and_measure)
    site.start("a")
    site.settle()
    assert max(sizes) <= limit + NAME_BYTES
    copied = site.boxes["a"].storage
    assert [copied.find_turn_of(t.program, t.turn) for t in kept] == kept


def test_programs_with_long_names_expire_a_part_at_a_time(expiring, clock, monkeypatch):
    monkeypatch.setattr(expiry, "MAX_NAME_BYTES_PER_ROUND", 4 * NAME_BYTES)
    asked = []
    ask = expiring.ask

    def ask_and_measure(address, path, message, answer):
        asked.append(sum(map(len, message.programs)))
        return ask(address, path, message, answer)

    monkeypatch.setattr(expiring, "ask", ask_and_measure)
    for number in range(10):
        expiring.holders["a"].storage.write(
            [make_turn(f"t{number}", "", make_name(number))]
        )
    clock.now += RETENTION_SECONDS + 1
    left = [len(expire(expiring, "a")) for _ in range(3)]
    assert left == [6, 2, 0]
    assert max(asked) == 4 * NAME_BYTES


def test_a_name_longer_than_a_round_expires_too(expiring, clock, monkeypatch):
    monkeypatch.setattr(expiry, "MAX_NAME_BYTES_PER_ROUND", 10)
    expiring.holders["a"].storage.write([make_turn("t", "", make_name(1))])
    clock.now += RETENTION_SECONDS + 1
    assert expire(expiring, "a") == set()
