"""Takes what Cedarchute keeps in the store into the books of this box."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.fleet.box_entry import BoxEntry
from cedarchute.turns.seat_table import SeatTable

if TYPE_CHECKING:
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.turns.seat_book import SeatBook

log = logging.getLogger("cedarchute.fleet")

SEATS_KEY: Final = "cedarchute/seats"


class BoxFollower:
    """Takes in the entries of boxes."""

    def __init__(self, directory: BoxDirectory) -> None:
        self.directory = directory

    def put(self, key: str, value: str) -> None:
        """Take in a box."""
        try:
            self.directory.put(msgspec.json.decode(value, type=BoxEntry))
        except msgspec.MsgspecError as error:
            log.error("Entry not read.", extra={"box": key, "why": str(error)})

    def remove(self, key: str) -> None:
        """Take in that a box is gone."""
        self.directory.remove(key)

    def note_store_back(self) -> None:
        """Give boxes time to come back."""
        self.directory.known.note_store_back()


class SeatFollower:
    """Takes in the table of seats."""

    def __init__(self, seats: SeatBook) -> None:
        self.seats = seats

    def put(self, key: str, value: str) -> None:
        """Take in a table."""
        try:
            self.seats.offer(msgspec.json.decode(value, type=SeatTable), "store")
        except msgspec.MsgspecError as error:
            log.error("Table of seats not read.", extra={"why": str(error)})

    def remove(self, key: str) -> None:
        """Keep the table: nobody removes it on purpose."""

    def note_store_back(self) -> None:
        """Nothing of it lapses."""
