"""Exit codes of the tool."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script may rely on."""

    OK = 0
    FAILED = 1
    BAD_USE = 2
    BAD_FILE = 3
    NO_BOX = 4
    RACED = 5
    NOT_IN_FORCE = 6
    UNCERTAIN = 7
