"""Ids that say which partition a program belongs to, without a look-up."""

from __future__ import annotations

import re
from typing import Final

from cedarchute.problem import Problem

PATTERN: Final = re.compile(r"^p-([A-Za-z0-9][A-Za-z0-9_-]*\.\d+)-(\d+)-(\d+)$")


def mint_program_id(partition: str, epoch: int, number: int) -> str:
    """Return the id of the `number`-th program opened under `epoch`.

    The epoch keeps a new owner from using a number again that the old one used.
    """
    return f"p-{partition}-{epoch}-{number}"


def parse_partition(program: str) -> str:
    """Return the partition of a program id.

    Raises
    ------
    Problem
        ``unknown_program`` when the text is no program id.
    """
    match = PATTERN.match(program)
    if match is None:
        raise Problem(
            "unknown_program",
            f"'{program}' is no program id; use the one that POST /v1/programs gave.",
            status=404,
        )
    return match.group(1)
