"""Program IDs, which contain the name of the program's partition."""

from __future__ import annotations

import re
from typing import Final

from cedarchute.problem import Problem

PROGRAM_ID_PATTERN: Final = re.compile(
    r"^p-([A-Za-z0-9][A-Za-z0-9_-]*\.\d+)-(\d+)-(\d+)$"
)


def format_program_id(partition: str, epoch: int, number: int) -> str:
    """Return the ID of the `number`-th program opened under `epoch`.

    The epoch keeps IDs unique when a new owner of the partition restarts the numbers.
    """
    return f"p-{partition}-{epoch}-{number}"


def parse_partition(program: str) -> str:
    """Return the name of the partition in a program ID.

    Raises
    ------
    Problem
        ``unknown_program`` when the text is not a program ID.
    """
    match = PROGRAM_ID_PATTERN.match(program)
    if match is None:
        raise Problem(
            "unknown_program",
            f"'{program}' is no program id; use the one that POST /v1/programs gave.",
            status=404,
        )
    return match.group(1)
