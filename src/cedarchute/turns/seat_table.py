"""Assigns the records of programs to holders."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from cedarchute.turns.seat import Seat

if TYPE_CHECKING:
    from collections.abc import Collection


class SeatTable(msgspec.Struct, frozen=True):
    """All seats, at one version of the table.

    Attributes
    ----------
    closed : bool
        Whether the number of seats is final; no program is stored before.
    losses : int
        Number of simultaneous holder failures to tolerate.
    """

    version: int
    closed: bool
    losses: int
    seats: tuple[Seat, ...]

    @property
    def replication_factor(self) -> int:
        """Number of holders of each program."""
        return min(2 * self.losses + 1, len(self.seats))

    @property
    def quorum(self) -> int:
        """Number of holders that have to answer.

        Any two quorums intersect, and at least one member of each survives the
        tolerated failures. With fewer than ``2 * losses + 1`` seats the latter needs
        more than a majority.
        """
        return max(
            self.replication_factor // 2 + 1,
            min(self.losses + 1, self.replication_factor),
        )

    @property
    def max_vacant(self) -> int:
        """Number of vacant seats with which every program still has a quorum."""
        return self.replication_factor - self.quorum

    def can_vacate(self, number: int, present: set[str]) -> bool:
        """Whether every program has a quorum without the holder of one seat.

        Parameters
        ----------
        present : set of str
            The boxes that are up.
        """
        unusable = sum(
            seat.box not in present or seat.is_complete is False
            for other, seat in enumerate(self.seats)
            if other != number
        )
        return unusable + 1 <= self.max_vacant

    def find_seats(self, program: str) -> list[int]:
        """Return the seats of `program`, by rendezvous hashing."""
        ranks = []
        for number in range(len(self.seats)):
            key = f"{program}/{number}".encode()
            ranks.append((blake2b(key, digest_size=8).digest(), number))
        return [number for _, number in sorted(ranks)[: self.replication_factor]]

    def list_occupied(self) -> list[int]:
        """Return the numbers of the seats that are not vacant."""
        return [n for n, seat in enumerate(self.seats) if not seat.is_vacant]

    def list_incomplete(self) -> list[int]:
        """Return the numbers of the seats without a disk that has all records."""
        return [n for n, seat in enumerate(self.seats) if seat.is_complete is False]

    def list_complete(self) -> list[int]:
        """Return the numbers of the seats whose disk has all records."""
        return [n for n, seat in enumerate(self.seats) if seat.is_complete]

    def list_unreleased(self) -> list[int]:
        """Return the incomplete seats whose records the others may lack."""
        return [n for n in self.list_incomplete() if not self.seats[n].is_released]

    def may_release(self, numbers: list[int]) -> bool:
        """Whether the complete disks have the records of some seats, and are enough.

        Of those of each program, more than may be lost have to be left: a disk that
        lost its seat may still exist, and nobody needs it afterwards.
        """
        incomplete = len(self.list_incomplete())
        return (
            self.closed
            and bool(numbers)
            and incomplete + self.losses < self.replication_factor
            and incomplete + len(self.list_complete()) == len(self.seats)
        )

    def release_seats(self, numbers: list[int]) -> SeatTable:
        """Return the next version of the table, with all records in the other seats."""
        seats = tuple(
            msgspec.structs.replace(seat, predecessor=None, is_released=True)
            if number in numbers
            else seat
            for number, seat in enumerate(self.seats)
        )
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def is_stored_at(self, program: str, number: int) -> bool:
        """Whether a seat is one of those of a program."""
        is_everywhere = self.replication_factor == len(self.seats)
        return is_everywhere or number in self.find_seats(program)

    def count_for_absence(self) -> int:
        """Return how many holders must lack a record to prove that none has it.

        A vacant seat counts as a failure, since its last holder may have had a copy.
        """
        occupied = len(self.list_occupied())
        vacant = len(self.seats) - occupied
        return occupied - max(0, self.losses - vacant)

    def find_disk(self, disk: str) -> int | None:
        """Return the seat of a disk, or None."""
        for number, seat in enumerate(self.seats):
            if seat.disk == disk:
                return number
        return None

    def find_box(self, box: str) -> int | None:
        """Return the seat of a box, or None."""
        for number, seat in enumerate(self.seats):
            if seat.box == box:
                return number
        return None

    def replace_seat(self, number: int, seat: Seat) -> SeatTable:
        """Return the next version of the table, with `seat` at position `number`."""
        seats = (*self.seats[:number], seat, *self.seats[number + 1 :])
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def take_seat(self, number: int, seat: Seat) -> SeatTable:
        """Return the next version of the table, with another disk in a seat.

        The disk counts as complete only if it is the last one that was. A box that
        takes its own seat again has lost the disk that was there.
        """
        before = self.seats[number]
        is_disk_lost = before.box == seat.box
        source = before.predecessor if is_disk_lost else before.last_complete
        is_complete = source is not None and source.disk == seat.disk
        taken = msgspec.structs.replace(
            seat,
            is_complete=is_complete,
            predecessor=None if is_complete else source,
            is_released=before.is_released,
        )
        return self.replace_seat(number, taken)

    def complete_seat(self, number: int) -> SeatTable:
        """Return the next version of the table, with the disk of a seat complete."""
        seat = msgspec.structs.replace(
            self.seats[number],
            is_complete=True,
            predecessor=None,
            is_released=False,
        )
        return self.replace_seat(number, seat)

    def mark_incomplete(self, number: int) -> SeatTable:
        """Return the next version of the table, with the disk of a seat incomplete.

        For tables of earlier versions, which do not name the last complete disk.
        """
        seat = msgspec.structs.replace(self.seats[number], is_complete=False)
        return self.replace_seat(number, seat)

    def vacate_seat(self, number: int, disk: str) -> SeatTable:
        """Return the next version of the table, without the holder of a seat.

        Parameters
        ----------
        disk : str
            The present disk of that holder, which has lost the one in the table if
            it is another.
        """
        before = self.seats[number]
        is_disk_lost = before.disk != disk
        source = before.predecessor if is_disk_lost else before.last_complete
        vacated = Seat(
            is_complete=False, predecessor=source, is_released=before.is_released
        )
        return self.replace_seat(number, vacated)

    def needs_disk(self, number: int, disk: str) -> bool:
        """Whether a disk without the seat is still the last complete one of it."""
        source = self.seats[number].predecessor
        return source is not None and source.disk == disk

    def find_needing(self, disk: str) -> list[int]:
        """Return the seats whose last complete disk is `disk`, without the seat."""
        return [n for n in range(len(self.seats)) if self.needs_disk(n, disk)]

    def add_seat(self, seat: Seat) -> SeatTable:
        """Return the next version of the table, with one more seat."""
        seats = (*self.seats, seat)
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def close(self, gone: Collection[str] = ()) -> SeatTable:
        """Return the next version of the table, with a final number of seats.

        No record was acknowledged before, so no disk lacks one.

        Parameters
        ----------
        gone : collection of str
            Boxes that keep no seat if the others suffice without them.
        """
        kept = [seat for seat in self.seats if seat.box not in gone]
        if len(kept) < 2 * self.losses + 1:
            kept = list(self.seats)
        seats = tuple(msgspec.structs.replace(seat, is_complete=True) for seat in kept)
        return SeatTable(self.version + 1, True, self.losses, seats)


EMPTY_TABLE = SeatTable(version=0, closed=False, losses=0, seats=())
