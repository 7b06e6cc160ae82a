"""Replaces small files so that the old or the new content survives a loss of power."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Write `data` beside `path`, sync it, and put it in its place.

    Raises
    ------
    OSError
        When the disk does not take it; the old content stands.
    """
    new = path.with_name(path.name + ".new")
    with new.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
