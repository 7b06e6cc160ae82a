from __future__ import annotations

import pytest
from test_turn_storage import make_storage, make_turn

from cedarchute.metrics import Metrics
from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.copy_messages import ProgramIndex, RecordIndex, TurnsRead
from cedarchute.turns.disk_location import DiskLocation
from cedarchute.turns.holder import Holder, HolderError
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import Refused
from cedarchute.turns.record_puller import RecordPuller
from cedarchute.turns.record_source import RecordSource
from cedarchute.turns.seat import Seat
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.seat_version_file import SeatVersionFile

WHOLE = "whole"
EMPTY = "empty"
SILENT = "silent"
NEWER = "newer"


class ScriptedClient:
    """Other holders, with scripted answers."""

    def __init__(self, table, states):
        self.table = table
        self.states = states

    def ask(self, address, path, message, answer):
        state = self.states[address]
        if state == SILENT:
            raise HolderUnavailableError(address)
        if state == EMPTY:
            raise HolderRefusedError(Refused("catching up", None, True))
        if state == NEWER:
            newer = self.table.replace_seat(0, Seat("new", "new", "d", "z"))
            raise HolderRefusedError(Refused("old", newer))
        if path == "/turns/read":
            return TurnsRead(tuple(map(make_turn, message.turns)), len(message.turns))
        index = ProgramIndex("p", 0.0, None, {}, {}, (f"of-{address}",))
        return RecordIndex((index,), "process", 1, is_last=True, is_complete=True)


def make_catch_up(client, storage, seats):
    return CatchUp(RecordPuller(client, storage, Metrics()), seats, Metrics())


def run(folder, losses, *states):
    names = [f"box-{n}" for n in range(len(states) + 1)]
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in names)
    table = SeatTable(5, True, losses, seats)
    storage = make_storage(folder)
    active_table = ActiveSeatTable()
    active_table.update(table, "test")
    client = ScriptedClient(table, dict(zip(names[1:], states, strict=True)))
    done = make_catch_up(client, storage, active_table).run_once(0)
    return done, set(storage.turn_index)


def test_everything_is_read_from_every_holder(tmp_path):
    done, turns = run(tmp_path, 1, WHOLE, WHOLE)
    assert done
    assert turns == {"of-box-1", "of-box-2"}


@pytest.mark.parametrize(
    ("losses", "states", "done"),
    [
        # Only the silent holder may have a copy.
        (1, (WHOLE, SILENT), False),
        # This disk and the silent holder make up the two tolerated failures.
        (2, (WHOLE, WHOLE, WHOLE, SILENT), True),
        (2, (WHOLE, WHOLE, SILENT, SILENT), False),
        # Two disks are lost; only the silent holder may have the third copy.
        (2, (EMPTY, WHOLE, WHOLE, SILENT), False),
        # All holders answered, so nothing more can be copied.
        (1, (EMPTY, EMPTY), True),
        (1, (WHOLE, NEWER), False),
    ],
)
def test_a_disk_is_complete_only_when_no_acknowledged_record_can_lack(
    tmp_path, losses, states, done
):
    assert run(tmp_path, losses, *states)[0] is done


def test_a_box_that_is_gone_is_not_waited_for_if_the_others_are_enough(tmp_path):
    gone = DiskLocation("gone", "gone", "disk-gone")
    seats = (
        Seat("new", "new", "disk-new", "a", is_complete=False, predecessor=gone),
        *(Seat(n, n, f"disk-{n}", "a", is_complete=True) for n in ("box-1", "box-2")),
    )
    table = SeatTable(5, True, 1, seats)
    active_table = ActiveSeatTable()
    active_table.update(table, "test")
    client = ScriptedClient(table, {"box-1": WHOLE, "box-2": WHOLE})
    catch_up = make_catch_up(client, make_storage(tmp_path), active_table)
    assert catch_up.run_once(0)


class DirectClient:
    """Other holders, in this process."""

    def __init__(self, holders):
        self.holders = holders

    def ask(self, address, path, message, answer):
        try:
            source = RecordSource(self.holders[address])
            if path == "/turns/read":
                return source.read_turns(message)
            return source.list_records(message)
        except HolderError as error:
            refusal = Refused(error.reason, error.table, error.is_empty)
            raise HolderRefusedError(refusal) from None


def test_a_lost_disk_waits_for_the_copies_of_holders_that_are_starting(tmp_path):
    names = ["lost", "box-1", "box-2"]
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in names)
    table = SeatTable(5, True, 1, seats)
    holders = {}
    for name in names:
        folder = tmp_path / name
        folder.mkdir()
        active_table = ActiveSeatTable()
        active_table.update(table, "test")
        version_file = SeatVersionFile(folder)
        storage = make_storage(folder)
        holder = Holder(storage, active_table, f"disk-{name}", version_file)
        holders[name] = holder
        if name != "lost":
            storage.write([make_turn(f"of-{name}")])
            holder.is_disk_complete = True
    lost = holders["lost"]
    catch_up = make_catch_up(DirectClient(holders), lost.storage, lost.seats)
    assert not catch_up.run_once(0)
    holders["box-1"].caught_up = True
    assert not catch_up.run_once(0)
    holders["box-2"].caught_up = True
    assert catch_up.run_once(0)
    assert set(lost.storage.turn_index) == {"of-box-1", "of-box-2"}


def test_a_disk_that_took_another_seat_still_hands_out_what_it_has(tmp_path):
    names = ["spare", "returned", "box-3"]
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in names)
    table = SeatTable(7, True, 1, seats)
    holders = {}
    for name in names:
        (tmp_path / name).mkdir()
        active_table = ActiveSeatTable()
        active_table.update(table, "test")
        version_file = SeatVersionFile(tmp_path / name)
        storage = make_storage(tmp_path / name)
        holders[name] = Holder(storage, active_table, f"disk-{name}", version_file)
    # Of the two disks with the turn one is lost, and the other has another seat now.
    holders["returned"].storage.write([make_turn("kept")])
    holders["box-3"].is_disk_complete = holders["box-3"].caught_up = True
    spare = holders["spare"]
    client = DirectClient(holders)
    assert make_catch_up(client, spare.storage, spare.seats).run_once(0)
    assert set(spare.storage.turn_index) == {"kept"}
