"""What boxes say to holders, and what holders answer."""

from __future__ import annotations

from typing import Final

import msgspec

from cedarchute.turns.records import Record, Turn
from cedarchute.turns.seat_table import SeatTable

# Where a holder is asked about the limit of a workspace.
QUOTA_PATH: Final = "/quota/ask"


class Addressed(msgspec.Struct, frozen=True, kw_only=True):
    """Said to the holder of one disk, by the table of one version."""

    table_version: int
    disk: str


class BeginTurn(Addressed, frozen=True, kw_only=True):
    """Reserve the tokens of a turn, and tell what it goes on from.

    Attributes
    ----------
    wants_text : bool
        Whether the answer brings the text of the chain; one holder is enough.
    """

    program: str
    turn: str
    tokens: int
    budget: int | None = None
    previous: str = ""
    wants_text: bool = False


class TurnBegun(msgspec.Struct, frozen=True):
    """A reservation stands on the disk.

    Attributes
    ----------
    spent : int
        Tokens of the whole program, those of this turn included.
    missing : str
        The newest turn of the chain that this holder lacks; empty if none.
    text : bytes
        The chain behind `missing`, oldest first.
    target : str
        The target that ran the previous turn.
    budget : int or None
        The smallest budget that any call of the program named.
    age_seconds : float or None
        How long ago the program was first asked about here, if that is known.
    """

    spent: int
    missing: str = ""
    text: bytes = b""
    target: str = ""
    budget: int | None = None
    age_seconds: float | None = None


class TakeRecords(Addressed, frozen=True, kw_only=True):
    """Write records down."""

    records: tuple[Record, ...]


class RecordsTaken(msgspec.Struct, frozen=True):
    """The records stand on the disk."""


class ReadAccount(Addressed, frozen=True, kw_only=True):
    """Tell what a program has spent, turn by turn."""

    program: str


class Account(msgspec.Struct, frozen=True):
    """Tokens by turn: `open` may still grow up to theirs, `settled` is final."""

    open: dict[str, int]
    settled: dict[str, int]


class AskStanding(Addressed, frozen=True, kw_only=True):
    """Tell whether a program has begun, and remember that it was asked about."""

    program: str


class Standing(msgspec.Struct, frozen=True):
    """What a holder knows of a program that may be let in.

    Attributes
    ----------
    spent : int
        Tokens generated or reserved.
    age_seconds : float or None
        How long ago the program was first asked about here, if that is known.
    """

    spent: int
    age_seconds: float | None = None


class AskQuota(msgspec.Struct, frozen=True, kw_only=True):
    """Let one call of a workspace pass.

    Whoever is asked answers from its own share, so neither the disk nor the table of
    seats matters. The limit goes along: keepers know no configuration.

    Attributes
    ----------
    version : int
        Of the configuration that the limit stands in; the newest one counts.
    begins_program : bool
        Whether refusing the call loses nothing that was done before.
    patience_seconds : float
        How long it may wait for a free call.
    keepers : int
        Among how many holders the limit is split.
    """

    workspace: str
    version: int
    calls_per_second: float
    burst: float
    begins_program: bool
    keepers: int
    patience_seconds: float = 0.0


class QuotaAnswered(msgspec.Struct, frozen=True):
    """Whether it may pass.

    Attributes
    ----------
    wait_seconds : float
        After how long it may; if it may not, when another of its kind may.
    level : float
        Calls that are left in the share of who answers.
    """

    granted: bool
    wait_seconds: float = 0.0
    level: float = 0.0


class ReadChain(Addressed, frozen=True, kw_only=True):
    """Tell a chain from `turn` back to its start."""

    turn: str


class Chain(msgspec.Struct, frozen=True):
    """Turns, oldest first, and the one that lacks before them."""

    turns: tuple[Turn, ...]
    missing: str = ""


class CopyRecords(msgspec.Struct, frozen=True):
    """Hand over what a seat holds, in pages by program.

    The table goes with it: who answers has taken it over first, and takes no
    record by an older one after that.
    """

    table: SeatTable
    seat: int
    after: str = ""


class CopiedRecords(msgspec.Struct, frozen=True):
    """One page; `next` is empty at the end."""

    records: tuple[Record, ...]
    next: str = ""


class Refused(msgspec.Struct, frozen=True):
    """A holder cannot answer.

    Attributes
    ----------
    table : SeatTable or None
        The newer table, when the asker's is old.
    is_empty : bool
        Whether it has nothing to tell because it is catching up itself.
    """

    reason: str
    table: SeatTable | None = None
    is_empty: bool = False
