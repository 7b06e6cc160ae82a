"""Assigns the records of programs to holders."""

from __future__ import annotations

from hashlib import blake2b

import msgspec


class Seat(msgspec.Struct, frozen=True):
    """A numbered position in the set of holders, occupied by one holder or vacant.

    Attributes
    ----------
    disk : str
        Identifies the contents of the disk; changes when the disk is lost.
    """

    box: str = ""
    address: str = ""
    disk: str = ""
    failure_domain: str = ""

    @property
    def is_vacant(self) -> bool:
        """Whether no box occupies the seat."""
        return not self.box


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

    def add_seat(self, seat: Seat) -> SeatTable:
        """Return the next version of the table, with one more seat."""
        seats = (*self.seats, seat)
        return SeatTable(self.version + 1, self.closed, self.losses, seats)

    def close(self) -> SeatTable:
        """Return the next version of the table, with a final number of seats."""
        return SeatTable(self.version + 1, True, self.losses, self.seats)


EMPTY_TABLE = SeatTable(version=0, closed=False, losses=0, seats=())
