"""Messages by which a holder reads from another one the records that it lacks."""

from __future__ import annotations

import msgspec

from cedarchute.turns.messages import Addressed
from cedarchute.turns.records import Turn
from cedarchute.turns.seat_table import SeatTable


class ListRecords(msgspec.Struct, frozen=True):
    """Request the names of the records of a seat that changed after a position.

    Carries the newest table. The holder installs it first and accepts no writes under
    an older one afterwards.

    Attributes
    ----------
    box, disk : str
        Whose records are asked for.
    process, after : str, int
        Position reached before, valid for one process of that box.
    """

    table: SeatTable
    seat: int
    box: str
    disk: str
    process: str = ""
    after: int = 0


class ProgramIndex(msgspec.Struct, frozen=True):
    """Records of one program; those of completed turns by name only.

    Attributes
    ----------
    idle_seconds : float
        Time since the last use of the program at the holder that answers.
    open, settled : dict of str to int
        Tokens of turns that did not complete, by turn.
    open_seconds : float
        Longest time until the open turns end; 0 in earlier versions.
    keep_seconds : float
        Retention time of the program; 0 in earlier versions.
    """

    program: str
    idle_seconds: float
    budget: int | None
    open: dict[str, int]
    settled: dict[str, int]
    completed: tuple[str, ...]
    open_seconds: float = 0.0
    keep_seconds: float = 0.0


class RecordIndex(msgspec.Struct, frozen=True):
    """One page of programs, in the order of their last changes.

    Attributes
    ----------
    process, next : str, int
        The position after this page.
    is_complete : bool
        False from a disk that may lack records; a copy needs another source as well.
    """

    programs: tuple[ProgramIndex, ...]
    process: str
    next: int
    is_last: bool
    is_complete: bool


class ReadTurns(msgspec.Struct, frozen=True):
    """Request completed turns by name.

    Attributes
    ----------
    programs : tuple of str
        The program of each turn; empty in earlier versions.
    """

    box: str
    disk: str
    turns: tuple[str, ...]
    programs: tuple[str, ...] = ()


class TurnsRead(msgspec.Struct, frozen=True):
    """The first of the requested turns, as many as fit into an answer.

    Attributes
    ----------
    handled : int
        Number of requested names that this answer covers. Turns that were dropped
        meanwhile are left out.
    """

    turns: tuple[Turn, ...]
    handled: int


class CoverSeats(Addressed, frozen=True, kw_only=True):
    """Ask a holder to copy all that it lacks from the other complete disks.

    Attributes
    ----------
    table : SeatTable
        Installed by the holder first.
    """

    table: SeatTable


class SeatsCovered(msgspec.Struct, frozen=True):
    """The disk has every record of its seat that older tables acknowledged."""
