from __future__ import annotations

import pytest
from test_turn_storage import make_book, make_turn

from cedarchute.turns.active_seat_table import ActiveSeatTable
from cedarchute.turns.catch_up import CatchUp
from cedarchute.turns.holder_client import HolderRefusedError, HolderUnavailableError
from cedarchute.turns.messages import CopiedRecords, Refused
from cedarchute.turns.seat_table import Seat, SeatTable

WHOLE = "whole"
EMPTY = "empty"
SILENT = "silent"
NEWER = "newer"


class ScriptedClient:
    """Other holders that answer as a test says."""

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
        return CopiedRecords((make_turn(f"of-{address}"),))


def run(folder, losses, *states):
    names = [f"box-{n}" for n in range(len(states) + 1)]
    seats = tuple(Seat(name, name, f"disk-{name}", "a") for name in names)
    table = SeatTable(5, True, losses, seats)
    book = make_book(folder)
    seat_book = ActiveSeatTable()
    seat_book.update(table, "test")
    client = ScriptedClient(table, dict(zip(names[1:], states, strict=True)))
    done = CatchUp(client, book, seat_book).run_once(0)
    return done, set(book.program_of)


def test_everything_is_read_from_every_holder(tmp_path):
    done, turns = run(tmp_path, 1, WHOLE, WHOLE)
    assert done
    assert turns == {"of-box-1", "of-box-2"}


@pytest.mark.parametrize(
    ("losses", "states", "done"),
    [
        # The only copy may stand on the one that is silent.
        (1, (WHOLE, SILENT), False),
        # Of two that may be lost, this one is the first and the silent one the second.
        (2, (WHOLE, WHOLE, WHOLE, SILENT), True),
        (2, (WHOLE, WHOLE, SILENT, SILENT), False),
        # Two disks are lost: the third copy may stand on the one that is silent.
        (2, (EMPTY, WHOLE, WHOLE, SILENT), False),
        # All have answered: there is nothing more to be learnt.
        (1, (EMPTY, EMPTY), True),
        (1, (WHOLE, NEWER), False),
    ],
)
def test_a_disk_is_complete_only_when_no_acknowledged_record_can_lack(
    tmp_path, losses, states, done
):
    assert run(tmp_path, losses, *states)[0] is done
