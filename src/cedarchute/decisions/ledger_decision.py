"""Decision about a turn by the ledger of its workspace, with its inputs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.decisions.program_verdict import ProgramVerdict


class LedgerDecision(Record):
    """Whether the program of a turn may go on.

    Attributes
    ----------
    is_new : bool
        Whether the ledger did not know the program and judged it.
    wait_seconds : float
        Time after which the whole program fits, if it is refused.
    tokens : float
        Calls left to the workspace, and those that come while the program runs.
    needed : float
        Calls that the programs under way still need.
    promised : float
        Calls of programs refused earlier, which come back.
    calls : float
        Calls that the program is expected to make.
    under_way : int
        Number of programs under way.
    """

    verdict: ProgramVerdict
    is_new: bool = False
    wait_seconds: float = 0.0
    tokens: float = 0.0
    needed: float = 0.0
    promised: float = 0.0
    calls: float = 0.0
    under_way: int = 0
