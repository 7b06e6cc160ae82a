"""Which boxes hold the records of programs."""

from __future__ import annotations

from hashlib import blake2b

import msgspec


class Seat(msgspec.Struct, frozen=True):
    """A place for one holder; its number never changes, its holder may.

    Attributes
    ----------
    disk : str
        Names the contents of a disk: a box whose disk was lost has another.
    """

    box: str = ""
    address: str = ""
    disk: str = ""
    failure_domain: str = ""

    @property
    def is_vacant(self) -> bool:
        """Whether no box holds the seat."""
        return not self.box


class SeatTable(msgspec.Struct, frozen=True):
    """All seats at one version.

    Attributes
    ----------
    closed : bool
        Whether the number of seats is final; before that no program is held.
    losses : int
        Holders that may be lost at once.
    """

    version: int
    closed: bool
    losses: int
    seats: tuple[Seat, ...]

    @property
    def copies(self) -> int:
        """Seats that hold a program."""
        return min(2 * self.losses + 1, len(self.seats))

    @property
    def quorum(self) -> int:
        """Holders that have to agree.

        Any two such sets share one, and one of each outlives the losses: with fewer
        seats than twice the losses and one, the second takes more than half of them.
        """
        return max(self.copies // 2 + 1, min(self.losses + 1, self.copies))

    @property
    def most_vacant(self) -> int:
        """Seats that may be vacant while every program still has a quorum."""
        return self.copies - self.quorum

    def find_seats(self, program: str) -> list[int]:
        """Return the numbers of the seats that hold `program`, by hashing."""
        ranks = []
        for number in range(len(self.seats)):
            key = f"{program}/{number}".encode()
            ranks.append((blake2b(key, digest_size=8).digest(), number))
        return [number for _, number in sorted(ranks)[: self.copies]]

    def list_occupied(self) -> list[int]:
        """Return the numbers of the seats that a box holds."""
        return [n for n, seat in enumerate(self.seats) if not seat.is_vacant]

    def count_all_but_lost(self) -> int:
        """Return how many holders have to lack a record for nobody to have it.

        A seat that was just vacated may have had one of its copies, so it counts
        among those that may be lost.
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
        """Return the next table, with another holder in one seat."""
        seats = (*self.seats[:number], seat, *self.seats[number + 1 :])
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def add_seat(self, seat: Seat) -> SeatTable:
        """Return the next table, with one more seat."""
        seats = (*self.seats, seat)
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def close(self) -> SeatTable:
        """Return the next table, whose number of seats is final."""
        return SeatTable(self.version + 1, True, self.losses, self.seats)


EMPTY = SeatTable(version=0, closed=False, losses=0, seats=())
