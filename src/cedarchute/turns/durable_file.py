"""Atomic, durable replacement of small files."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Write `data` to a temporary file, sync it, and rename it to `path`.

    Raises
    ------
    OSError
        If a write or sync fails; the old content remains unless the rename is done.
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
