"""Applies store entries of boxes and seats to the tables of this box."""

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
# Beyond any number that boxes count up to. A table with a higher version, which only
# another writer can have left, would keep every later one out.
MAX_SEATS_VERSION: Final = 1_000_000_000
# More than there are boxes with a disk.
MAX_LOSSES: Final = 1_000


def read_box(name: str, text: str) -> BoxEntry:
    """Parse a box entry; raise ValueError or MsgspecError if it is invalid."""
    entry = msgspec.json.decode(text, type=BoxEntry)
    if entry.name != name:
        raise ValueError(f"entry belongs to box {entry.name!r}")
    Address.parse(entry.peers)
    if entry.callers:
        Address.parse(entry.callers)
    return entry


def read_seats(text: str) -> SeatTable:
    """Parse a seat table; raise ValueError or MsgspecError if it is invalid."""
    table = msgspec.json.decode(text, type=SeatTable)
    if not 1 <= table.version <= MAX_SEATS_VERSION:
        raise ValueError("its version is out of range")
    if not 0 <= table.losses <= MAX_LOSSES:
        raise ValueError("its number of losses is out of range")
    for seat in table.seats:
        if not seat.is_vacant:
            Address.parse(seat.address)
    return table


class BoxFollower:
    """Applies box entries to the directory.

    An invalid entry leaves the known one in place: only the box itself writes its key,
    so an entry overwritten by others says nothing about the box.
    """

    def __init__(self, directory: BoxDirectory, turned_away: TurnedAway) -> None:
        self.directory = directory
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Add or update a box."""
        try:
            self.directory.put(read_box(key, value))
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            self.turned_away.note("box", key, str(error))

    def remove(self, key: str) -> None:
        """Remove a box."""
        self.directory.remove(key)

    def note_store_back(self) -> None:
        """Start the grace period for entries that lapsed in the outage."""
        self.directory.known.note_store_back()


class SeatFollower:
    """Applies the seat table."""

    def __init__(self, seats: ActiveSeatTable, turned_away: TurnedAway) -> None:
        self.seats = seats
        self.turned_away = turned_away

    def put(self, key: str, value: str) -> None:
        """Update the seat table."""
        try:
            self.seats.update(read_seats(value), "store")
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            self.turned_away.note("seats", SEATS_KEY, str(error))

    def remove(self, key: str) -> None:
        """Ignore the removal: the table is never removed on purpose."""

    def note_store_back(self) -> None:
        """Do nothing: the seat table has no lease."""
