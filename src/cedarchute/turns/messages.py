"""Messages between boxes and holders of turn records."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec

from cedarchute.decisions.program_verdict import ProgramVerdict
from cedarchute.turns.records import Record, Turn
from cedarchute.turns.seat_table import SeatTable

QUOTA_PATH: Final = "/quota/ask"


class Addressed(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the holder with a given disk, under a given table version."""

    table_version: int
    disk: str


class BeginTurn(Addressed, frozen=True, kw_only=True):
    """Reserve the tokens of a turn, and return what it continues from.

    Attributes
    ----------
    wants_text : bool
        Whether the answer should include the text of the chain; requested from one
        holder only.
    max_text_bytes : int or None
        A longer text is left out; None, as in earlier versions, sets no limit.
    open_seconds, keep_seconds, input_bytes : float, float, int
        As in the record of a reservation.
    """

    program: str
    turn: str
    tokens: int
    budget: int | None = None
    previous: str = ""
    wants_text: bool = False
    max_text_bytes: int | None = None
    open_seconds: float = 0.0
    keep_seconds: float = 0.0
    input_bytes: int = 0


class TurnBegun(msgspec.Struct, frozen=True):
    """The reservation is durable.

    Attributes
    ----------
    spent : int
        Tokens used or reserved by the program, including those of this turn.
    missing : str
        The newest turn of the chain that this holder lacks; empty if none. In a chain
        that leads back into itself, the turn at which it does.
    text : bytes
        The text of the chain after `missing`, oldest turn first.
    target : str
        The target that ran the previous turn.
    budget : int or None
        The smallest budget that any call of the program has set, in tokens.
    age_seconds : float or None
        Time since the first request about the program at this holder, if known.
    programs : tuple of str
        The programs of the turns in the chain after `missing`.
    text_bytes : int
        Size of the text of the chain, whether it is included or not; 0 in earlier
        versions.
    """

    spent: int
    missing: str = ""
    text: bytes = b""
    target: str = ""
    budget: int | None = None
    age_seconds: float | None = None
    programs: tuple[str, ...] = ()
    text_bytes: int = 0


class TakeRecords(Addressed, frozen=True, kw_only=True):
    """Store records durably."""

    records: tuple[Record, ...]


class RecordsTaken(msgspec.Struct, frozen=True):
    """The records are durable."""


class ReadAccount(Addressed, frozen=True, kw_only=True):
    """Request the tokens of a program, by turn."""

    program: str


class Account(msgspec.Struct, frozen=True):
    """Tokens by turn: `open` is reserved as an upper bound, `settled` is final."""

    open: dict[str, int]
    settled: dict[str, int]


class AskStanding(Addressed, frozen=True, kw_only=True):
    """Request the tokens and age of a program, and record the request."""

    program: str


class Standing(msgspec.Struct, frozen=True):
    """Tokens and age of a program, for its admission.

    Attributes
    ----------
    spent : int
        Tokens used or reserved.
    age_seconds : float or None
        Time since the first request about the program at this holder, if known.
    """

    spent: int
    age_seconds: float | None = None


class AskQuota(msgspec.Struct, frozen=True, kw_only=True):
    """Request a call from the quota of a workspace.

    Each quota server grants from its own share, so the request names no disk and no
    table version. It carries the limit, since quota servers have no configuration.

    Attributes
    ----------
    version : int
        Version of the configuration with the limit; the newest one applies.
    begins_program : bool
        Whether the call starts a program, so that rejecting it wastes no earlier work.
    patience_seconds : float
        How long the call may wait for free quota.
    keepers : int
        Number of quota servers that share the limit.
    """

    workspace: str
    version: int
    calls_per_second: float
    burst: float
    begins_program: bool
    keepers: int
    patience_seconds: float = 0.0


class AskProgramQuota(AskQuota, frozen=True, kw_only=True):
    """Request a call where whole programs are admitted.

    Attributes
    ----------
    program, kind : str
        Key of the call's program and the name of its route; empty for a call without.
    calls_per_turn : float
        Mean number of calls for each turn of a program, as seen by the box; 0 if
        unknown.
    reachable : int
        Number of quota servers that the box reaches, since lost shares grant nothing;
        0 if unknown.
    seconds_left : float or None
        Time left until the program's soft deadline.
    """

    program: str = ""
    kind: str = ""
    calls_per_turn: float = 0.0
    reachable: int = 0
    seconds_left: float | None = None


class QuotaAnswered(msgspec.Struct, frozen=True):
    """Whether the call is granted.

    Attributes
    ----------
    wait_seconds : float
        Time to wait before the granted call, or before a retry if it is rejected.
    level : float
        Calls left in the share of the quota server.
    """

    granted: bool
    wait_seconds: float = 0.0
    level: float = 0.0


class ProgramQuotaAnswered(QuotaAnswered, frozen=True, kw_only=True):
    """Whether the call is granted, and whether its program may go on.

    Attributes
    ----------
    verdict : ProgramVerdict
        A program that is refused is not to be asked about elsewhere. Empty in earlier
        versions.
    """

    verdict: ProgramVerdict = ProgramVerdict.NONE


class ReadChain(Addressed, frozen=True, kw_only=True):
    """Request the chain of turns that ends at `turn`.

    Attributes
    ----------
    program : str or None
        The program that continues the chain; None in earlier versions.
    open_seconds : float
        Longest time until the turn ends that continues the chain.
    """

    turn: str
    program: str | None = None
    open_seconds: float = 0.0


class Chain(msgspec.Struct, frozen=True):
    """Turns, oldest first, and the missing turn before them, if any."""

    turns: tuple[Turn, ...]
    missing: str = ""


class StopPhase(StrEnum):
    """How far a planned stop of a holder has come."""

    NONE = "none"
    WAITING = "waiting"
    STOPPING = "stopping"


class AskPresence(Addressed, frozen=True, kw_only=True):
    """Ask whether a holder serves, and whether it is about to stop."""


class Presence(msgspec.Struct, frozen=True):
    """The holder serves."""

    stop_phase: StopPhase = StopPhase.NONE


class ReadIdleTimes(Addressed, frozen=True, kw_only=True):
    """Request the time since the last use of each program."""

    programs: tuple[str, ...]


class IdleTimes(msgspec.Struct, frozen=True):
    """Time since the last use of each requested program that the holder knows.

    Attributes
    ----------
    keep_seconds : dict of str to float
        Their retention; empty in earlier versions.
    """

    seconds: dict[str, float]
    keep_seconds: dict[str, float] = {}


class Refused(msgspec.Struct, frozen=True):
    """A holder cannot serve a request.

    Attributes
    ----------
    table : SeatTable or None
        The holder's table, when the requester's is older.
    is_empty : bool
        Whether the holder is still catching up itself.
    is_disk_lost : bool
        Whether the box has lost the disk that was asked for.
    box : str
        The box that answers; empty in earlier versions.
    is_full : bool
        Whether its memory takes no further turns; earlier versions never say so.
    """

    reason: str
    table: SeatTable | None = None
    is_empty: bool = False
    is_disk_lost: bool = False
    box: str = ""
    is_full: bool = False
