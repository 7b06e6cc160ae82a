"""Reads an operators' file from the disk."""

from __future__ import annotations

from pathlib import Path

from cedarchute.ini import IniError
from cedarchute.operators.parser import parse_site_file


def read_checked(file: str) -> str:
    """Return the text of a file that would be accepted.

    Raises
    ------
    IniError
        When it cannot be read or is wrong.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise IniError(file, [f"cannot be read: {error}"]) from error
    parse_site_file(text, file)
    return text
