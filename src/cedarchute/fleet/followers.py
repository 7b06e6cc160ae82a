"""Takes what Cedarchute keeps in the store into the books of this box."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.address import Address
from cedarchute.fleet.box_entry import BoxEntry
from cedarchute.turns.seat_table import SeatTable

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.turned_away import TurnedAway
    from cedarchute.turns.active_seat_table import ActiveSeatTable

SEATS_KEY: Final = "cedarchute/seats"


def read_box(name: str, text: str) -> BoxEntry:
    """Return the box in `text`; raise ValueError or MsgspecError when it is none."""
    entry = msgspec.json.decode(text, type=BoxEntry)
    if entry.name != name:
        raise ValueError(f"it names the box {entry.name!r}")
    Address.parse(entry.peers)
    if entry.callers:
        Address.parse(entry.callers)
    return entry


def read_seats(text: str) -> SeatTable:
    """Return the table in `text`; raise ValueError or MsgspecError when it is none."""
    table = msgspec.json.decode(text, type=SeatTable)
    if table.version < 1 or table.losses < 0:
        raise ValueError(f"version {table.version}, losses {table.losses}")
    for seat in table.seats:
        if not seat.is_vacant:
            Address.parse(seat.address)
    return table


class BoxFollower:
    """Takes in the entries of boxes.

    One that cannot be read leaves the box as it was known: only the box itself writes
    there, and what others wrote over it says nothing of the box.
    """

    def __init__(self, directory: BoxDirectory, turned_away: TurnedAway) -> None:
        self.directory = directory
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Take in a box."""
        try:
            self.directory.put(read_box(key, value))
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            self.turned_away.note("box", key, str(error))

    def remove(self, key: str) -> None:
        """Take in that a box is gone."""
        self.directory.remove(key)

    def note_store_back(self) -> None:
        """Give boxes time to come back."""
        self.directory.known.note_store_back()


class SeatFollower:
    """Takes in the table of seats."""

    def __init__(self, seats: ActiveSeatTable, turned_away: TurnedAway) -> None:
        self.seats = seats
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Take in a table."""
        try:
            self.seats.update(read_seats(value), "store")
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            self.turned_away.note("seats", SEATS_KEY, str(error))

    def remove(self, key: str) -> None:
        """Keep the table: nobody removes it on purpose."""

    def note_store_back(self) -> None:
        """Nothing of it lapses."""
