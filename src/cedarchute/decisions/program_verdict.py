"""What a ledger says of a program."""

from __future__ import annotations

from enum import StrEnum


class ProgramVerdict(StrEnum):
    """Whether a program may go on.

    ``NONE`` comes from quota servers that keep no ledger or cannot judge.
    """

    NONE = ""
    UNDER_WAY = "under_way"
    REFUSED = "refused"
